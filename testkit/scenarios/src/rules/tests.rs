use super::*;
use crate::outcome::{AttemptOutcome, FinalResponse};
use badgerpost_time::{MILLISECOND, SECOND};

const TOLERANCES: Tolerances = Tolerances {
    response_slack: 70 * MILLISECOND,
    drain_grace: 550 * MILLISECOND,
    disconnect_slack: 150 * MILLISECOND,
    deadline_slack: 200 * MILLISECOND,
};

fn attempt(server: &str, start: Nanos, outcome: AttemptOutcome) -> Attempt {
    Attempt {
        server: server.to_owned(),
        zone: server[..1].to_owned(),
        cell: 0,
        start,
        end: Some(start + MILLISECOND),
        outcome,
        executed: true,
        drain_known_for: None,
        caused_overload: false,
        without_length: false,
        deadline_excess: None,
    }
}

fn request(
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    result: Option<ClientResult>,
) -> Request {
    Request {
        id: "r".to_owned(),
        retry_of: None,
        class: "c".to_owned(),
        idempotency,
        dedup: (idempotency == Idempotency::Keyed).then_some(Dedup {
            scope: DedupScope::Zone,
            window: 2 * SECOND,
        }),
        node: "n".to_owned(),
        arrival: 0,
        timeout: 500 * MILLISECOND,
        attempts,
        response: result.map(|result| FinalResponse {
            at: 100 * MILLISECOND,
            result,
            status: 200,
            is_from_own_attempt: true,
        }),
        client_left_at: None,
        surplus_bytes: 0,
        is_excused: false,
        held_up: 0,
    }
}

fn broken_rules(request: &Request) -> Vec<Rule> {
    check(std::slice::from_ref(request), &TOLERANCES)
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn a_request_gets_one_response_in_time_and_nothing_after_it() {
    let good = request(
        Idempotency::Idempotent,
        vec![attempt("a1", MILLISECOND, AttemptOutcome::Served)],
        Some(ClientResult::Served),
    );
    assert_eq!(broken_rules(&good), []);
    let single_response = [Rule::SingleResponse];
    let with = |change: &dyn Fn(&mut Request)| {
        let mut request = good.clone();
        change(&mut request);
        broken_rules(&request)
    };
    assert_eq!(with(&|r| r.response = None), single_response);
    assert_eq!(with(&|r| r.surplus_bytes = 3), single_response);
    assert_eq!(
        with(&|r| r
            .response
            .iter_mut()
            .for_each(|response| response.at = 571 * MILLISECOND)),
        single_response
    );
    assert_eq!(
        with(&|r| r
            .response
            .iter_mut()
            .for_each(|response| response.at = 570 * MILLISECOND)),
        []
    );
    assert_eq!(
        with(&|r| r
            .response
            .iter_mut()
            .for_each(|response| response.is_from_own_attempt = false)),
        single_response
    );
    assert_eq!(
        with(&|r| r
            .attempts
            .push(attempt("a2", 101 * MILLISECOND, AttemptOutcome::Served))),
        single_response
    );
    // A killed node owes no response, but must not send surplus bytes either.
    assert_eq!(with(&|r| (r.response, r.is_excused) = (None, true)), []);
    assert_eq!(
        with(&|r| (r.surplus_bytes, r.is_excused) = (1, true)),
        single_response
    );
}

/// A second attempt after each outcome of the first attempt.
#[test]
fn an_executed_request_is_attempted_again_only_within_its_idempotency_scope_and_window() {
    use crate::outcome::Idempotency::{Idempotent, Keyed, NonIdempotent};
    let duplicate_effect = [Rule::NoDuplicateEffect];
    let broken_by_second = |idempotency, first, second: &str, after| {
        let attempts = vec![
            attempt("a1", 0, first),
            attempt(second, after, AttemptOutcome::Served),
        ];
        let mut request = request(idempotency, attempts, Some(ClientResult::Served));
        request
            .response
            .iter_mut()
            .for_each(|response| response.at = 4 * SECOND);
        request.timeout = 5 * SECOND;
        broken_rules(&request)
    };
    for first in [
        AttemptOutcome::Served,
        AttemptOutcome::ServerError,
        AttemptOutcome::ConnectionReset,
        AttemptOutcome::InvalidResponse,
        AttemptOutcome::Abandoned,
        AttemptOutcome::Unfinished,
    ] {
        assert_eq!(
            broken_by_second(NonIdempotent, first, "a2", MILLISECOND),
            duplicate_effect,
            "{first:?}"
        );
        assert_eq!(
            broken_by_second(Keyed, first, "b1", MILLISECOND),
            duplicate_effect,
            "{first:?}"
        );
        assert_eq!(
            broken_by_second(Keyed, first, "a2", 2 * SECOND),
            duplicate_effect,
            "{first:?}"
        );
        assert_eq!(
            broken_by_second(Keyed, first, "a2", 2 * SECOND - 1),
            [],
            "{first:?}"
        );
        assert_eq!(
            broken_by_second(Idempotent, first, "b1", 3 * SECOND),
            [],
            "{first:?}"
        );
    }
    assert_eq!(
        broken_by_second(NonIdempotent, AttemptOutcome::Rejected, "b1", MILLISECOND),
        []
    );
    assert_eq!(
        broken_by_second(Keyed, AttemptOutcome::Rejected, "b1", 3 * SECOND),
        []
    );
}

#[test]
fn a_rejected_request_must_not_have_been_executed_unless_retries_are_harmless() {
    let rejected = |idempotency, outcome| {
        let mut request = request(
            idempotency,
            vec![attempt("a1", 0, outcome)],
            Some(ClientResult::Rejected),
        );
        request.attempts[0].executed = false;
        broken_rules(&request)
    };
    assert_eq!(
        rejected(Idempotency::NonIdempotent, AttemptOutcome::ConnectionReset),
        [Rule::NoDuplicateEffect]
    );
    assert_eq!(
        rejected(Idempotency::Keyed, AttemptOutcome::Unfinished),
        [Rule::NoDuplicateEffect]
    );
    assert_eq!(
        rejected(Idempotency::NonIdempotent, AttemptOutcome::Rejected),
        []
    );
    assert_eq!(
        rejected(Idempotency::Idempotent, AttemptOutcome::ConnectionReset),
        []
    );
    let mut anywhere = request(
        Idempotency::Keyed,
        vec![attempt("a1", 0, AttemptOutcome::ConnectionReset)],
        Some(ClientResult::Rejected),
    );
    anywhere.dedup = Some(Dedup {
        scope: DedupScope::All,
        window: SECOND,
    });
    assert_eq!(broken_rules(&anywhere), []);
}

#[test]
fn a_late_attempt_at_a_draining_server_and_an_overload_in_slow_start_are_breaches() {
    let mut late = attempt("a1", MILLISECOND, AttemptOutcome::Served);
    late.drain_known_for = Some(550 * MILLISECOND);
    let in_time = request(
        Idempotency::Idempotent,
        vec![late.clone()],
        Some(ClientResult::Served),
    );
    assert_eq!(broken_rules(&in_time), []);
    late.drain_known_for = Some(551 * MILLISECOND);
    assert_eq!(
        broken_rules(&request(
            Idempotency::Idempotent,
            vec![late],
            Some(ClientResult::Served)
        )),
        [Rule::DrainRespected]
    );
    let mut last = attempt("a1", MILLISECOND, AttemptOutcome::ConnectionReset);
    last.caused_overload = true;
    assert_eq!(
        broken_rules(&request(
            Idempotency::Idempotent,
            vec![last],
            Some(ClientResult::Served)
        )),
        [Rule::SlowStartRespected]
    );
}

#[test]
fn a_breach_names_the_line_of_its_request() {
    let good = request(
        Idempotency::Idempotent,
        vec![],
        Some(ClientResult::Rejected),
    );
    let bad = request(Idempotency::Idempotent, vec![], None);
    let breaches = check(&[good.clone(), bad, good], &TOLERANCES);
    assert_eq!(breaches.len(), 1);
    assert_eq!(
        breaches[0].to_string(),
        "line 2, request r: it got no final response"
    );
}

#[test]
fn an_attempt_after_the_client_disconnected_is_a_breach() {
    let with = |client_left_at: Nanos, start: Nanos| {
        let mut request = request(
            Idempotency::Idempotent,
            vec![attempt("a1", start, AttemptOutcome::Served)],
            None,
        );
        request.client_left_at = Some(client_left_at);
        broken_rules(&request)
    };
    assert_eq!(
        with(100 * MILLISECOND, 50 * MILLISECOND),
        [],
        "a disconnected client is owed no response"
    );
    assert_eq!(with(100 * MILLISECOND, 250 * MILLISECOND), []);
    assert_eq!(
        with(100 * MILLISECOND, 251 * MILLISECOND),
        [Rule::SingleResponse]
    );
}

#[test]
fn a_server_deadline_beyond_the_client_timeout_is_a_breach() {
    let with = |deadline_excess: Option<Nanos>| {
        let mut attempt = attempt("a1", MILLISECOND, AttemptOutcome::Served);
        attempt.deadline_excess = deadline_excess;
        broken_rules(&request(
            Idempotency::Idempotent,
            vec![attempt],
            Some(ClientResult::Served),
        ))
    };
    assert_eq!(with(None), []);
    assert_eq!(with(Some(200 * MILLISECOND)), []);
    assert_eq!(with(Some(201 * MILLISECOND)), [Rule::SingleResponse]);
}

use super::*;
use crate::outcome::{Answer, Ended};
use badgerpost_time::{MILLISECOND, SECOND};

const FIGURES: Figures = Figures {
    answer_slack: 70 * MILLISECOND,
    drain_grace: 550 * MILLISECOND,
    leave_slack: 150 * MILLISECOND,
    deadline_slack: 200 * MILLISECOND,
};

fn attempt(server: &str, start: Nanos, ended: Ended) -> Attempt {
    Attempt {
        server: server.to_owned(),
        zone: server[..1].to_owned(),
        cell: 0,
        start,
        end: Some(start + MILLISECOND),
        ended,
        ran: true,
        told_for: None,
        felled: false,
        without_length: false,
        overstated: None,
    }
}

fn request(effect: Effect, attempts: Vec<Attempt>, told: Option<Told>) -> Request {
    Request {
        id: "r".to_owned(),
        again: None,
        class: "c".to_owned(),
        effect,
        dedup: (effect == Effect::Keyed).then_some((Scope::Zone, 2 * SECOND)),
        node: "n".to_owned(),
        arrival: 0,
        budget: 500 * MILLISECOND,
        attempts,
        answer: told.map(|told| Answer {
            at: 100 * MILLISECOND,
            told,
            status: 200,
            own: true,
        }),
        left: None,
        surplus: 0,
        excused: false,
    }
}

fn broken(request: &Request) -> Vec<Rule> {
    check(std::slice::from_ref(request), &FIGURES)
        .iter()
        .map(|breach| breach.rule)
        .collect()
}

#[test]
fn one_answer_in_time_and_nothing_behind_it() {
    let good = request(
        Effect::Safe,
        vec![attempt("a1", MILLISECOND, Ended::Served)],
        Some(Told::Served),
    );
    assert_eq!(broken(&good), []);
    let one = [Rule::OneAnswer];
    let with = |change: &dyn Fn(&mut Request)| {
        let mut request = good.clone();
        change(&mut request);
        broken(&request)
    };
    assert_eq!(with(&|r| r.answer = None), one);
    assert_eq!(with(&|r| r.surplus = 3), one);
    assert_eq!(
        with(&|r| r.answer.iter_mut().for_each(|a| a.at = 571 * MILLISECOND)),
        one
    );
    assert_eq!(
        with(&|r| r.answer.iter_mut().for_each(|a| a.at = 570 * MILLISECOND)),
        []
    );
    assert_eq!(
        with(&|r| r.answer.iter_mut().for_each(|a| a.own = false)),
        one
    );
    assert_eq!(
        with(&|r| r
            .attempts
            .push(attempt("a2", 101 * MILLISECOND, Ended::Served))),
        one
    );
    // A node that was killed owes nothing; what came behind an answer is wrong all the same.
    assert_eq!(with(&|r| (r.answer, r.excused) = (None, true)), []);
    assert_eq!(with(&|r| (r.surplus, r.excused) = (1, true)), one);
}

/// Two attempts, the first one of which ended so: where may the second go?
#[test]
fn no_effect_twice_by_effect_group_and_window() {
    let two = [Rule::NoEffectTwice];
    let again = |effect, first, second: &str, after| {
        let attempts = vec![
            attempt("a1", 0, first),
            attempt(second, after, Ended::Served),
        ];
        let mut request = request(effect, attempts, Some(Told::Served));
        request
            .answer
            .iter_mut()
            .for_each(|answer| answer.at = 4 * SECOND);
        request.budget = 5 * SECOND;
        broken(&request)
    };
    for first in [
        Ended::Served,
        Ended::Error,
        Ended::Reset,
        Ended::Spoilt,
        Ended::Abandoned,
        Ended::Open,
    ] {
        assert_eq!(
            again(Effect::Unsafe, first, "a2", MILLISECOND),
            two,
            "{first:?}"
        );
        assert_eq!(
            again(Effect::Keyed, first, "b1", MILLISECOND),
            two,
            "{first:?}"
        );
        assert_eq!(
            again(Effect::Keyed, first, "a2", 2 * SECOND),
            two,
            "{first:?}"
        );
        assert_eq!(
            again(Effect::Keyed, first, "a2", 2 * SECOND - 1),
            [],
            "{first:?}"
        );
        assert_eq!(
            again(Effect::Safe, first, "b1", 3 * SECOND),
            [],
            "{first:?}"
        );
    }
    assert_eq!(
        again(Effect::Unsafe, Ended::TurnedAway, "b1", MILLISECOND),
        []
    );
    assert_eq!(
        again(Effect::Keyed, Ended::TurnedAway, "b1", 3 * SECOND),
        []
    );
}

#[test]
fn a_refusal_promises_that_nothing_ran() {
    let refused = |effect, ended| {
        let mut request = request(effect, vec![attempt("a1", 0, ended)], Some(Told::Refused));
        request.attempts[0].ran = false;
        broken(&request)
    };
    assert_eq!(refused(Effect::Unsafe, Ended::Reset), [Rule::NoEffectTwice]);
    assert_eq!(refused(Effect::Keyed, Ended::Open), [Rule::NoEffectTwice]);
    assert_eq!(refused(Effect::Unsafe, Ended::TurnedAway), []);
    assert_eq!(refused(Effect::Safe, Ended::Reset), []);
    let mut anywhere = request(
        Effect::Keyed,
        vec![attempt("a1", 0, Ended::Reset)],
        Some(Told::Refused),
    );
    anywhere.dedup = Some((Scope::All, SECOND));
    assert_eq!(broken(&anywhere), []);
}

#[test]
fn drains_and_cold_servers() {
    let mut late = attempt("a1", MILLISECOND, Ended::Served);
    late.told_for = Some(550 * MILLISECOND);
    let in_time = request(Effect::Safe, vec![late.clone()], Some(Told::Served));
    assert_eq!(broken(&in_time), []);
    late.told_for = Some(551 * MILLISECOND);
    assert_eq!(
        broken(&request(Effect::Safe, vec![late], Some(Told::Served))),
        [Rule::DrainsKept]
    );
    let mut last = attempt("a1", MILLISECOND, Ended::Reset);
    last.felled = true;
    assert_eq!(
        broken(&request(Effect::Safe, vec![last], Some(Told::Served))),
        [Rule::ColdSpared]
    );
}

#[test]
fn a_breach_names_its_line() {
    let good = request(Effect::Safe, vec![], Some(Told::Refused));
    let bad = request(Effect::Safe, vec![], None);
    let breaches = check(&[good.clone(), bad, good], &FIGURES);
    assert_eq!(breaches.len(), 1);
    assert_eq!(
        breaches[0].to_string(),
        "line 2, request r: it had no final answer"
    );
}

#[test]
fn no_attempt_begins_for_a_client_that_has_left() {
    let with = |left: Nanos, start: Nanos| {
        let mut request = request(
            Effect::Safe,
            vec![attempt("a1", start, Ended::Served)],
            None,
        );
        request.left = Some(left);
        broken(&request)
    };
    assert_eq!(
        with(100 * MILLISECOND, 50 * MILLISECOND),
        [],
        "and it is owed nothing"
    );
    assert_eq!(with(100 * MILLISECOND, 250 * MILLISECOND), []);
    assert_eq!(
        with(100 * MILLISECOND, 251 * MILLISECOND),
        [Rule::OneAnswer]
    );
}

#[test]
fn a_server_is_told_of_what_the_client_has_left_at_most() {
    let with = |over: Option<Nanos>| {
        let mut attempt = attempt("a1", MILLISECOND, Ended::Served);
        attempt.overstated = over;
        broken(&request(Effect::Safe, vec![attempt], Some(Told::Served)))
    };
    assert_eq!(with(None), []);
    assert_eq!(with(Some(200 * MILLISECOND)), []);
    assert_eq!(with(Some(201 * MILLISECOND)), [Rule::OneAnswer]);
}

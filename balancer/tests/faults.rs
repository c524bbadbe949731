//! Each failure met so far, as small as it can be shown.

mod common;
use badgerpost_balancer::*;
use common::*;

fn fleet(count: u32) -> Vec<Endpoint> {
    (0..count).map(|backend| member(backend, 0)).collect()
}

/// Incident idbb93b: a server that sends work away in a millisecond drew nearly all sends.
#[test]
fn a_backend_that_rejects_at_once_does_not_look_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut away = 0;
    for _ in 0..200 {
        let (request, actions) = node.ask(SECOND);
        let (mut to, mut attempt) = (sent(&actions), 0);
        while to == Some(BackendId(0)) {
            away += 1;
            to = sent(&node.settle_after(
                request,
                attempt,
                Outcome::Rejected,
                2 * MILLISECOND,
                util(0.0),
            ));
            attempt += 1;
        }
        node.pass(30 * MILLISECOND);
        node.settle(request, attempt, Outcome::Success, util(0.4));
    }
    assert!(away < 20, "{away} sends to the backend that is full");
}

/// A backend that returns errors at once must lose its turn, then be tried and readmitted.
#[test]
fn a_backend_that_fails_fast_is_ejected_and_readmitted() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(4));
    let run = |node: &mut Node, rounds: usize, broken: bool| {
        let mut bad = 0;
        for _ in 0..rounds {
            let (request, actions) = node.ask(SECOND);
            let (mut to, mut attempt) = (sent(&actions), 0);
            while to == Some(BackendId(0)) && broken {
                bad += 1;
                to = sent(&node.settle_after(
                    request,
                    attempt,
                    Outcome::Error,
                    MILLISECOND,
                    util(0.0),
                ));
                attempt += 1;
            }
            bad += usize::from(to == Some(BackendId(0)));
            node.pass(30 * MILLISECOND);
            node.settle(request, attempt, Outcome::Success, util(0.4));
        }
        bad
    };
    assert!(run(&mut node, 200, true) < 20);
    node.pass(40 * SECOND);
    assert!(run(&mut node, 200, false) > 20, "never readmitted");
}

/// Incident idbb93b: with many nodes, one send of each to a backend that it holds nothing on is a jam.
#[test]
fn own_idleness_does_not_prove_capacity() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve(100, |_| util(0.5));
    for _ in 0..40 {
        let (request, actions) = node.ask(SECOND);
        node.pass(200 * MILLISECOND);
        if sent(&actions).is_some() {
            node.settle_after(request, 0, Outcome::Success, 900 * MILLISECOND, util(1.0));
        }
    }
    let taken = (0..20)
        .filter(|_| sent(&node.ask(SECOND).1).is_some())
        .count();
    assert!(taken <= 1, "{taken} sent into a jam");
}

/// Incident if301ed: the class worth most, with the tightest aim, found all room taken by the others.
#[test]
fn the_class_of_higher_value_has_precedence() {
    let mut given = settings(Idempotency::Idempotent);
    let wide = ClassSettings {
        latency_objective: 800 * MILLISECOND,
        ..class(800, 2000, Idempotency::Idempotent)
    };
    given.classes = vec![
        wide,
        ClassSettings {
            priority_weight: 5.0,
            ..class(500, 2000, Idempotency::Idempotent)
        },
    ];
    let mut node = Node::new(given, fleet(2));
    let mut taken = [0, 0];
    let mut out = Vec::new();
    for turn in 0..2000u64 {
        let id = RequestId(1_000_000 + turn);
        let class = ClassId((turn % 2) as u32);
        let arrival = RequestArrival {
            request: id,
            class,
            affinity_key: None,
            expected_service_time: None,
            is_retry: false,
            tenant: None,
            expires_at: node.now + SECOND,
        };
        for action in node.tell(Event::RequestArrived(arrival)) {
            if let Action::Send { request, .. } = action {
                taken[(request.0 % 2) as usize] += 1;
                out.push(request);
            }
        }
        node.now += 5 * MILLISECOND;
        // The fleet serves one request in 15 ms, in turn.
        if turn % 3 == 0 && !out.is_empty() {
            let request = out.remove(0);
            let elapsed = 15 * MILLISECOND * (out.len() as u64 + 1);
            for action in node.settle_after(request, 0, Outcome::Success, elapsed, util(0.99)) {
                if let Action::Send { request, .. } = action {
                    taken[(request.0 % 2) as usize] += 1;
                    out.push(request);
                }
            }
        }
        node.tell(Event::TimerFired { token: 0 });
    }
    assert!(taken[1] > taken[0], "{taken:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut extra = 0;
    for _ in 0..500 {
        let (request, actions) = node.ask(SECOND);
        let (mut to, mut attempt) = (sent(&actions), 0);
        while to.is_some() {
            to = sent(&node.settle_after(
                request,
                attempt,
                Outcome::Error,
                5 * MILLISECOND,
                LoadReport::default(),
            ));
            extra += usize::from(to.is_some());
            attempt += 1;
        }
        node.pass(10 * MILLISECOND);
    }
    assert!(extra <= 500 / 5 + 11, "{extra} retries of 500 requests");
}

#[test]
fn most_of_the_fleet_failing_does_not_empty_it() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut sent_late = 0;
    for turn in 0..300 {
        let (request, actions) = node.ask(SECOND);
        let (mut to, mut attempt) = (sent(&actions), 0);
        sent_late += usize::from(turn > 200 && to.is_some());
        while to.is_some() {
            to = sent(&node.settle_after(
                request,
                attempt,
                Outcome::Reset,
                5 * MILLISECOND,
                LoadReport::default(),
            ));
            attempt += 1;
        }
        node.pass(20 * MILLISECOND);
    }
    assert!(sent_late > 50, "{sent_late} of 99 were sent at all");
}

/// Incident if301ed: three nodes a zone, each filling the servers to what one alone may send.
#[test]
fn nodes_that_share_a_zone_leave_capacity_for_each_other() {
    let taken = |nodes| {
        let given = Settings {
            node_count: nodes,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(given, fleet(2));
        node.serve(200, |_| util(0.5));
        (0..60)
            .filter(|_| sent(&node.ask(SECOND).1).is_some())
            .count()
    };
    let (alone, crowded) = (taken(3), taken(12));
    assert!(
        crowded < alone,
        "{alone} alone, {crowded} among four a zone"
    );
}

/// Incidents idbcff6 and i9be87d: a timer that always ran on every node cost more than all requests.
#[test]
fn a_node_with_nothing_queued_sets_no_timer() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    let (request, actions) = node.ask(SECOND);
    assert_eq!(sends(&actions).len(), 1);
    let timer = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::SetTimer { .. }))
    };
    assert!(!timer(&actions) && !timer(&node.settle(request, 0, Outcome::Success, util(0.1))));
    assert!(
        timer(
            &Node::new(settings(Idempotency::Idempotent), vec![])
                .ask(SECOND)
                .1
        ),
        "what is held needs one"
    );
}

/// Guards against first tries of impatient clients taken for late repeats: a repeat may be given what is left
/// of the client's time, which is more than its first try had.
#[test]
fn a_first_attempt_shorter_than_retries_is_admitted() {
    let marked = |repeats_marked| Settings {
        retries_marked: repeats_marked,
        ..settings(Idempotency::Idempotent)
    };
    for (repeats_marked, taken) in [(true, true), (false, false)] {
        let mut node = Node::new(marked(repeats_marked), vec![member(1, 0)]);
        node.ask_again(950 * MILLISECOND);
        let (_, actions) = node.ask(400 * MILLISECOND);
        assert_eq!(
            (sent(&actions).is_some(), refused(&actions)),
            (taken, !taken)
        );
    }
}

/// A garble day's repeats ended with time left, as no backend had room in the very moment.
#[test]
fn a_retry_that_finds_no_capacity_is_queued() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(1));
    let (request, actions) = node.ask(SECOND);
    assert!(sent(&actions).is_some());
    let actions = node.settle_after(
        request,
        0,
        Outcome::Rejected,
        2 * MILLISECOND,
        LoadReport::default(),
    );
    assert!(!refused(&actions) && !failed(&actions) && sent(&actions).is_none());
    assert_eq!(
        sent(&node.pass(150 * MILLISECOND)),
        Some(BackendId(0)),
        "sent once the backend takes work again"
    );
}

/// Each day began with refusals: against the first guess of the base time every backend looked slow.
#[test]
fn first_answers_make_no_backend_slow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut open = Vec::new();
    for _ in 0..3 {
        let (request, actions) = node.ask(SECOND);
        open.push((request, sent(&actions)));
    }
    node.pass(200 * MILLISECOND);
    for (request, to) in open {
        assert!(to.is_some());
        node.settle_after(request, 0, Outcome::Success, 200 * MILLISECOND, util(0.1));
    }
    assert!(
        sent(&node.ask(SECOND).1).is_some(),
        "idle backends take the next one"
    );
}

/// What was never sent is refused while the client has half of its time for another try.
#[test]
fn a_request_never_sent_is_rejected_by_half_of_its_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), Vec::new());
    for wait in [100 * MILLISECOND, 300 * MILLISECOND, SECOND] {
        let came = node.now;
        let (_, mut actions) = node.ask(wait);
        while !refused(&actions) {
            assert!(node.now < came + wait / 2, "{wait}");
            actions = node.pass(10 * MILLISECOND);
        }
    }
}

/// A wide day: most clients had less time than a request takes. Their time-outs put good backends out.
#[test]
fn clients_with_little_time_eject_no_backend() {
    let marked = Settings {
        retries_marked: true,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(marked, fleet(3));
    node.serve(200, |_| util(0.3));
    let mut tried = 0;
    for _ in 0..60 {
        let (request, actions) = node.ask(20 * MILLISECOND);
        tried += usize::from(sent(&actions).is_some());
        node.pass(20 * MILLISECOND);
        let actions = node.settle_after(
            request,
            0,
            Outcome::TimedOut,
            20 * MILLISECOND,
            LoadReport::default(),
        );
        let ejects = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(ejects));
    }
    assert!(tried > 50, "{tried} were sent, with room on every backend");
}

/// Where reports show room, what may be late costs nobody else: half of such requests were held in vain.
#[test]
fn a_request_with_little_time_is_sent_where_reports_show_capacity() {
    let wide = Endpoint {
        size: 2.0,
        ..member(1, 0)
    };
    for (used, taken) in [(0.6, true), (0.9, false)] {
        let given = Settings {
            retries_marked: true,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(given, vec![wide]);
        node.serve(100, |_| util(used));
        assert!(sent(&node.ask(SECOND).1).is_some());
        assert_eq!(
            sent(&node.ask(20 * MILLISECOND).1).is_some(),
            taken,
            "{used}"
        );
    }
}

/// With every eighth attempt broken on the way, three in a row were chance, and most of a zone was ejected.
#[test]
fn connections_that_break_by_chance_eject_nobody() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve(100, |_| util(0.3));
    let open: Vec<(RequestId, Option<BackendId>)> = (0..6)
        .map(|_| node.ask(SECOND))
        .map(|(request, actions)| (request, sent(&actions)))
        .collect();
    let broken: Vec<_> = open
        .iter()
        .filter(|(_, to)| *to == Some(BackendId(0)))
        .collect();
    assert!(broken.len() >= 3, "{open:?}");
    for (request, _) in broken {
        let actions = node.settle_after(
            *request,
            0,
            Outcome::Reset,
            10 * MILLISECOND,
            LoadReport::default(),
        );
        let ejects = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(ejects));
        node.now += 2 * SECOND;
    }
}

/// The same day's repeats ran out: a tenth of the arrivals is less than what broke.
#[test]
fn one_broken_attempt_in_six_leaves_retries_for_all() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    node.serve(100, |_| util(0.3));
    for turn in 0..400 {
        let (request, actions) = node.ask(SECOND);
        assert!(sent(&actions).is_some());
        if turn % 6 == 0 {
            let actions = node.settle_after(
                request,
                0,
                Outcome::Reset,
                10 * MILLISECOND,
                LoadReport::default(),
            );
            assert!(sent(&actions).is_some(), "turn {turn}");
            node.settle(request, 1, Outcome::Success, util(0.3));
        } else {
            node.settle(request, 0, Outcome::Success, util(0.3));
        }
        node.now += 50 * MILLISECOND;
    }
}

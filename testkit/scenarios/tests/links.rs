//! Faults between the processes: each kind of bad link does to a real node's messages what it says, to those that it
//! is about and to no others, and a zone or a share of the nodes is struck as a whole.

mod common;

use badgerpost_scenarios::outcome::{AttemptOutcome, ClientResult, Request};
use badgerpost_scenarios::run::RunReport;
use common::MS;

const SCENE: &str = r#"
about = "links"
length_ms = 3000
[clients]
rate = 160.0
[discovery]
known = true
[[nodes]]
count = 2
name = "a"
zone = "dc-a"
[[nodes]]
count = 2
name = "b"
zone = "dc-b"
[[servers]]
count = 2
name = "ma"
zone = "dc-a"
[[servers]]
count = 2
name = "mb"
zone = "dc-b"
[[class]]
name = "status"
effect = "safe"
share = 1.0
work_ms = [10, 20]
aim_ms = 200
deadline_ms = 500
"#;

/// Plays the scene with a fault from 1 s to 2 s.
fn play(fault: &str) -> RunReport {
    let text = format!("{SCENE}[[fault]]\nat_ms = 1000\nfor_ms = 1000\n{fault}\n");
    let plan = common::plan(&text, 5);
    let played = common::play(&plan, common::program("badgerpost"), "", false);
    assert!(played.is_good(), "{fault}: {:?}", played.breaches);
    played
}

/// The requests that came to nodes of this name while the link was bad, and before.
fn of<'a>(played: &'a RunReport, node: &'a str) -> [Vec<&'a Request>; 2] {
    // What is stuck at the end comes through then, if its client still waits.
    [1000..1400, 100..950].map(|span| {
        let within = |request: &&Request| span.contains(&(request.arrival / MS));
        played
            .log
            .iter()
            .filter(|request| request.node.starts_with(node))
            .filter(within)
            .collect()
    })
}

fn served(requests: &[&Request]) -> usize {
    requests
        .iter()
        .filter(|one| one.result() == Some(ClientResult::Served))
        .count()
}

#[test]
fn a_cut_between_two_zones_leaves_what_is_within_them() {
    let played = play("kind = 'cut'\nzone = 'dc-a'\nto = 'dc-b'");
    for node in ["a", "b"] {
        let [during, before] = of(&played, node);
        assert!(before.len() > 15 && served(&before) == before.len());
        assert!(
            during.len() > 10 && served(&during) == during.len(),
            "{node}: home is not cut"
        );
    }
}

#[test]
fn a_node_that_is_cut_off_gets_nothing_and_the_others_all() {
    let played = play("kind = 'cut'\nnode = 'a0'");
    let [during, before] = of(&played, "a0");
    assert!(!before.is_empty() && served(&before) == before.len());
    assert!(during.len() > 5 && served(&during) == 0);
    assert!(
        during
            .iter()
            .flat_map(|one| &one.attempts)
            .all(|attempt| !attempt.executed)
    );
    for node in ["a1", "b"] {
        let [during, _] = of(&played, node);
        assert_eq!(served(&during), during.len(), "{node}");
    }
}

#[test]
fn one_way_cuts_differ_in_what_ran() {
    for (way, runs) in [("there", false), ("back", true)] {
        let played = play(&format!(
            "kind = 'cut'\nnode = 'a0'\nto = 'servers'\nway = '{way}'"
        ));
        let [during, _] = of(&played, "a0");
        let attempts: Vec<_> = during.iter().flat_map(|one| &one.attempts).collect();
        assert!(attempts.len() > 3 && served(&during) == 0, "{way}");
        assert!(
            attempts.iter().all(|attempt| attempt.executed == runs),
            "{way}"
        );
    }
}

#[test]
fn a_slow_link_adds_its_time_twice_and_a_lossy_one_now_and_then() {
    let took = |request: &&Request| {
        request
            .response
            .map_or(0, |answer| answer.at - request.arrival)
            / MS
    };
    let slow = play("kind = 'slow-link'\nnode = 'a0'\nto = 'servers'\nby_ms = 40");
    let [during, before] = of(&slow, "a0");
    assert!(before.iter().all(|one| took(one) < 40) && during.iter().all(|one| took(one) >= 90));
    let lossy = play("kind = 'lossy-link'\nnode = 'a0'\nto = 'servers'\nloss = 0.2");
    let [during, _] = of(&lossy, "a0");
    let late = during
        .iter()
        .filter(|one| took(one) >= 200 || one.response.is_none())
        .count();
    assert!(
        late > 0 && late < during.len(),
        "{late} of {}",
        during.len()
    );
}

#[test]
fn a_link_that_resets_breaks_connections_under_their_requests() {
    let played = play("kind = 'reset-link'\nzone = 'dc-a'\nto = 'dc-a'");
    let [during, _] = of(&played, "a");
    let reset = |request: &&&Request| {
        request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::ConnectionReset)
    };
    assert!(during.iter().filter(reset).count() > 3);
    let [during, _] = of(&played, "b");
    assert_eq!(during.iter().filter(reset).count(), 0);
}

#[test]
fn clients_that_are_cut_off_are_owed_nothing() {
    let played = play("kind = 'cut'\nshare = 1.0\nto = 'clients'");
    let during: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|node| of(&played, node)[0].clone())
        .collect();
    assert!(
        during.len() > 30
            && during
                .iter()
                .all(|one| one.is_excused && one.attempts.is_empty())
    );
}

#[test]
fn groups_are_struck_together_in_waves_and_again() {
    let played = play("kind = 'kill-node'\nzone = 'dc-a'");
    // The front sends to the next node then, which is of the other zone.
    assert!(of(&played, "a")[0].is_empty() && of(&played, "b")[0].len() > 50);
    let waves = play("kind = 'error'\nshare = 1.0\nwaves = 4\nevery_ms = 100");
    let failed: std::collections::BTreeSet<_> = waves
        .log
        .iter()
        .flat_map(|one| &one.attempts)
        .filter(|attempt| attempt.outcome == AttemptOutcome::ServerError)
        .map(|attempt| attempt.server.clone())
        .collect();
    assert_eq!(failed.len(), 4);
    let chance = play("kind = 'error'\nshare = 1.0\nchance = 0.3");
    let attempts = chance.log.iter().flat_map(|one| &one.attempts);
    let during: Vec<_> = attempts
        .filter(|one| (1000..1900).contains(&(one.start / MS)))
        .collect();
    let failed = during
        .iter()
        .filter(|attempt| attempt.outcome == AttemptOutcome::ServerError)
        .count();
    assert!(
        (during.len() / 8..during.len() / 2).contains(&failed),
        "{failed} of {}",
        during.len()
    );
    let slow = play("kind = 'slow'\nzone = 'dc-b'\ntimes = 4");
    let took = |request: &&Request| {
        request
            .response
            .map_or(0, |answer| answer.at - request.arrival)
            / MS
    };
    assert!(
        of(&slow, "b")[0]
            .iter()
            .filter(|one| took(one) >= 40)
            .count()
            > 5
    );
    assert!(of(&slow, "b")[1].iter().all(|one| took(one) < 40));
}

//! What a second deployment taught: queues that are bounded however wide the aim, probes where reports come by
//! probe only, and keys that have a server of their own.

mod common;
use common::*;

use badgerpost_balancer::*;

const WIDE: u64 = 600;

/// Five zones of three servers, a wide aim, `nodes` nodes.
fn wide(nodes: u32) -> Settings {
    let class = class(WIDE, 3000, Idempotency::NonIdempotent);
    Settings {
        classes: vec![class],
        node_count: nodes,
        ..Settings::new(ZoneId(0), 5)
    }
}

fn fifteen() -> Vec<Endpoint> {
    (0..15)
        .map(|b| Endpoint {
            name_hash: u64::from(b) * 0x9e37_79b9,
            ..member(b, b / 3)
        })
        .collect()
}

/// How many are in flight at each server once `count` have come at one moment and none was answered.
fn flood(node: &mut Node, count: usize) -> Vec<usize> {
    let mut held = vec![0; 15];
    for _ in 0..count {
        for to in sends(&node.ask(3 * SECOND).1) {
            held[to.0 as usize] += 1;
        }
    }
    held
}

/// Guards against queues that fit into a wide aim and choke their server: 7 of 15 did in two seconds.
#[test]
fn a_flood_waits_at_the_node_not_at_the_servers() {
    let mut node = Node::new(wide(5), fifteen());
    let held = flood(&mut node, 400);
    assert!(
        held[..3].iter().all(|&at| (2..=3).contains(&at)),
        "home: {held:?}"
    );
    assert!(held[3..].iter().all(|&at| at == 1), "elsewhere: {held:?}");
}

/// Guards against refusals with most servers idle: with two nodes for five zones, three zones have none.
#[test]
fn zones_without_nodes_of_their_own_are_used_in_full() {
    let mut node = Node::new(wide(2), fifteen());
    let held = flood(&mut node, 400);
    assert!(
        held[3..].iter().all(|&at| (2..=3).contains(&at)),
        "elsewhere: {held:?}"
    );
}

/// Guards against a bound that shuts slow servers out: an idle one can always take one.
#[test]
fn a_slow_server_of_another_zone_is_used_as_long_as_it_is_idle() {
    let mut node = Node::new(wide(5), fifteen());
    let (mut out, mut slow) = (Vec::new(), [false; 15]);
    let launched = |actions: &[Action]| -> Vec<(RequestId, BackendId)> {
        let to = |action: &Action| match action {
            Action::Send {
                request, backend, ..
            } => Some((*request, *backend)),
            _ => None,
        };
        actions.iter().filter_map(to).collect()
    };
    for _ in 0..60 {
        for _ in 0..20 {
            out.extend(launched(&node.ask(3 * SECOND).1));
        }
        while !out.is_empty() {
            node.now += 10 * MILLISECOND;
            for (request, to) in std::mem::take(&mut out) {
                let elapsed = if to.0 % 2 == 1 {
                    60 * MILLISECOND
                } else {
                    180 * MILLISECOND
                };
                slow[to.0 as usize] |= to.0 % 2 == 0;
                out.extend(launched(&node.settle_after(
                    request,
                    0,
                    Outcome::Success,
                    elapsed,
                    LoadReport::default(),
                )));
            }
        }
        node.now += 200 * MILLISECOND;
    }
    assert!(slow[4..].iter().step_by(2).all(|&used| used), "{slow:?}");
    let held = flood(&mut node, 400);
    assert!(held.iter().all(|&at| at >= 1), "{held:?}");
}

/// The depth allowed does not depend on how fast a server is: past it a machine slows by its own crowd.
#[test]
fn a_fast_server_gets_no_longer_queue() {
    let mut node = Node::new(wide(5), fifteen());
    for _ in 0..300 {
        let (request, actions) = node.ask(3 * SECOND);
        node.now += 10 * MILLISECOND;
        let Some(to) = sent(&actions) else { continue };
        let elapsed = if to.0 == 1 {
            10 * MILLISECOND
        } else {
            80 * MILLISECOND
        };
        node.settle_after(request, 0, Outcome::Success, elapsed, LoadReport::default());
    }
    let held = flood(&mut node, 400);
    assert!(held[1] <= 3, "{held:?}");
}

fn probed(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::CheckHealth { backend } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

fn by_probe(allowed: bool) -> Settings {
    let mut settings = wide(5);
    settings.reports_by_health_check = true;
    settings.limits.health_checks = allowed;
    settings
}

/// All probes of ten seconds at `rate` requests a second, each answered at once.
fn probes(settings: Settings, rate: u64, members: Vec<Endpoint>) -> Vec<BackendId> {
    let mut node = Node::new(settings, members);
    let mut all = Vec::new();
    for _ in 0..10 * rate {
        let (request, actions) = node.ask(3 * SECOND);
        node.now += SECOND / rate;
        let mut asked = probed(&actions);
        if sent(&actions).is_some() {
            asked.extend(probed(&node.settle(
                request,
                0,
                Outcome::Success,
                LoadReport::default(),
            )));
        }
        for &backend in &asked {
            let (outcome, elapsed, report) = (Outcome::Success, MILLISECOND, util(0.3));
            node.tell(Event::HealthCheckEnded {
                backend,
                outcome,
                elapsed,
                report,
            });
        }
        all.extend(asked);
    }
    all
}

#[test]
fn health_checks_reach_every_server_and_are_paid_for_by_traffic() {
    let all = probes(by_probe(true), 60, fifteen());
    for backend in 0..15 {
        assert!(
            all.contains(&BackendId(backend)),
            "{backend} was never asked"
        );
    }
    let quiet = probes(by_probe(true), 20, fifteen());
    assert!(
        quiet.len() <= 200 / 5 + 4,
        "{} probes for 200 requests",
        quiet.len()
    );
    let home = all.iter().filter(|to| to.0 < 3).count();
    assert!(
        home > all.len() / 3,
        "a fifth of the servers, at home, got {home} of {}",
        all.len()
    );
    // However much comes, no server is asked more often than reports are made anew.
    let busy = probes(by_probe(true), 2000, fifteen());
    assert!(busy.len() <= 15 * 13, "{} probes", busy.len());
}

#[test]
fn no_health_check_where_none_is_allowed_or_answers_report_load() {
    assert!(probes(by_probe(false), 60, fifteen()).is_empty());
    let mut settings = by_probe(true);
    settings.reports_by_health_check = false;
    assert!(probes(settings, 60, fifteen()).is_empty());
}

#[test]
fn a_draining_server_gets_no_health_check() {
    let mut members = fifteen();
    members[2].state = EndpointState::Draining;
    assert!(!probes(by_probe(true), 60, members).contains(&BackendId(2)));
}

/// What probes tell is what the threshold goes by: a home zone that is full by its reports spills.
#[test]
fn a_local_zone_that_health_checks_show_as_full_spills() {
    let spills = |used: f64| {
        let mut node = Node::new(by_probe(true), fifteen());
        for backend in 0..15 {
            let report = util(if backend < 3 { used } else { 0.2 });
            let (backend, outcome) = (BackendId(backend), Outcome::Success);
            node.tell(Event::HealthCheckEnded {
                backend,
                outcome,
                elapsed: MILLISECOND,
                report,
            });
        }
        node.now += 200 * MILLISECOND;
        sent(&node.ask(3 * SECOND).1).is_some_and(|to| to.0 >= 3)
    };
    assert!(spills(0.95));
    assert!(!spills(0.5));
}

fn warm() -> Settings {
    Settings {
        key_affinity: true,
        ..wide(5)
    }
}

fn ask_for(node: &mut Node, key: u64) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next);
    node.next += 1;
    let not_after = node.now + 3 * SECOND;
    let (class, key) = (ClassId(0), Some(key));
    let arrival = RequestArrival {
        request,
        class,
        affinity_key: key,
        expected_service_time: None,
        is_retry: false,
        tenant: None,
        expires_at: not_after,
    };
    (request, node.tell(Event::RequestArrived(arrival)))
}

/// A key's server, at a node with this seed and its list in this order.
fn servers_of(settings: Settings, seed: u64, members: Vec<Endpoint>) -> Vec<Option<u64>> {
    let tags: Vec<(BackendId, u64)> = members.iter().map(|m| (m.backend, m.name_hash)).collect();
    let mut node = Node::seeded(seed, settings, members);
    let mut at = Vec::new();
    for key in 0..60u64 {
        let (request, actions) = ask_for(&mut node, key * 0x1234_5678_9abc);
        let to = sent(&actions);
        at.push(
            to.and_then(|to| tags.iter().find(|tag| tag.0 == to))
                .map(|tag| tag.1),
        );
        node.now += 20 * MILLISECOND;
        node.settle(request, 0, Outcome::Success, LoadReport::default());
    }
    at
}

#[test]
fn a_key_has_the_same_server_at_every_node_whatever_their_numbers() {
    let mut renumbered = fifteen();
    renumbered
        .iter_mut()
        .for_each(|m| m.backend = BackendId(14 - m.backend.0));
    let here = servers_of(warm(), 1, fifteen());
    assert_eq!(here, servers_of(warm(), 2, renumbered));
    let used: std::collections::BTreeSet<_> = here.iter().collect();
    assert_eq!(used.len(), 3, "the keys are spread over the zone");
    assert_ne!(
        here,
        servers_of(wide(5), 1, fifteen()),
        "where keys stay cold they count for nothing"
    );
}

/// A hot key must not jam the one server that knows it.
#[test]
fn a_hot_key_goes_on_to_other_servers_as_its_own_fills_up() {
    let mut node = Node::new(warm(), fifteen());
    let mut held = [0; 15];
    for _ in 0..6 {
        for to in sends(&ask_for(&mut node, 42).1) {
            held[to.0 as usize] += 1;
        }
    }
    assert!(held[..3].iter().all(|&at| at >= 1), "{held:?}");
}

/// Of what is held, a server with room gets what it knows: half of the work is saved there.
#[test]
fn a_server_with_capacity_gets_the_queued_requests_whose_keys_it_knows() {
    let (mut known, mut served) = (0, 0);
    for seed in 0..20 {
        let mut settings = warm();
        settings.zone_count = 1;
        settings.node_count = 1;
        let members: Vec<Endpoint> = fifteen().into_iter().take(3).collect();
        let mut node = Node::seeded(seed, settings, members);
        let mut server_of = std::collections::BTreeMap::new();
        for key in 0..12u64 {
            let (request, actions) = ask_for(&mut node, key);
            server_of.insert(key, sent(&actions));
            node.now += 20 * MILLISECOND;
            node.settle(request, 0, Outcome::Success, LoadReport::default());
        }
        let mut out = Vec::new();
        let mut keys = std::collections::BTreeMap::new();
        for turn in 0..40u64 {
            let (request, actions) = ask_for(&mut node, turn % 12);
            keys.insert(request, turn % 12);
            out.extend(sent(&actions).map(|_| request));
        }
        node.now += 30 * MILLISECOND;
        for action in node.settle(out[0], 0, Outcome::Success, LoadReport::default()) {
            if let Action::Send {
                request, backend, ..
            } = action
            {
                served += 1;
                known += usize::from(server_of[&keys[&request]] == Some(backend));
            }
        }
    }
    assert!(served >= 15, "{served} sent");
    assert!(known * 10 >= served * 8, "{known} of {served}");
}

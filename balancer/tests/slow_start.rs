//! Simulates a warming server in a fleet of nodes with unequal traffic. All nodes together must not send the
//! server more than its slow-start budget in any overload window, apart from random variation.

mod common;
use std::collections::{BTreeMap, VecDeque};

use badgerpost_balancer::*;
use common::*;

const TIME_STEP: Nanos = 5 * MILLISECOND;
const REQUESTS_PER_SECOND_OF_WARM_SERVER: f64 = 60.0;
const SERVICE_TIME: Nanos = 30 * MILLISECOND;
const WARMING_SERVER: BackendId = BackendId(0);
const WARMING_STARTS_AT: Nanos = 20 * SECOND;

#[derive(Clone, Copy)]
struct Case {
    nodes: u32,
    servers: u32,
    /// Load as a fraction of the capacity of all servers.
    load: f64,
    /// Nodes are notified of the server's start at random times within this duration.
    notification_spread: Nanos,
    /// When half of the nodes restart and lose their state, if they do.
    restarted_at: Option<Nanos>,
    /// When half of the nodes are killed and the others get their traffic, if they are.
    killed_at: Option<Nanos>,
    seed: u64,
}

struct Server {
    /// When the server's open requests end, in order.
    request_ends: VecDeque<Nanos>,
    /// When the server's queue is empty, in nanoseconds.
    free_at: f64,
    utilization: f64,
}

/// A linear congruential random number generator.
struct Random(u64);

impl Random {
    /// A number between 0 and 1.
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }
}

fn settings_of(case: Case) -> Settings {
    let mut node_settings = Settings {
        node_count: case.nodes,
        ..settings(Idempotency::Idempotent)
    };
    node_settings.rules.slow_start_capacity = 0.15;
    node_settings.rules.slow_start_duration = 20 * SECOND;
    node_settings.rules.overload_multiple = 2.5;
    node_settings.rules.overload_window = 1500 * MILLISECOND;
    node_settings
}

/// Fraction of its capacity that the warming server has.
fn warming_capacity(now: Nanos) -> f64 {
    (0.15 + 0.85 * now.saturating_sub(WARMING_STARTS_AT) as f64 / (20.0 * SECOND as f64))
        .clamp(0.15, 1.0)
}

/// Simulates a case. Returns the largest excess of any window over the budget, as a multiple of the allowed random
/// variation, and the fraction of the budget used during slow start.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn simulate(case: Case) -> (f64, f64) {
    let mut rng = Random(case.seed * 2 + 1);
    let endpoints = |with_warming: bool| -> Vec<Endpoint> {
        let started_at = |b| (b == 0).then_some(WARMING_STARTS_AT + SECOND);
        let all = (0..case.servers).filter(|&b| with_warming || b > 0);
        all.map(|b| Endpoint {
            started_at: started_at(b),
            ..endpoint(b, b % 3)
        })
        .collect()
    };
    let start = |seed: u64, now: Nanos, with_warming: bool, local_zone: u32| {
        let node_settings = Settings {
            local_zone: ZoneId(local_zone),
            ..settings_of(case)
        };
        let mut node = Node::seeded(seed, node_settings, endpoints(with_warming));
        node.now = now;
        node
    };
    let count = case.nodes as usize;
    let mut nodes: Vec<Node> = (0..count)
        .map(|n| start(case.seed * 1000 + n as u64, SECOND, false, n as u32 % 3))
        .collect();
    // Some nodes get several times the traffic of others.
    let traffic_weights: Vec<f64> = (0..count)
        .map(|_| 0.25 + 3.0 * rng.next().powi(3))
        .collect();
    let mut is_alive: Vec<bool> = vec![true; count];
    let mut is_notified: Vec<bool> = vec![false; count];
    let notified_at: Vec<Nanos> = (0..count)
        .map(|_| {
            WARMING_STARTS_AT + SECOND + (rng.next() * case.notification_spread as f64) as Nanos
        })
        .collect();
    let mut servers: Vec<Server> = (0..case.servers)
        .map(|_| Server {
            request_ends: VecDeque::new(),
            free_at: 0.0,
            utilization: 0.5,
        })
        .collect();
    // Attempts in flight: end, serial number, node, request, attempt and server.
    let mut attempt_ends: BTreeMap<(Nanos, u64), (usize, RequestId, u32, BackendId)> =
        BTreeMap::new();
    let mut warming_sends: Vec<Nanos> = Vec::new();
    let mut serial = 0;
    let rate = case.load * REQUESTS_PER_SECOND_OF_WARM_SERVER * f64::from(case.servers - 1);
    let mut now = SECOND;
    while now < WARMING_STARTS_AT + 22 * SECOND {
        now += TIME_STEP;
        if case
            .killed_at
            .is_some_and(|at| now >= at && now < at + TIME_STEP)
        {
            (0..count / 2).for_each(|n| is_alive[n] = false);
        }
        if case
            .restarted_at
            .is_some_and(|at| now >= at && now < at + TIME_STEP)
        {
            for n in 0..count / 2 {
                nodes[n] = start(case.seed * 7000 + n as u64, now, true, n as u32 % 3);
                (is_notified[n], _) = (true, attempt_ends.retain(|_, end| end.0 != n));
            }
        }
        let mut actions: Vec<(usize, Vec<Action>)> = Vec::new();
        while let Some((&(at, _), _)) = attempt_ends.first_key_value()
            && at <= now
            && let Some((_, (n, request, attempt, to))) = attempt_ends.pop_first()
        {
            let server = &mut servers[to.0 as usize];
            server.request_ends.pop_front();
            nodes[n].now = now;
            let report = utilization_report(server.utilization);
            let elapsed = SERVICE_TIME;
            actions.push((
                n,
                nodes[n].end_attempt_after(request, attempt, Outcome::Success, elapsed, report),
            ));
        }
        let total_weight: f64 = traffic_weights
            .iter()
            .zip(&is_alive)
            .filter(|(_, is_alive)| **is_alive)
            .map(|(weight, _)| weight)
            .sum();
        for n in 0..count {
            if !is_alive[n] {
                continue;
            }
            nodes[n].now = now;
            if !is_notified[n] && now >= notified_at[n] {
                is_notified[n] = true;
                let started = endpoints(true)
                    .into_iter()
                    .filter(|endpoint| endpoint.backend == WARMING_SERVER)
                    .collect();
                actions.push((n, nodes[n].update_endpoints(EndpointUpdate::Delta, started)));
            }
            let expected =
                rate * traffic_weights[n] / total_weight * TIME_STEP as f64 / SECOND as f64;
            if rng.next() < expected {
                actions.push((n, nodes[n].arrive(SECOND).1));
            }
            if now.is_multiple_of(20 * MILLISECOND) {
                actions.push((n, nodes[n].handle(Event::TimerFired { token: 0 })));
            }
        }
        for (n, actions) in actions {
            for action in actions {
                let Action::Send {
                    request, backend, ..
                } = action
                else {
                    continue;
                };
                let server = &mut servers[backend.0 as usize];
                let capacity = if backend == WARMING_SERVER {
                    warming_capacity(now)
                } else {
                    1.0
                };
                let free = server.free_at.max(now as f64)
                    + SECOND as f64 / (REQUESTS_PER_SECOND_OF_WARM_SERVER * capacity);
                server.free_at = free;
                let end = (free as Nanos).max(now) + SERVICE_TIME;
                server.request_ends.push_back(end);
                serial += 1;
                attempt_ends.insert((end, serial), (n, request, 0, backend));
                if backend == WARMING_SERVER {
                    warming_sends.push(now);
                }
            }
        }
        for server in &mut servers {
            // A server is busy while its queue is not empty.
            let busy = f64::from(u8::from(server.free_at > now as f64));
            server.utilization += (busy - server.utilization) * 0.02;
        }
    }
    let window = 1500 * MILLISECOND;
    let (mut worst, mut used, mut budget) = (f64::MIN, 0.0, 0.0);
    for (first, &at) in warming_sends.iter().enumerate() {
        let sends_in_window = warming_sends[first..]
            .iter()
            .take_while(|&&other| other < at + window)
            .count() as f64;
        let max_sends = 2.5 * warming_capacity(at) * REQUESTS_PER_SECOND_OF_WARM_SERVER * 1.5;
        worst = worst.max((sends_in_window - max_sends) / (2.0 * max_sends.sqrt() + 2.0));
    }
    for second in 1..20 {
        let (from, to) = (
            WARMING_STARTS_AT + second * SECOND,
            WARMING_STARTS_AT + (second + 1) * SECOND,
        );
        used += warming_sends
            .iter()
            .filter(|&&at| (from..to).contains(&at))
            .count() as f64;
        budget += 2.5 * warming_capacity(from) * REQUESTS_PER_SECOND_OF_WARM_SERVER;
    }
    (worst, used / budget)
}

fn cases(nodes: u32, servers: u32) -> Vec<(&'static str, Case)> {
    let plain = Case {
        nodes,
        servers,
        load: 0.6,
        notification_spread: 0,
        restarted_at: None,
        killed_at: None,
        seed: 1,
    };
    let during_slow_start = WARMING_STARTS_AT + 6 * SECOND;
    vec![
        ("plain", plain),
        (
            "no capacity on the other servers",
            Case {
                load: 1.15,
                ..plain
            },
        ),
        (
            "nodes notified over 3 s",
            Case {
                notification_spread: 3 * SECOND,
                ..plain
            },
        ),
        (
            "half of the nodes restart",
            Case {
                restarted_at: Some(during_slow_start),
                ..plain
            },
        ),
        (
            "half of the nodes restart, no capacity on the other servers",
            Case {
                restarted_at: Some(during_slow_start),
                load: 1.15,
                ..plain
            },
        ),
        (
            "half of the nodes are killed",
            Case {
                killed_at: Some(during_slow_start),
                ..plain
            },
        ),
    ]
}

fn assert_slow_start_budget_is_kept(nodes: u32, servers: u32, seeds: u64) {
    for (case_name, case) in cases(nodes, servers) {
        for seed in 1..=seeds {
            let (worst, used) = simulate(Case { seed, ..case });
            println!(
                "{nodes} nodes, {case_name}, seed {seed}: largest excess {worst:.2} of the allowed variation, {:.0}% of the budget used",
                used * 100.0
            );
            assert!(
                worst <= 1.0,
                "{nodes} nodes, {case_name}, seed {seed}: largest excess {worst:.2} times the allowed variation"
            );
        }
    }
}

#[test]
fn twenty_nodes_together_stay_within_the_slow_start_budget() {
    assert_slow_start_budget_is_kept(20, 12, 3);
}

#[test]
fn thirty_nodes_together_stay_within_the_slow_start_budget() {
    assert_slow_start_budget_is_kept(30, 15, 3);
}

#[test]
fn three_hundred_nodes_together_stay_within_the_slow_start_budget() {
    assert_slow_start_budget_is_kept(300, 60, 1);
}

//! A warming server and what all nodes together send to it: whatever each of them knows, and however unequal their
//! traffic, no window of the rule's length gets more than the settings allow, apart from what chance explains.

mod common;
use std::collections::{BTreeMap, VecDeque};

use badgerpost_balancer::*;
use common::*;

const STEP: Nanos = 5 * MILLISECOND;
/// Requests a second that a warm server serves.
const RATE: f64 = 60.0;
/// Service time of a request.
const SERVICE_TIME: Nanos = 30 * MILLISECOND;
const WARMING: BackendId = BackendId(0);
const STARTS_AT: Nanos = 20 * SECOND;

#[derive(Clone, Copy)]
struct Case {
    nodes: u32,
    servers: u32,
    /// Load as a fraction of the capacity of all servers.
    load: f64,
    /// Time over which the nodes are notified of the start.
    notification_spread: Nanos,
    /// When half of the nodes restart without state; none for never.
    restart: Option<Nanos>,
    /// When half of the nodes are killed and the others get their requests.
    killed: Option<Nanos>,
    seed: u64,
}

struct Server {
    /// Ends of its requests, in order.
    ends: VecDeque<Nanos>,
    free_at: f64,
    util: f64,
}

struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 33) as f64 + 0.5) / (1u64 << 31) as f64
    }
}

fn given(case: Case) -> Settings {
    let mut given = Settings {
        node_count: case.nodes,
        ..settings(Idempotency::Idempotent)
    };
    given.rules.slow_start_capacity = 0.15;
    given.rules.slow_start_duration = 20 * SECOND;
    given.rules.overload_multiple = 2.5;
    given.rules.overload_window = 1500 * MILLISECOND;
    given
}

fn ramp(now: Nanos) -> f64 {
    (0.15 + 0.85 * now.saturating_sub(STARTS_AT) as f64 / (20.0 * SECOND as f64)).clamp(0.15, 1.0)
}

/// What the worst window got beyond its budget, relative to what chance may add; and the part of the budget used during
/// slow start.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn run(case: Case) -> (f64, f64) {
    let mut draws = Draws(case.seed * 2 + 1);
    let endpoints = |cold: bool| -> Vec<Endpoint> {
        let online = |b| (b == 0).then_some(STARTS_AT + SECOND);
        let all = (0..case.servers).filter(|&b| cold || b > 0);
        all.map(|b| Endpoint {
            started_at: online(b),
            ..endpoint(b, b % 3)
        })
        .collect()
    };
    let start = |seed: u64, now: Nanos, cold: bool, home: u32| {
        let given = Settings {
            local_zone: ZoneId(home),
            ..given(case)
        };
        let mut node = Node::seeded(seed, given, endpoints(cold));
        node.now = now;
        node
    };
    let count = case.nodes as usize;
    let mut nodes: Vec<Node> = (0..count)
        .map(|n| start(case.seed * 1000 + n as u64, SECOND, false, n as u32 % 3))
        .collect();
    // Some nodes get several times the traffic of others.
    let parts: Vec<f64> = (0..count)
        .map(|_| 0.25 + 3.0 * draws.next().powi(3))
        .collect();
    let mut alive: Vec<bool> = vec![true; count];
    let mut is_notified: Vec<bool> = vec![false; count];
    let notified_at: Vec<Nanos> = (0..count)
        .map(|_| STARTS_AT + SECOND + (draws.next() * case.notification_spread as f64) as Nanos)
        .collect();
    let mut servers: Vec<Server> = (0..case.servers)
        .map(|_| Server {
            ends: VecDeque::new(),
            free_at: 0.0,
            util: 0.5,
        })
        .collect();
    // Ends of attempts: time, node, request, attempt and server.
    let mut ends: BTreeMap<(Nanos, u64), (usize, RequestId, u32, BackendId)> = BTreeMap::new();
    let mut arrivals: Vec<Nanos> = Vec::new();
    let mut serial = 0;
    let rate = case.load * RATE * f64::from(case.servers - 1);
    let mut now = SECOND;
    while now < STARTS_AT + 22 * SECOND {
        now += STEP;
        if case.killed.is_some_and(|at| now >= at && now < at + STEP) {
            (0..count / 2).for_each(|n| alive[n] = false);
        }
        if case.restart.is_some_and(|at| now >= at && now < at + STEP) {
            for n in 0..count / 2 {
                nodes[n] = start(case.seed * 7000 + n as u64, now, true, n as u32 % 3);
                (is_notified[n], _) = (true, ends.retain(|_, end| end.0 != n));
            }
        }
        let mut actions: Vec<(usize, Vec<Action>)> = Vec::new();
        while let Some((&(at, _), _)) = ends.first_key_value()
            && at <= now
            && let Some((_, (n, request, attempt, to))) = ends.pop_first()
        {
            let server = &mut servers[to.0 as usize];
            server.ends.pop_front();
            nodes[n].now = now;
            let report = utilization_report(server.util);
            let elapsed = SERVICE_TIME;
            actions.push((
                n,
                nodes[n].end_attempt_after(request, attempt, Outcome::Success, elapsed, report),
            ));
        }
        let shares: f64 = parts
            .iter()
            .zip(&alive)
            .filter(|(_, alive)| **alive)
            .map(|(part, _)| part)
            .sum();
        for n in 0..count {
            if !alive[n] {
                continue;
            }
            nodes[n].now = now;
            if !is_notified[n] && now >= notified_at[n] {
                is_notified[n] = true;
                let started = endpoints(true)
                    .into_iter()
                    .filter(|m| m.backend == WARMING)
                    .collect();
                actions.push((n, nodes[n].update_endpoints(EndpointUpdate::Delta, started)));
            }
            let expected = rate * parts[n] / shares * STEP as f64 / SECOND as f64;
            if draws.next() < expected {
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
                let capacity = if backend == WARMING { ramp(now) } else { 1.0 };
                let free = server.free_at.max(now as f64) + SECOND as f64 / (RATE * capacity);
                server.free_at = free;
                let end = (free as Nanos).max(now) + SERVICE_TIME;
                server.ends.push_back(end);
                serial += 1;
                ends.insert((end, serial), (n, request, 0, backend));
                if backend == WARMING {
                    arrivals.push(now);
                }
            }
        }
        for server in &mut servers {
            // Busy while its queue is not empty.
            let busy = f64::from(u8::from(server.free_at > now as f64));
            server.util += (busy - server.util) * 0.02;
        }
    }
    let window = 1500 * MILLISECOND;
    let (mut worst, mut used, mut budget) = (f64::MIN, 0.0, 0.0);
    for (first, &at) in arrivals.iter().enumerate() {
        let got = arrivals[first..]
            .iter()
            .take_while(|&&other| other < at + window)
            .count() as f64;
        let most = 2.5 * ramp(at) * RATE * 1.5;
        worst = worst.max((got - most) / (2.0 * most.sqrt() + 2.0));
    }
    for second in 1..20 {
        let (from, to) = (
            STARTS_AT + second * SECOND,
            STARTS_AT + (second + 1) * SECOND,
        );
        used += arrivals
            .iter()
            .filter(|&&at| (from..to).contains(&at))
            .count() as f64;
        budget += 2.5 * ramp(from) * RATE;
    }
    (worst, used / budget)
}

fn cases(nodes: u32, servers: u32) -> Vec<(&'static str, Case)> {
    let plain = Case {
        nodes,
        servers,
        load: 0.6,
        notification_spread: 0,
        restart: None,
        killed: None,
        seed: 1,
    };
    let ramp = STARTS_AT + 6 * SECOND;
    vec![
        ("plain", plain),
        (
            "the only one with capacity",
            Case {
                load: 1.15,
                ..plain
            },
        ),
        (
            "notified over 3 s",
            Case {
                notification_spread: 3 * SECOND,
                ..plain
            },
        ),
        (
            "half restart",
            Case {
                restart: Some(ramp),
                ..plain
            },
        ),
        (
            "half restart, no capacity",
            Case {
                restart: Some(ramp),
                load: 1.15,
                ..plain
            },
        ),
        (
            "half are killed",
            Case {
                killed: Some(ramp),
                ..plain
            },
        ),
    ]
}

fn assert_never_beyond_chance(nodes: u32, servers: u32, seeds: u64) {
    for (what, case) in cases(nodes, servers) {
        for seed in 1..=seeds {
            let (worst, used) = run(Case { seed, ..case });
            println!(
                "{nodes} nodes, {what}, seed {seed}: {worst:.2} of chance, {:.0}% of the budget used",
                used * 100.0
            );
            assert!(
                worst <= 1.0,
                "{nodes} nodes, {what}, seed {seed}: {worst:.2} times what chance may add"
            );
        }
    }
}

#[test]
fn twenty_nodes_together_keep_the_slow_start_budget() {
    assert_never_beyond_chance(20, 12, 3);
}

#[test]
fn thirty_nodes_together_keep_the_slow_start_budget() {
    assert_never_beyond_chance(30, 15, 3);
}

#[test]
fn three_hundred_nodes_together_keep_the_slow_start_budget() {
    assert_never_beyond_chance(300, 60, 1);
}

//! Runs the monitor of one node against simulated servers in three zones.

use std::collections::BTreeMap;

use super::*;
use crate::event::{ListedServer, ZoneOverride};
use crate::ids::{ClassIndex, ServerId};
use badgerpost_time::SECOND;

/// How the servers of a zone respond.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Almost all requests succeed.
    Healthy,
    /// No request gets a response.
    Silent,
    /// Response times are multiplied by this factor.
    Slow(u64),
    /// This percentage of requests gets an error response, in every class.
    Failing(u64),
    /// All connections are refused.
    Refusing,
    /// All requests of class 1 get an error response.
    FailingOneClass,
}

const SERVERS_PER_ZONE: u32 = 10;
/// Zone of the simulated node.
const LOCAL_ZONE: usize = 1;
/// Mean time between two requests.
const REQUEST_INTERVAL: Nanos = 17 * MILLISECOND;

/// The scheduled end of an outstanding attempt, ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingEnd {
    ends_at: Nanos,
    attempt: AttemptKey,
}

/// A logged change of a zone's state.
#[derive(Debug, PartialEq)]
struct LoggedChange {
    at: Nanos,
    zone: usize,
    reason: &'static str,
}

/// A node that distributes requests over three zones according to the monitor's actions.
struct Simulation {
    monitor: ZoneMonitor,
    now: Nanos,
    random: u64,
    behaviour: [Behaviour; 3],
    /// A server that never responds.
    stuck_server: Option<ServerId>,
    pending: BTreeMap<PendingEnd, AttemptSignal>,
    next_attempt: u64,
    timer_at: Option<Nanos>,
    share: [f64; 3],
    requested_probe: Option<u32>,
    /// Requests sent, by zone.
    sent: [u32; 3],
    changes: Vec<LoggedChange>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let settings = Settings {
            local_zone: 1,
            zone_count: 3,
            class_count: 2,
            node_count: 15,
            seed,
        };
        let mut simulation = Self {
            monitor: ZoneMonitor::new(settings, SECOND),
            now: SECOND,
            random: seed,
            behaviour: [Behaviour::Healthy; 3],
            stuck_server: None,
            pending: BTreeMap::new(),
            next_attempt: 0,
            timer_at: None,
            share: [1.0; 3],
            requested_probe: None,
            sent: [0; 3],
            changes: Vec::new(),
        };
        let servers = (0..3 * SERVERS_PER_ZONE)
            .map(|server| ListedServer {
                server: ServerId(server),
                zone: ZoneIndex(server / SERVERS_PER_ZONE),
                capacity: 4.0,
            })
            .collect();
        simulation.handle(Event::EndpointsListed(servers));
        simulation
    }

    /// A simulation that has run for 10 s without a fault.
    fn after_warm_up(seed: u64) -> Self {
        let mut simulation = Self::new(seed);
        simulation.run(10 * SECOND);
        simulation
    }

    fn draw(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(0x5851_f42d_4c95_7f2d)
            .wrapping_add(0x1405_7b7e_f767_814f);
        self.random >> 33
    }

    fn draw_fraction(&mut self) -> f64 {
        (self.draw() % 1000) as f64 / 1000.0
    }

    /// Passes an event to the monitor and executes the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.monitor.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetShare { zone, share } => self.share[zone.position()] = share,
                Action::RequestProbe { zone, .. } => self.requested_probe = Some(zone.0),
                Action::SetTimer { at } => self.timer_at = Some(at),
                Action::Gossip { .. } => panic!("gossip without other nodes"),
                Action::LogChange { zone, reason, .. } => self.changes.push(LoggedChange {
                    at: self.now,
                    zone: zone.position(),
                    reason: reason.as_str(),
                }),
            }
        }
    }

    /// Selects the zone of a request: that of a requested probe, or else one by the shares.
    fn choose_zone(&mut self) -> u32 {
        if let Some(zone) = self.requested_probe.take() {
            return zone;
        }
        if self.draw_fraction() < self.share[LOCAL_ZONE] {
            return 1;
        }
        let total = self.share[0] + self.share[2];
        let fraction = self.draw_fraction();
        if total == 0.0 {
            1
        } else {
            2 * u32::from(fraction * total >= self.share[0])
        }
    }

    /// Sends a request and schedules the end of the attempt.
    fn send_request(&mut self) {
        let zone = self.choose_zone();
        let drawn_server = u32::try_from(self.draw()).unwrap();
        let server = ServerId(zone * SERVERS_PER_ZONE + drawn_server % SERVERS_PER_ZONE);
        let class = ClassIndex(u32::from(self.draw().is_multiple_of(3)));
        let attempt = AttemptKey(self.next_attempt);
        let duration = (20 + self.draw() % 40) * MILLISECOND;
        self.next_attempt += 1;
        self.sent[zone as usize] += 1;
        let percentile = self.draw() % 100;
        let (duration, signal) = match self.behaviour[zone as usize] {
            _ if self.stuck_server == Some(server) => (500 * MILLISECOND, AttemptSignal::TimedOut),
            Behaviour::Silent if class.0 == 0 => (200 * MILLISECOND, AttemptSignal::TimedOut),
            Behaviour::Silent => (900 * MILLISECOND, AttemptSignal::TimedOut),
            Behaviour::Slow(factor) => (duration * factor, AttemptSignal::Success),
            Behaviour::Failing(percentage) if percentile < percentage => {
                (duration, AttemptSignal::ErrorResponse)
            }
            Behaviour::FailingOneClass if class.0 == 1 => (duration, AttemptSignal::ErrorResponse),
            Behaviour::Refusing => (MILLISECOND / 2, AttemptSignal::ConnectionFailed),
            _ if percentile == 0 => (duration, AttemptSignal::ErrorResponse),
            _ => (duration, AttemptSignal::Success),
        };
        self.handle(Event::AttemptSent {
            attempt,
            server,
            zone: ZoneIndex(zone),
            class,
        });
        let ends_at = self.now + duration;
        self.pending.insert(PendingEnd { ends_at, attempt }, signal);
    }

    fn run(&mut self, duration: Nanos) {
        let until = self.now + duration;
        let mut next_request_at = self.now;
        while self.now < until {
            let next_end = self.pending.first_key_value().map(|(end, _)| *end);
            let next_event_at = [
                Some(next_request_at),
                next_end.map(|end| end.ends_at),
                self.timer_at,
            ]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(until);
            self.now = self.now.max(next_event_at).min(until);
            if let Some(end) = next_end.filter(|end| end.ends_at <= self.now) {
                let signal = self.pending.remove(&end).unwrap_or(AttemptSignal::NotSent);
                self.handle(Event::AttemptEnded {
                    attempt: end.attempt,
                    signal,
                    utilization: Some(0.4),
                });
            } else if self.timer_at.is_some_and(|timer_at| timer_at <= self.now) {
                self.timer_at = None;
                self.handle(Event::TimerFired);
            } else if next_request_at <= self.now {
                self.send_request();
                next_request_at = self.now + REQUEST_INTERVAL / 2 + self.draw() % REQUEST_INTERVAL;
            }
        }
    }

    /// Overrides the local zone's state for 2 s from now.
    fn override_local_zone(&mut self, is_ejected: bool) {
        let until = self.now + 2 * SECOND;
        self.handle(Event::OperatorOverride {
            zone: ZoneIndex(1),
            zone_override: Some(ZoneOverride::new(is_ejected, until)),
        });
    }

    /// The reasons logged for the local zone, in order.
    fn local_reasons(&self) -> Vec<&'static str> {
        self.changes
            .iter()
            .filter(|change| change.zone == LOCAL_ZONE)
            .map(|change| change.reason)
            .collect()
    }
}

fn for_each_seed(test: impl Fn(u64)) {
    for seed in 1..=20 {
        println!("seed {seed}");
        test(seed);
    }
}

#[test]
fn a_silent_zone_loses_its_traffic_within_300_ms_and_recovers_in_steps() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        assert_eq!(simulation.changes, []);
        simulation.behaviour[LOCAL_ZONE] = Behaviour::Silent;
        let silent_since = simulation.now;
        simulation.run(300 * MILLISECOND);
        assert_eq!(simulation.share[LOCAL_ZONE], 0.0);
        assert!(
            simulation.share[0] > 0.2 && simulation.share[2] > 0.2,
            "{:?}",
            simulation.share
        );
        let sent_before = simulation.sent[LOCAL_ZONE];
        simulation.run(4700 * MILLISECOND);
        let probes = simulation.sent[LOCAL_ZONE] - sent_before;
        assert!(probes <= 12, "recovery probes: {probes}");
        simulation.behaviour[LOCAL_ZONE] = Behaviour::Healthy;
        simulation.run(10 * SECOND);
        assert_eq!(simulation.share[LOCAL_ZONE], 1.0);
        let reasons = simulation.local_reasons();
        assert!(reasons.ends_with(&["returning", "open"]), "{reasons:?}");
        assert!(simulation.changes[0].at - silent_since <= 300 * MILLISECOND);
    });
}

#[test]
fn a_zone_that_refuses_connections_or_fails_requests_is_suspected_of_failing() {
    for behaviour in [
        Behaviour::Refusing,
        Behaviour::Failing(100),
        Behaviour::Failing(30),
    ] {
        for_each_seed(|seed| {
            let mut simulation = Simulation::after_warm_up(seed);
            simulation.behaviour[LOCAL_ZONE] = behaviour;
            simulation.run(if behaviour == Behaviour::Failing(30) {
                5 * SECOND
            } else {
                SECOND
            });
            // Recovery probes may succeed by chance, so the zone may be recovering.
            assert_eq!(
                simulation.local_reasons()[..1],
                ["failing"],
                "{behaviour:?}"
            );
        });
    }
}

#[test]
fn one_stuck_server_one_failing_class_or_slow_zones_eject_no_zone() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        simulation.stuck_server = Some(ServerId(13));
        simulation.run(10 * SECOND);
        simulation.stuck_server = None;
        simulation.behaviour[LOCAL_ZONE] = Behaviour::FailingOneClass;
        simulation.run(5 * SECOND);
        simulation.behaviour = [Behaviour::Slow(3); 3];
        simulation.run(5 * SECOND);
        let ejections = simulation
            .changes
            .iter()
            .filter(|change| change.reason != "open" && change.reason != "silent")
            .count();
        assert_eq!(ejections, 0, "{:?}", simulation.changes);
    });
}

#[test]
fn an_interruption_of_200_ms_ejects_no_zone() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        // All responses that were due during the interruption arrive when it ends.
        let ends_at = simulation.now + 200 * MILLISECOND;
        let delayed: Vec<_> = simulation
            .pending
            .keys()
            .copied()
            .filter(|end| end.ends_at < ends_at)
            .collect();
        for end in delayed {
            let signal = simulation
                .pending
                .remove(&end)
                .unwrap_or(AttemptSignal::NotSent);
            let attempt = end.attempt;
            simulation
                .pending
                .insert(PendingEnd { ends_at, attempt }, signal);
        }
        simulation.behaviour[LOCAL_ZONE] = Behaviour::Slow(5);
        simulation.run(200 * MILLISECOND);
        simulation.behaviour[LOCAL_ZONE] = Behaviour::Healthy;
        simulation.run(3 * SECOND);
        assert_eq!(simulation.share[LOCAL_ZONE], 1.0);
        let has_recovered = simulation.local_reasons().contains(&"returning");
        assert!(!has_recovered, "{:?}", simulation.changes);
    });
}

#[test]
fn a_suspended_or_isolated_node_ejects_no_zone() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        // After a suspension, all delayed events arrive at once, beginning with the timer.
        simulation.now += 3 * SECOND;
        simulation.handle(Event::TimerFired);
        simulation.run(SECOND);
        assert_eq!(simulation.changes, [], "suspended");
        simulation.behaviour = [Behaviour::Silent; 3];
        simulation.run(4 * SECOND);
        let is_isolated = simulation.local_reasons().contains(&"nobody-else");
        assert!(is_isolated, "{:?}", simulation.changes);
        simulation.behaviour = [Behaviour::Healthy; 3];
        simulation.run(2 * SECOND);
        assert_eq!(simulation.share[LOCAL_ZONE], 1.0);
    });
}

#[test]
fn failures_in_all_zones_eject_no_zone() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        simulation.behaviour = [Behaviour::Failing(40); 3];
        simulation.run(6 * SECOND);
        assert_eq!(
            simulation.share[LOCAL_ZONE], 1.0,
            "{:?}",
            simulation.changes
        );
    });
}

#[test]
fn a_flapping_zone_is_ejected_for_longer_each_time() {
    for_each_seed(|seed| {
        let mut simulation = Simulation::after_warm_up(seed);
        let mut sent = Vec::new();
        for _ in 0..10 {
            let sent_before = simulation.sent[LOCAL_ZONE];
            simulation.behaviour[LOCAL_ZONE] = Behaviour::Silent;
            simulation.run(SECOND);
            simulation.behaviour[LOCAL_ZONE] = Behaviour::Healthy;
            simulation.run(SECOND);
            sent.push(simulation.sent[LOCAL_ZONE] - sent_before);
        }
        // A healthy zone gets about 60 requests per second.
        assert!(sent.iter().sum::<u32>() <= 90, "{sent:?}");
    });
}

#[test]
fn an_operators_override_holds_until_it_ends() {
    let mut simulation = Simulation::new(1);
    simulation.run(2 * SECOND);
    simulation.override_local_zone(true);
    assert_eq!(simulation.share[LOCAL_ZONE], 0.0);
    simulation.run(SECOND);
    assert_eq!(simulation.local_reasons(), ["by-hand"]);
    simulation.run(2 * SECOND);
    assert_eq!(simulation.share[LOCAL_ZONE], 1.0);
    // An override to healthy keeps the full share regardless of the evidence.
    simulation.behaviour[LOCAL_ZONE] = Behaviour::Silent;
    simulation.override_local_zone(false);
    simulation.run(SECOND);
    assert_eq!(simulation.share[LOCAL_ZONE], 1.0);
}

#[test]
fn the_only_zone_keeps_its_full_share() {
    let settings = Settings {
        local_zone: 0,
        zone_count: 1,
        class_count: 1,
        node_count: 1,
        seed: 3,
    };
    let mut monitor = ZoneMonitor::new(settings, 0);
    let mut actions = Vec::new();
    let servers = (0..3)
        .map(|server| ListedServer {
            server: ServerId(server),
            zone: ZoneIndex(0),
            capacity: 1.0,
        })
        .collect();
    monitor.handle(0, Event::EndpointsListed(servers), &mut actions);
    for number in 0..200 {
        let sent_at = u64::from(number) * 10 * MILLISECOND;
        let attempt = AttemptKey(u64::from(number));
        let sent = Event::AttemptSent {
            attempt,
            server: ServerId(number % 3),
            zone: ZoneIndex(0),
            class: ClassIndex(0),
        };
        monitor.handle(sent_at, sent, &mut actions);
        let ended = Event::AttemptEnded {
            attempt,
            signal: AttemptSignal::ConnectionFailed,
            utilization: None,
        };
        monitor.handle(sent_at + MILLISECOND, ended, &mut actions);
    }
    let changes_share = |action: &Action| matches!(action, Action::SetShare { .. });
    assert!(!actions.iter().any(changes_share), "{actions:?}");
}

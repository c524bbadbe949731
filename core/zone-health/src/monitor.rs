//! The zone health monitor of one node: handles events, assesses the zones, and emits shares, recovery probes and
//! gossip.

mod gossip;
mod zone_assessment;

use crate::action::Action;
use crate::attempt_tracker::AttemptTracker;
use crate::clock::MonitorClock;
use crate::event::{AttemptSignal, Event, Settings};
use crate::evidence::OutstandingAttempt;
use crate::ids::{AttemptKey, ZoneIndex};
use crate::peer_observations::PeerObservations;
use crate::random::LinearCongruentialGenerator;
use crate::recovery_probes::ProbeContext;
use crate::zone_entry::ZoneEntry;
use crate::zone_state::ZoneState;
use crate::zone_table::ZoneTable;
use badgerpost_time::{MILLISECOND, Nanos};

/// Interval between assessments of the zones while attempts are outstanding.
const ASSESSMENT_INTERVAL: Nanos = 25 * MILLISECOND;
/// A pending timer is kept if it fires at most this much later than needed.
const TIMER_TOLERANCE: Nanos = ASSESSMENT_INTERVAL / 2;
/// Delay of a timer whose instant has already passed.
const MINIMUM_TIMER_DELAY: Nanos = MILLISECOND;
/// Minimum interval between two assessments in a burst of ended attempts or of gossip.
const MINIMUM_ASSESSMENT_INTERVAL: Nanos = MILLISECOND;
/// Upper bound of the number of nodes assumed to share recovery probes without gossip, where each node depends on its
/// own probes.
const MAXIMUM_PROBING_NODES_WITHOUT_GOSSIP: f64 = 8.0;

/// Whether an event requires an assessment of the zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssessmentNeed {
    /// The event requires no assessment.
    None,
    /// The event requires an assessment, unless the last one is recent and a timer is pending.
    RateLimited,
    /// The event always requires an assessment.
    Immediate,
}

/// The zone health monitor of one node.
pub struct ZoneMonitor {
    settings: Settings,
    zones: ZoneTable,
    attempts: AttemptTracker,
    clock: MonitorClock,
    /// On the caller's clock.
    last_assessment_at: Nanos,
    /// Whether no zone responded at the last assessment, and no response has come since.
    is_isolated: bool,
    peers: PeerObservations,
    /// Whether gossip has arrived, or must be sent again, since the last assessment.
    has_pending_gossip: bool,
    random: LinearCongruentialGenerator,
}

impl ZoneMonitor {
    /// Creates a monitor without observations, in which all zones are healthy.
    #[must_use]
    pub fn new(settings: Settings, now: Nanos) -> Self {
        let class_count = settings.class_count as usize;
        Self {
            zones: ZoneTable::new(&settings),
            attempts: AttemptTracker::new(class_count),
            clock: MonitorClock::new(now),
            last_assessment_at: 0,
            is_isolated: false,
            peers: PeerObservations::default(),
            has_pending_gossip: false,
            random: LinearCongruentialGenerator::new(settings.seed),
            settings,
        }
    }

    /// Handles one event and appends the resulting actions. An earlier `now` than in the last call leaves the monitor's
    /// clock unchanged.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.clock.advance(now);
        let is_needed = match self.apply(event) {
            AssessmentNeed::None => false,
            AssessmentNeed::RateLimited => !self.is_recently_assessed(),
            AssessmentNeed::Immediate => true,
        };
        if is_needed {
            self.assess_zones(actions);
        }
        self.schedule_timer(actions);
    }

    /// Whether the last assessment is recent and a pending timer will cause the next one.
    fn is_recently_assessed(&self) -> bool {
        self.clock.now() < self.last_assessment_at + MINIMUM_ASSESSMENT_INTERVAL
            && self.clock.has_timer()
    }

    /// Updates the state by an event. Returns whether the zones must be assessed.
    fn apply(&mut self, event: Event) -> AssessmentNeed {
        match event {
            Event::EndpointsListed(servers) => {
                let awake_now = self.clock.awake_now();
                self.zones.set_servers(awake_now, &servers);
                AssessmentNeed::Immediate
            }
            Event::AttemptSent {
                attempt,
                server,
                zone,
                class,
            } => {
                let sent_at = self.clock.awake_now();
                let outstanding = OutstandingAttempt {
                    server,
                    zone,
                    class,
                    sent_at,
                };
                self.track_attempt(attempt, outstanding);
                AssessmentNeed::None
            }
            Event::AttemptEnded {
                attempt,
                signal,
                utilization,
            } => self.end_attempt(attempt, signal, utilization),
            Event::TimerFired => {
                self.clock.clear_timer();
                AssessmentNeed::Immediate
            }
            Event::OperatorOverride {
                zone,
                zone_override,
            } => {
                if self.zones.contains(zone) {
                    self.zones.entry_mut(zone).set_override(zone_override);
                }
                AssessmentNeed::Immediate
            }
            Event::PeerChanged {
                member,
                home_zone,
                is_up,
            } => {
                self.update_peer(member, home_zone, is_up);
                AssessmentNeed::None
            }
            Event::PeerObserved {
                member,
                zone,
                sent_at,
                observation,
            } => self.record_peer_observation(member, zone, sent_at, observation),
        }
    }

    fn local_zone(&self) -> ZoneIndex {
        ZoneIndex(self.settings.local_zone)
    }

    /// Number of nodes that share the recovery probes to a zone, including this one.
    fn probing_nodes(&self) -> f64 {
        if self.peers.is_empty() {
            let nodes_per_zone =
                f64::from(self.settings.node_count) / f64::from(self.settings.zone_count.max(1));
            return nodes_per_zone.clamp(1.0, MAXIMUM_PROBING_NODES_WITHOUT_GOSSIP);
        }
        let peers_in_zone = self.peers.count_in_zone(self.local_zone().into());
        (peers_in_zone + 1) as f64
    }

    /// Inputs to the scheduling of recovery probes, with a new random number.
    fn draw_probe_context(&mut self) -> ProbeContext {
        ProbeContext {
            probing_nodes: self.probing_nodes(),
            random_fraction: self.random.next_fraction(),
        }
    }

    /// Tracks an attempt, if the settings include its zone.
    fn track_attempt(&mut self, key: AttemptKey, attempt: OutstandingAttempt) {
        if self.zones.contains(attempt.zone) {
            self.attempts.insert(key, attempt);
        }
    }

    /// Records the end of an attempt.
    fn end_attempt(
        &mut self,
        key: AttemptKey,
        signal: AttemptSignal,
        utilization: Option<f64>,
    ) -> AssessmentNeed {
        let Some(attempt) = self.attempts.remove(key) else {
            return AssessmentNeed::None;
        };
        let probes = self.draw_probe_context();
        // Computed before `end_isolation`, which discards the evidence.
        let baseline_failure_rate =
            self.zones
                .failure_rate_elsewhere(self.clock.awake_now(), attempt.zone, attempt.class);
        if let Some(utilization) = utilization {
            let now = self.clock.now();
            let entry = self.zones.entry_mut(attempt.zone);
            entry.record_utilization(now, utilization);
        }
        if is_response(signal) && self.is_isolated {
            self.end_isolation();
        }
        if signal == AttemptSignal::NotSent {
            return AssessmentNeed::None;
        }
        self.record_evidence(attempt, signal, baseline_failure_rate, probes);
        let is_healthy = self.zones.entry(attempt.zone).state.is_healthy();
        if signal == AttemptSignal::Success && is_healthy {
            return AssessmentNeed::None;
        }
        AssessmentNeed::RateLimited
    }

    /// Records the end of an attempt as evidence about its zone.
    fn record_evidence(
        &mut self,
        attempt: OutstandingAttempt,
        signal: AttemptSignal,
        baseline_failure_rate: f64,
        probes: ProbeContext,
    ) {
        let awake_now = self.clock.awake_now();
        let duration = awake_now.saturating_sub(attempt.sent_at);
        let entry = self.zones.entry_mut(attempt.zone);
        match signal {
            AttemptSignal::Success => {
                let slowdown = self.attempts.record_latency(attempt.class, duration);
                entry.record_success(awake_now, &attempt, slowdown, baseline_failure_rate);
            }
            AttemptSignal::ErrorResponse => {
                entry.record_error(awake_now, &attempt, baseline_failure_rate, probes);
            }
            AttemptSignal::ConnectionFailed => {
                entry.record_connection_failure(awake_now, &attempt, baseline_failure_rate, probes);
            }
            AttemptSignal::TimedOut => {
                entry.state.evidence.record_timeout(attempt, awake_now);
                if self
                    .attempts
                    .is_significant_timeout(attempt.class, duration)
                {
                    entry.state.record_failed_attempt(awake_now, probes);
                }
            }
            AttemptSignal::Inconclusive => entry.state.evidence.record_response(awake_now),
            AttemptSignal::NotSent => {}
        }
    }

    /// Ends the isolation of this node and discards the evidence, which includes silence due to the isolation.
    fn end_isolation(&mut self) {
        self.is_isolated = false;
        self.zones.restore_all(self.clock.awake_now());
    }

    /// Moves the timer to the next required assessment, if that is earlier than the pending timer.
    fn schedule_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.clock.now();
        let next_assessment_at = self
            .needs_regular_assessment()
            .then_some(now + ASSESSMENT_INTERVAL);
        let state_changes = self
            .zones
            .entries()
            .filter_map(|entry| entry.state.next_assessment_at())
            .map(|awake_at| {
                self.clock
                    .to_caller_time(awake_at)
                    .max(now + MINIMUM_TIMER_DELAY)
            });
        let override_ends = self
            .zones
            .entries()
            .filter_map(ZoneEntry::override_until)
            .filter(|until| *until > now);
        let next = next_assessment_at
            .into_iter()
            .chain(state_changes)
            .chain(override_ends)
            .min();
        if let Some(at) = next
            && self.clock.move_timer(at, TIMER_TOLERANCE)
        {
            actions.push(Action::SetTimer { at });
        }
    }

    /// Whether the zones must be assessed at regular intervals: evidence grows while attempts are outstanding, and the
    /// other nodes' states matter while a zone is not healthy.
    fn needs_regular_assessment(&self) -> bool {
        let follows_peers = !self.peers.is_empty()
            && !self
                .zones
                .entries()
                .map(|entry| &entry.state)
                .all(ZoneState::is_healthy);
        follows_peers || self.has_pending_gossip || !self.attempts.is_empty()
    }
}

/// Whether the attempt ended with a response of any kind.
fn is_response(signal: AttemptSignal) -> bool {
    matches!(
        signal,
        AttemptSignal::Success | AttemptSignal::ErrorResponse | AttemptSignal::Inconclusive
    )
}

#[cfg(test)]
mod tests;

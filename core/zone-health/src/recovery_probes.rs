//! Recovery probes to one ejected zone: when the next one is due, and whether enough were answered.
//!
//! The nodes of a zone share a fixed rate of probes, so each node's interval grows with their number.

use crate::action::ZoneStateReason;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use badgerpost_time::{MILLISECOND, Nanos, SECOND, nanos_from_f64};

/// How long a zone is ejected at the least; doubled for each ejection before.
const BASE_EJECTION_PERIOD: Nanos = 500 * MILLISECOND;
/// Ejections after which the time no longer doubles: about a minute.
const MAXIMUM_EJECTION_DOUBLINGS: u32 = 7;
/// Probes that must be answered in a row before a silent zone recovers.
const REQUIRED_PROBES_AFTER_SILENCE: u32 = 3;
/// The same for a failing zone. One that fails three requests in ten answers three in a row once in three times.
const REQUIRED_PROBES_AFTER_FAILURES: u32 = 8;
/// Probes a second that the nodes of a zone send together.
const PROBES_PER_SECOND: f64 = 2.0;
/// Time between two probes of one node at the least, in seconds.
const MINIMUM_PROBE_INTERVAL_SECONDS: f64 = 0.25;
/// Number of nodes that share the probes at the most, and the number assumed by a node without evidence of its own:
/// it leaves the probes to those that have some.
const MAXIMUM_PROBING_NODES: f64 = 240.0;
/// Time to the next probe after an answered one.
const DELAY_AFTER_SUCCESSFUL_PROBE: Nanos = 50 * MILLISECOND;
/// The interval to the next probe is drawn from this fraction of the mean upwards, over the length of the mean.
const MINIMUM_INTERVAL_FRACTION: f64 = 0.5;
/// Number of nodes, on average, that probe a zone at once after another node's probe was answered.
const EXPECTED_CONFIRMING_NODES: f64 = 6.0;
/// Nodes that need answered probes before their probes end an ejection.
const MINIMUM_PROBING_PEERS: u32 = 2;
/// How long a failed probe outweighs the answered probes of others after silence.
const MINIMUM_FAILED_PROBE_AGE_AFTER_SILENCE: Nanos = 500 * MILLISECOND;
/// The same after failures, where a single answer proves little.
const MINIMUM_FAILED_PROBE_AGE_AFTER_FAILURES: Nanos = 4 * SECOND;

/// What the time of a probe depends on.
#[derive(Clone, Copy)]
pub(crate) struct ProbeContext {
    /// Number of nodes that share the probes to a zone.
    pub(crate) probing_nodes: f64,
    /// A random number from 0 to 1, which spreads the nodes' probes.
    pub(crate) random_fraction: f64,
}

impl ProbeContext {
    /// The context for a zone that is ejected on this node's own evidence, or else on that of its peers.
    pub(crate) fn for_ejection(self, is_first_hand: bool) -> Self {
        let probing_nodes = if is_first_hand {
            self.probing_nodes
        } else {
            MAXIMUM_PROBING_NODES
        };
        Self {
            probing_nodes,
            ..self
        }
    }

    /// Mean time between two probes of this node, in nanoseconds.
    fn mean_interval(self) -> f64 {
        let seconds = self.probing_nodes.min(MAXIMUM_PROBING_NODES) / PROBES_PER_SECOND;
        seconds.max(MINIMUM_PROBE_INTERVAL_SECONDS) * SECOND as f64
    }

    /// A time from 0 to the mean interval.
    fn random_delay(self) -> Nanos {
        nanos_from_f64(self.random_fraction * self.mean_interval())
    }

    /// A time around the mean interval.
    fn random_interval(self) -> Nanos {
        nanos_from_f64((MINIMUM_INTERVAL_FRACTION + self.random_fraction) * self.mean_interval())
    }

    /// Whether this node is drawn to follow another node's answered probe.
    fn is_selected_to_confirm(self) -> bool {
        self.random_fraction * self.probing_nodes < EXPECTED_CONFIRMING_NODES
    }
}

/// Whether the probes answered so far suffice to start the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeProgress {
    /// More answers are needed.
    Insufficient,
    /// The zone can recover.
    Sufficient,
}

/// An ejection, with the progress of its recovery probes. All instants are on the awake clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// The zone stays ejected at least until then.
    earliest_end_at: Nanos,
    reason: ZoneStateReason,
    next_probe_at: Nanos,
    /// Probes answered in a row.
    successful_probes: u32,
    last_failed_probe_at: Option<Nanos>,
    /// Whether this node has already been drawn, or not, to follow another node's answered probe.
    has_drawn_confirmation: bool,
}

impl Ejection {
    /// An ejection that begins now, after this number of earlier ones.
    pub(crate) fn new(
        now: Nanos,
        reason: ZoneStateReason,
        earlier_ejections: u32,
        probes: ProbeContext,
    ) -> Self {
        let doublings = earlier_ejections.min(MAXIMUM_EJECTION_DOUBLINGS);
        let earliest_end_at = now + (BASE_EJECTION_PERIOD << doublings);
        Self {
            earliest_end_at,
            reason,
            next_probe_at: earliest_end_at + probes.random_delay(),
            successful_probes: 0,
            last_failed_probe_at: None,
            has_drawn_confirmation: false,
        }
    }

    /// Why the zone is ejected.
    pub(crate) fn reason(&self) -> ZoneStateReason {
        self.reason
    }

    /// Whether the last probe was answered.
    pub(crate) fn has_successful_probe(&self) -> bool {
        self.successful_probes > 0
    }

    /// When the next probe is due.
    pub(crate) fn next_probe_at(&self) -> Nanos {
        self.next_probe_at
    }

    /// The ejection in the form in which it is gossiped.
    pub(crate) fn observed_state(&self, now: Nanos) -> ObservedState {
        let failed_probe_age_ms = self
            .last_failed_probe_at
            .map(|failed_at| now.saturating_sub(failed_at) / MILLISECOND)
            .and_then(|age| u16::try_from(age).ok())
            .unwrap_or(u16::MAX);
        ObservedState::Ejected {
            successful_probes: u8::try_from(self.successful_probes).unwrap_or(u8::MAX),
            failed_probe_age_ms,
        }
    }

    /// Answered probes needed to start the recovery.
    fn required_probes(&self) -> u32 {
        match self.reason {
            ZoneStateReason::Failing { .. } => REQUIRED_PROBES_AFTER_FAILURES,
            _ => REQUIRED_PROBES_AFTER_SILENCE,
        }
    }

    /// Records a failed probe: the count of answers starts anew.
    pub(crate) fn record_failed_probe(&mut self, now: Nanos, probes: ProbeContext) {
        self.last_failed_probe_at = Some(now);
        self.next_probe_at = self.next_probe_at.max(now + probes.random_delay());
        self.successful_probes = 0;
    }

    /// Records an answered probe; the next one follows soon. A silent zone with few servers needs fewer answers.
    pub(crate) fn record_successful_probe(
        &mut self,
        now: Nanos,
        server_count: u32,
    ) -> ProbeProgress {
        let required_probes = match self.reason {
            ZoneStateReason::Failing { .. } => self.required_probes(),
            _ => self.required_probes().min(server_count.max(1)),
        };
        self.successful_probes += 1;
        if self.successful_probes >= required_probes && now >= self.earliest_end_at {
            return ProbeProgress::Sufficient;
        }
        self.next_probe_at = self
            .next_probe_at
            .min(now + DELAY_AFTER_SUCCESSFUL_PROBE)
            .max(self.earliest_end_at);
        ProbeProgress::Insufficient
    }

    /// Brings the next probe forward if another node's probe was answered and this node is drawn to confirm it, so
    /// that a recovery does not depend on one node. Drawn once in an ejection.
    pub(crate) fn schedule_confirmation(
        &mut self,
        now: Nanos,
        peers: &PeerSummary,
        probes: ProbeContext,
    ) {
        if peers.successful_probes == 0 || self.has_drawn_confirmation {
            return;
        }
        self.has_drawn_confirmation = true;
        if probes.is_selected_to_confirm() {
            self.next_probe_at = self.next_probe_at.min(now.max(self.earliest_end_at));
        }
    }

    /// Whether the other nodes' probes suffice to start the recovery.
    pub(crate) fn is_ended_by_peers(&self, now: Nanos, peers: &PeerSummary) -> bool {
        let minimum_failed_probe_age = match self.reason {
            ZoneStateReason::Failing { .. } => MINIMUM_FAILED_PROBE_AGE_AFTER_FAILURES,
            _ => MINIMUM_FAILED_PROBE_AGE_AFTER_SILENCE,
        };
        let own_failed_probe_age = self
            .last_failed_probe_at
            .map_or(Nanos::MAX, |failed_at| now.saturating_sub(failed_at));
        let failed_probe_age = peers.failed_probe_age.min(own_failed_probe_age);
        now >= self.earliest_end_at
            && peers.probing_peers >= MINIMUM_PROBING_PEERS
            && peers.successful_probes >= self.required_probes()
            && failed_probe_age >= minimum_failed_probe_age
    }

    /// Whether a probe is due; if so, the next one is scheduled.
    pub(crate) fn take_due_probe(&mut self, now: Nanos, probes: ProbeContext) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + probes.random_interval();
        true
    }
}

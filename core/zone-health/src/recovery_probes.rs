//! Recovery probes to one ejected zone: when the next probe is due, and how many probes must succeed.
//!
//! The nodes of a home zone share a fixed rate of probes, so each node's interval grows with the number of nodes.

use crate::action::ZoneStateReason;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use badgerpost_time::{MILLISECOND, Nanos, SECOND, nanos_from_f64};

/// Minimum duration of the first ejection. Each earlier ejection doubles the duration.
const BASE_EJECTION_PERIOD: Nanos = 500 * MILLISECOND;
/// Maximum number of doublings, which limits the minimum duration to about a minute.
const MAXIMUM_EJECTION_DOUBLINGS: u32 = 7;
/// Consecutive successful probes required before a silent zone recovers.
const REQUIRED_PROBES_AFTER_SILENCE: u32 = 3;
/// Consecutive successful probes required before a failing zone recovers. A zone that fails a fraction of its requests
/// often passes a few probes by chance.
const REQUIRED_PROBES_AFTER_FAILURES: u32 = 8;
/// Rate of the probes that the nodes of one home zone send together, per second.
const PROBES_PER_SECOND: f64 = 2.0;
/// Lower bound of the mean interval between two probes of one node.
const MINIMUM_PROBE_INTERVAL_SECONDS: f64 = 0.25;
/// Upper bound of the number of nodes that share the probes. A node without evidence of its own assumes this number, so
/// that nodes with evidence probe first.
const MAXIMUM_PROBING_NODES: f64 = 240.0;
const DELAY_AFTER_SUCCESSFUL_PROBE: Nanos = 50 * MILLISECOND;
/// Lower end of the range from which a probe interval is drawn, as a fraction of the mean interval. The width of the
/// range is the mean interval.
const MINIMUM_INTERVAL_FRACTION: f64 = 0.5;
/// Expected number of nodes that probe a zone at once to confirm a peer's successful probe.
const EXPECTED_CONFIRMING_NODES: f64 = 6.0;
/// Minimum number of peers with successful probes before the peers' probes can end an ejection.
const MINIMUM_PROBING_PEERS: u32 = 2;
/// Minimum time since the last failed probe before the peers' probes can end an ejection for silence.
const MINIMUM_FAILED_PROBE_AGE_AFTER_SILENCE: Nanos = 500 * MILLISECOND;
/// Minimum time since the last failed probe before the peers' probes can end an ejection for failures. The time is
/// longer than for silence, because a failing zone passes single probes by chance.
const MINIMUM_FAILED_PROBE_AGE_AFTER_FAILURES: Nanos = 4 * SECOND;

/// Inputs to the scheduling of recovery probes.
#[derive(Clone, Copy)]
pub(crate) struct ProbeContext {
    /// Number of nodes that share the probes to a zone, including this one.
    pub(crate) probing_nodes: f64,
    /// Random number from 0 (included) to 1 (excluded), which spreads the probes of different nodes over time.
    pub(crate) random_fraction: f64,
}

impl ProbeContext {
    /// The context for an ejection on this node's own evidence if `is_first_hand`, or else on the peers' evidence.
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

    /// Mean interval between two probes of this node, in nanoseconds.
    fn mean_interval(self) -> f64 {
        let seconds = self.probing_nodes.min(MAXIMUM_PROBING_NODES) / PROBES_PER_SECOND;
        seconds.max(MINIMUM_PROBE_INTERVAL_SECONDS) * SECOND as f64
    }

    /// Random delay from 0 to the mean interval.
    fn random_delay(self) -> Nanos {
        nanos_from_f64(self.random_fraction * self.mean_interval())
    }

    /// Random interval around the mean interval.
    fn random_interval(self) -> Nanos {
        nanos_from_f64((MINIMUM_INTERVAL_FRACTION + self.random_fraction) * self.mean_interval())
    }

    /// Whether this node is randomly selected to confirm a peer's successful probe.
    fn is_selected_to_confirm(self) -> bool {
        self.random_fraction * self.probing_nodes < EXPECTED_CONFIRMING_NODES
    }
}

/// Whether enough probes have succeeded to start the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeProgress {
    /// More successful probes are needed.
    Insufficient,
    /// The recovery can start.
    Sufficient,
}

/// An ejection, with the progress of its recovery probes. All instants are on the awake clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ejection {
    /// The ejection lasts at least until this instant.
    earliest_end_at: Nanos,
    reason: ZoneStateReason,
    next_probe_at: Nanos,
    /// Consecutive successful probes.
    successful_probes: u32,
    last_failed_probe_at: Option<Nanos>,
    /// Whether the random selection to confirm a peer's successful probe has taken place in this ejection.
    has_drawn_confirmation: bool,
}

impl Ejection {
    /// Creates an ejection that begins at `now`. `earlier_ejections` determines the minimum duration.
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

    /// Whether the last probe succeeded.
    pub(crate) fn has_successful_probe(&self) -> bool {
        self.successful_probes > 0
    }

    pub(crate) fn next_probe_at(&self) -> Nanos {
        self.next_probe_at
    }

    /// The ejection as gossiped to the other nodes.
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

    /// Consecutive successful probes required to start the recovery.
    fn required_probes(&self) -> u32 {
        match self.reason {
            ZoneStateReason::Failing { .. } => REQUIRED_PROBES_AFTER_FAILURES,
            _ => REQUIRED_PROBES_AFTER_SILENCE,
        }
    }

    /// Records a failed probe and sets the number of successful probes to 0.
    pub(crate) fn record_failed_probe(&mut self, now: Nanos, probes: ProbeContext) {
        self.last_failed_probe_at = Some(now);
        self.next_probe_at = self.next_probe_at.max(now + probes.random_delay());
        self.successful_probes = 0;
    }

    /// Records a successful probe and schedules the next one after [`DELAY_AFTER_SUCCESSFUL_PROBE`]. A silent zone with
    /// few servers requires at most one successful probe for each server.
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

    /// Brings the next probe forward if a peer's probe succeeded and this node is randomly selected to confirm the
    /// success, so that a recovery does not depend on one node. The selection takes place once in an ejection.
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

    /// Whether the peers' probes suffice to start the recovery.
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

    /// Whether a probe is due. If so, schedules the next one.
    pub(crate) fn take_due_probe(&mut self, now: Nanos, probes: ProbeContext) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + probes.random_interval();
        true
    }
}

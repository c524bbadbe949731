//! Summary of the other nodes' observations of one zone: adds up bounded evidence, and forms a quorum over states.

use crate::observation::{ObservedState, ZoneObservation, evidence_from_hundredths};
use badgerpost_time::{MILLISECOND, Nanos};

/// Upper bound of the evidence from another node: that of one attempt.
const MAXIMUM_PEER_EVIDENCE: f64 = 2.5;
/// Evidence at which a node counts as a witness against a zone. Chance produces that in one attempt of seven.
const ADVERSE_REPORT_THRESHOLD: f64 = 2.0;
/// Witnesses needed against a zone, at the least.
const MINIMUM_QUORUM: u32 = 2;
/// Witnesses needed against a zone, as a fraction of the nodes of the home zone.
const QUORUM_FRACTION: f64 = 0.25;
/// Witnesses needed against a zone, as a fraction of the nodes that either are one or have responses from the zone.
const MINIMUM_ADVERSE_FRACTION: f64 = 0.6;
/// Evidence is used for a shorter time than a state: outstanding attempts are answered or grow older meanwhile.
pub(crate) const EVIDENCE_LIFETIME: Nanos = 500 * MILLISECOND;
/// Answered recovery probes that count for each node.
const MAXIMUM_PROBES_PER_PEER: u32 = 2;
/// Recovering nodes needed for a common recovery step.
const MINIMUM_RECOVERING_PEERS: usize = 2;

/// An observation with the time of its receipt.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedObservation {
    /// When this node received it.
    pub(crate) received_at: Nanos,
    /// What the other node observed.
    pub(crate) observation: ZoneObservation,
}

/// What this node itself observes of a zone.
#[derive(Clone, Copy)]
pub(crate) struct OwnObservation {
    /// Evidence of silence.
    pub(crate) silence: f64,
    /// Evidence of failures.
    pub(crate) failures: f64,
    /// Whether it had a usable response a moment ago.
    pub(crate) has_recent_success: bool,
}

/// What the other nodes observe of one zone, as far as it is relevant for nodes of one home zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PeerSummary {
    /// Evidence of silence, bounded for each node; 0 without a quorum of witnesses.
    pub(crate) silence: f64,
    /// Evidence of failures, bounded for each node; 0 without a quorum of witnesses.
    pub(crate) failures: f64,
    /// Whether any node has recent evidence against the zone, or suspects it.
    pub(crate) has_adverse_report: bool,
    /// Whether any node suspects the zone or has ejected it, on its own evidence.
    pub(crate) is_suspected_first_hand: bool,
    /// Whether a quorum suspects the zone or has ejected it, each on its own evidence, and no node has responses.
    pub(crate) is_ejected_by_quorum: bool,
    /// Whether a quorum is recovering the zone.
    pub(crate) is_recovering_by_quorum: bool,
    /// The median recovery step of the recovering nodes, if there are enough.
    pub(crate) median_step: Option<usize>,
    /// Whether any node has had responses in that step or a later one.
    pub(crate) has_success_at_step: bool,
    /// Recently answered recovery probes, bounded for each node.
    pub(crate) successful_probes: u32,
    /// Nodes with answered recovery probes.
    pub(crate) probing_peers: u32,
    /// Age of the last failed recovery probe; the largest value if there is none.
    pub(crate) failed_probe_age: Nanos,
}

/// The recovery step of one node. The order, by step first, is that in which the median is taken.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PeerStep {
    step: usize,
    has_success: bool,
}

/// Accumulates the observations of one zone.
pub(crate) struct SummaryBuilder {
    now: Nanos,
    summary: PeerSummary,
    silence: f64,
    failures: f64,
    /// Nodes with evidence against the zone.
    adverse_nodes: u32,
    /// Nodes with responses from the zone and no evidence against it.
    responding_nodes: u32,
    /// Nodes of the home zone, including this one.
    home_zone_nodes: u32,
    ejecting_nodes: u32,
    recovering_nodes: u32,
    steps: Vec<PeerStep>,
}

impl SummaryBuilder {
    /// Starts with what this node itself observes.
    pub(crate) fn new(now: Nanos, own: OwnObservation) -> Self {
        let is_adverse = own.silence.max(own.failures) >= ADVERSE_REPORT_THRESHOLD;
        Self {
            now,
            summary: PeerSummary {
                failed_probe_age: Nanos::MAX,
                ..PeerSummary::default()
            },
            silence: 0.0,
            failures: 0.0,
            adverse_nodes: u32::from(is_adverse),
            responding_nodes: u32::from(own.has_recent_success && !is_adverse),
            home_zone_nodes: 1,
            ejecting_nodes: 0,
            recovering_nodes: 0,
            steps: Vec::new(),
        }
    }

    /// Counts another node of the home zone, whether or not it has an observation.
    pub(crate) fn count_home_zone_node(&mut self) {
        self.home_zone_nodes += 1;
    }

    /// Adds another node's observation.
    pub(crate) fn add_observation(&mut self, received: &ReceivedObservation) {
        let age = self.now.saturating_sub(received.received_at);
        if age < EVIDENCE_LIFETIME {
            self.add_evidence(&received.observation);
        }
        self.add_state(&received.observation, age);
    }

    /// Adds the evidence of a recent observation.
    fn add_evidence(&mut self, observation: &ZoneObservation) {
        let silence = bounded_evidence(observation.silence_evidence);
        let failures = bounded_evidence(observation.failure_evidence);
        let is_adverse = silence.max(failures) >= ADVERSE_REPORT_THRESHOLD;
        if is_adverse {
            self.adverse_nodes += 1;
            self.silence += silence;
            self.failures += failures;
        } else if observation.has_recent_success {
            self.responding_nodes += 1;
        }
        if is_adverse || observation.state == ObservedState::Suspected {
            self.summary.has_adverse_report = true;
        }
    }

    /// Adds the zone's state for the other node, from an observation of this age.
    fn add_state(&mut self, observation: &ZoneObservation, age: Nanos) {
        match observation.state {
            ObservedState::Healthy => {}
            ObservedState::Suspected => self.count_ejecting_node(observation.is_first_hand),
            ObservedState::Ejected {
                successful_probes,
                failed_probe_age_ms,
            } => {
                self.count_ejecting_node(observation.is_first_hand);
                self.add_probes(u32::from(successful_probes).min(MAXIMUM_PROBES_PER_PEER));
                if failed_probe_age_ms < u16::MAX {
                    let failed_probe_age = Nanos::from(failed_probe_age_ms) * MILLISECOND + age;
                    self.summary.failed_probe_age =
                        self.summary.failed_probe_age.min(failed_probe_age);
                }
            }
            ObservedState::Recovering { step, has_success } => {
                self.recovering_nodes += 1;
                self.add_probes(MAXIMUM_PROBES_PER_PEER);
                self.steps.push(PeerStep {
                    step: usize::from(step),
                    has_success,
                });
            }
        }
    }

    /// Adds a node that suspects the zone or has ejected it; only its own evidence makes it count.
    fn count_ejecting_node(&mut self, is_first_hand: bool) {
        if is_first_hand {
            self.ejecting_nodes += 1;
            self.summary.is_suspected_first_hand = true;
        }
    }

    /// Adds the answered recovery probes of one node.
    fn add_probes(&mut self, answered: u32) {
        self.summary.successful_probes += answered;
        if answered > 0 {
            self.summary.probing_peers += 1;
        }
    }

    /// The summary of all that was added.
    pub(crate) fn build(mut self) -> PeerSummary {
        let quorum = self.quorum();
        if self.adverse_nodes >= quorum && self.has_adverse_majority() {
            self.summary.silence = self.silence;
            self.summary.failures = self.failures;
        }
        self.summary.is_ejected_by_quorum =
            self.ejecting_nodes >= quorum && self.responding_nodes == 0;
        self.summary.is_recovering_by_quorum = self.recovering_nodes >= quorum;
        self.set_median_step();
        self.summary
    }

    /// Nodes that must agree.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a quarter of a u32, rounded up, is a u32"
    )]
    fn quorum(&self) -> u32 {
        MINIMUM_QUORUM.max((QUORUM_FRACTION * f64::from(self.home_zone_nodes)).ceil() as u32)
    }

    /// Whether enough of the nodes that can tell are witnesses against the zone.
    fn has_adverse_majority(&self) -> bool {
        let reporting_nodes = self.adverse_nodes + self.responding_nodes;
        f64::from(self.adverse_nodes) >= MINIMUM_ADVERSE_FRACTION * f64::from(reporting_nodes)
    }

    /// Sets the median step, if there are enough recovering nodes.
    fn set_median_step(&mut self) {
        if self.steps.len() < MINIMUM_RECOVERING_PEERS {
            return;
        }
        self.steps.sort_unstable();
        let median = self.steps[self.steps.len() / 2].step;
        self.summary.median_step = Some(median);
        self.summary.has_success_at_step = self
            .steps
            .iter()
            .any(|peer| peer.has_success && peer.step >= median);
    }
}

/// A node's evidence in the units of an observation, bounded to what one node may contribute.
fn bounded_evidence(hundredths: u16) -> f64 {
    evidence_from_hundredths(hundredths).min(MAXIMUM_PEER_EVIDENCE)
}

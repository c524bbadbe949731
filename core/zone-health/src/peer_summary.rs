//! Summary of the other nodes' observations of one zone: the sum of their bounded evidence, and quorums over their
//! states.

use crate::observation::{ObservedState, ZoneObservation, evidence_from_hundredths};
use badgerpost_time::{MILLISECOND, Nanos};

/// Upper bound of the evidence counted from one other node, equal to that of a single attempt.
const MAXIMUM_PEER_EVIDENCE: f64 = 2.5;
/// Evidence against a zone at which a node counts as adverse to the zone, in nats. Chance alone produces that much in
/// one attempt of seven.
const ADVERSE_REPORT_THRESHOLD: f64 = 2.0;
/// Lower bound of the number of nodes in a quorum.
const MINIMUM_QUORUM: u32 = 2;
/// Number of nodes in a quorum as a fraction of the nodes of the home zone.
const QUORUM_FRACTION: f64 = 0.25;
/// Minimum fraction of adverse nodes among the nodes that are adverse or have recent responses from the zone.
const MINIMUM_ADVERSE_FRACTION: f64 = 0.6;
/// How long received evidence stays valid. A received state stays valid for longer, because evidence changes as soon as
/// outstanding attempts end or age.
pub(crate) const EVIDENCE_LIFETIME: Nanos = 500 * MILLISECOND;
/// Maximum number of successful recovery probes counted for one node.
const MAXIMUM_PROBES_PER_PEER: u32 = 2;
/// Minimum number of recovering nodes for a median recovery step.
const MINIMUM_RECOVERING_PEERS: usize = 2;

/// An observation from another node, with the time of receipt.
#[derive(Clone, Copy)]
pub(crate) struct ReceivedObservation {
    pub(crate) received_at: Nanos,
    pub(crate) observation: ZoneObservation,
}

/// This node's own observation of a zone.
#[derive(Clone, Copy)]
pub(crate) struct OwnObservation {
    /// Evidence of silence.
    pub(crate) silence: f64,
    /// Evidence of failures.
    pub(crate) failures: f64,
    /// Whether this node recently had a usable response from the zone.
    pub(crate) has_recent_success: bool,
}

/// Summary of the observations of one zone by the nodes of one home zone and of the observed zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PeerSummary {
    /// Evidence of silence, bounded for each node; 0 without a quorum of adverse nodes.
    pub(crate) silence: f64,
    /// Evidence of failures, bounded for each node; 0 without a quorum of adverse nodes.
    pub(crate) failures: f64,
    /// Whether any node has recently reported evidence against the zone, or suspects the zone.
    pub(crate) has_adverse_report: bool,
    /// Whether any node suspects the zone or has ejected the zone on its own evidence.
    pub(crate) is_suspected_first_hand: bool,
    /// Whether a quorum suspects the zone or has ejected the zone, each node on its own evidence, and no node has
    /// recent responses from the zone.
    pub(crate) is_ejected_by_quorum: bool,
    /// Whether a quorum has the zone in recovery.
    pub(crate) is_recovering_by_quorum: bool,
    /// Median recovery step of the recovering nodes; none with fewer than [`MINIMUM_RECOVERING_PEERS`].
    pub(crate) median_step: Option<usize>,
    /// Whether any node has had a usable response in the median step or a later one.
    pub(crate) has_success_at_step: bool,
    /// Successful recovery probes, bounded for each node.
    pub(crate) successful_probes: u32,
    /// Number of nodes with successful recovery probes.
    pub(crate) probing_peers: u32,
    /// Age of the last failed recovery probe; `Nanos::MAX` if there is none.
    pub(crate) failed_probe_age: Nanos,
}

/// Recovery step of one node. The derived order, by step first, determines the median.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PeerStep {
    step: usize,
    has_success: bool,
}

/// Builds the summary of one zone from the observations of individual nodes.
pub(crate) struct SummaryBuilder {
    now: Nanos,
    summary: PeerSummary,
    silence: f64,
    failures: f64,
    /// Nodes with evidence against the zone, including this node.
    adverse_nodes: u32,
    /// Nodes with recent responses from the zone and without evidence against it, including this node.
    responding_nodes: u32,
    /// Nodes of the home zone, including this node.
    home_zone_nodes: u32,
    ejecting_nodes: u32,
    recovering_nodes: u32,
    steps: Vec<PeerStep>,
}

impl SummaryBuilder {
    /// Creates a builder with this node's own observation.
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

    /// Counts another node of the home zone, whether or not an observation from that node is known.
    pub(crate) fn count_home_zone_node(&mut self) {
        self.home_zone_nodes += 1;
    }

    /// Adds another node's observation, without the evidence if it has expired.
    pub(crate) fn add_observation(&mut self, received: &ReceivedObservation) {
        let age = self.now.saturating_sub(received.received_at);
        if age < EVIDENCE_LIFETIME {
            self.add_evidence(&received.observation);
        }
        self.add_state(&received.observation, age);
    }

    /// Adds the evidence of an observation that has not expired.
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

    /// Adds the zone's state at another node, from an observation received `age` ago.
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

    /// Counts a node that suspects the zone or has ejected the zone, if on its own evidence.
    fn count_ejecting_node(&mut self, is_first_hand: bool) {
        if is_first_hand {
            self.ejecting_nodes += 1;
            self.summary.is_suspected_first_hand = true;
        }
    }

    /// Adds the successful recovery probes of one node.
    fn add_probes(&mut self, successful: u32) {
        self.summary.successful_probes += successful;
        if successful > 0 {
            self.summary.probing_peers += 1;
        }
    }

    /// Completes the summary.
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

    /// Number of nodes in a quorum.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a quarter of a u32, rounded up, is a u32"
    )]
    fn quorum(&self) -> u32 {
        MINIMUM_QUORUM.max((QUORUM_FRACTION * f64::from(self.home_zone_nodes)).ceil() as u32)
    }

    /// Whether the adverse nodes reach [`MINIMUM_ADVERSE_FRACTION`].
    fn has_adverse_majority(&self) -> bool {
        let reporting_nodes = self.adverse_nodes + self.responding_nodes;
        f64::from(self.adverse_nodes) >= MINIMUM_ADVERSE_FRACTION * f64::from(reporting_nodes)
    }

    /// Sets the median step and the presence of a success at that step, if enough nodes are recovering.
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

/// Converts a node's evidence from hundredths to nats, at most [`MAXIMUM_PEER_EVIDENCE`].
fn bounded_evidence(hundredths: u16) -> f64 {
    evidence_from_hundredths(hundredths).min(MAXIMUM_PEER_EVIDENCE)
}

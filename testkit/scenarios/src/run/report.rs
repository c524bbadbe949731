//! The result of a run: the outcome log, breaches of the rules, and figures of the run itself.

use std::time::Duration;

use badgerpost_time::Nanos;

use crate::outcome::{Counts, Request};
use crate::rules::Breach;
use crate::simulation::SOCKET_SLACK;

/// The longest that the test kit may stand still in a run that is judged: what the time limits of the rules are extended
/// by for sockets is no more.
const MAX_STALL: Nanos = SOCKET_SLACK;

/// The result of a run.
pub struct RunReport {
    /// The outcome log.
    pub log: Vec<Request>,
    /// The most that each server was sent while cold, as a multiple of what it could do; with its zone.
    pub cold_peaks: Vec<(String, f64)>,
    /// The last lines that each node logged, by name.
    pub logs: Vec<(String, String)>,
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Requests at servers that no client had sent in this form.
    pub unknown_requests: u64,
    /// What the nodes have said to each other: datagrams and bytes, by node.
    pub gossip_traffic: Vec<(u64, u64)>,
    /// The program's SHA-256.
    pub sha256: String,
    /// How long the scene lasted.
    pub simulated: Nanos,
    /// How long it took.
    pub wall: Duration,
    /// Steps of nodes.
    pub steps: u64,
    /// Bytes that had to be waited for; above 0 on a machine whose loopback device is late.
    pub late_waits: u64,
    /// The longest time for which the test kit itself stood still, in real time.
    pub longest_stall: Nanos,
}

/// What a run says of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every rule held.
    Passed,
    /// A rule was broken.
    Failed,
    /// The test kit stood still for longer than the rules allow a node to: neither can be said.
    Inconclusive,
}

impl RunReport {
    /// Counts over the log.
    pub fn counts(&self) -> Counts {
        Counts::of(&self.log)
    }

    /// The most that a cold server was sent, of one zone or of all.
    pub fn cold_peak(&self, zone: Option<&str>) -> f64 {
        let of = self
            .cold_peaks
            .iter()
            .filter(|(at, _)| zone.is_none_or(|zone| zone == at));
        of.map(|(_, peak)| *peak).fold(0.0, f64::max)
    }

    /// What the run says of the node, by the letter of rules whose times the test kit has to keep too.
    pub fn verdict(&self) -> Verdict {
        if self.longest_stall > MAX_STALL {
            Verdict::Inconclusive
        } else if self.is_good() {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }

    /// Whether every rule held.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty() && self.unknown_requests == 0
    }
}

#[cfg(test)]
mod tests;

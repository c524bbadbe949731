//! The result of a run: the outcome log, breaches of the rules, and statistics of the run.

use std::time::Duration;

use badgerpost_time::Nanos;

use crate::outcome::{Counts, Request};
use crate::rules::Breach;
use crate::simulation::SOCKET_SLACK;

/// The longest stall of the test kit in a run that has a verdict: the tolerance of the rules' time limits.
const MAX_STALL: Nanos = SOCKET_SLACK;

/// The result of a run.
pub struct RunReport {
    /// The outcome log.
    pub log: Vec<Request>,
    /// The zone of each server, and its highest load during slow start as a multiple of its capacity at that time.
    pub cold_peaks: Vec<(String, f64)>,
    /// The name of each node that is up, and the last lines of its log.
    pub logs: Vec<(String, String)>,
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// How many requests to servers or discovery were malformed or not sent by any client.
    pub unknown_requests: u64,
    /// The number of gossip datagrams and of bytes that each node sent, by node index.
    pub gossip_traffic: Vec<(u64, u64)>,
    /// The SHA-256 digest of the node's program, in hexadecimal.
    pub sha256: String,
    /// The duration of the scenario, on virtual time or in real time.
    pub simulated: Nanos,
    /// The real time that the run took.
    pub wall: Duration,
    /// Steps of nodes on virtual time; 0 in real time.
    pub steps: u64,
    /// Steps after which the test kit waited for bytes or closes that the loopback device delivered late.
    pub late_waits: u64,
    /// The longest stall of the test kit; 0 on virtual time.
    pub longest_stall: Nanos,
}

/// The verdict of a run on the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// A rule was broken.
    Failed,
    /// The test kit stalled for longer than the tolerance of the rules' time limits.
    Inconclusive,
}

impl RunReport {
    /// The counts of requests and attempts in the log.
    pub fn counts(&self) -> Counts {
        Counts::of(&self.log)
    }

    /// The highest load during slow start of the servers of one zone, or of all servers.
    pub fn cold_peak(&self, zone: Option<&str>) -> f64 {
        let peaks = self
            .cold_peaks
            .iter()
            .filter(|(server_zone, _)| zone.is_none_or(|zone| zone == server_zone));
        peaks.map(|(_, peak)| *peak).fold(0.0, f64::max)
    }

    /// The verdict of a run in real time, which is inconclusive if the test kit stalled too long.
    pub fn verdict(&self) -> Verdict {
        if self.longest_stall > MAX_STALL {
            Verdict::Inconclusive
        } else if self.is_good() {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }

    /// Whether no rule was broken and every request was known.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty() && self.unknown_requests == 0
    }
}

#[cfg(test)]
mod tests;

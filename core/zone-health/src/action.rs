//! What the monitor asks of the caller: actions, with the reason of a zone's state.

use crate::ids::{GossipZone, ZoneIndex};
use crate::observation::ZoneObservation;
use badgerpost_time::Nanos;

/// Why a zone gets the share that it gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneStateReason {
    /// There is no evidence against the zone.
    Healthy,
    /// Responses are missing at several of its servers.
    Silent {
        /// Log-likelihood of the silence given the usual response times, without the zone's worst server.
        evidence: f64,
    },
    /// Errors or failed connections at several of its servers.
    Failing {
        /// Log-likelihood ratio of the failures, without the worst server and the worst class.
        evidence: f64,
    },
    /// The zone is ejected, and recovery probes to it are answered.
    Probing,
    /// The zone gets a growing fraction of its requests again.
    Recovering,
    /// No zone responds: either this node is cut off, or there is nowhere else to send requests.
    NoAlternative,
    /// Operators override the state.
    OperatorOverride,
}

impl ZoneStateReason {
    /// The reason's name in log messages and metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Healthy => "open",
            Self::Silent { .. } => "silent",
            Self::Failing { .. } => "failing",
            Self::Probing => "trying",
            Self::Recovering => "returning",
            Self::NoAlternative => "nobody-else",
            Self::OperatorOverride => "by-hand",
        }
    }

    /// The evidence behind the reason; 0 if it is not based on evidence.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        match self {
            Self::Silent { evidence } | Self::Failing { evidence } => *evidence,
            _ => 0.0,
        }
    }
}

/// An output of the monitor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A zone's share changed.
    ///
    /// The local zone's share is the fraction of all requests that it gets. Another zone's share is its weight,
    /// relative to the other zones, for the requests that the local zone does not get. A zone with share 0 gets
    /// nothing new.
    SetShare {
        /// The zone.
        zone: ZoneIndex,
        /// The share, from 0 to 1.
        share: f64,
    },
    /// Send the next request that is safe to retry elsewhere to this zone, as a recovery probe.
    RequestProbe {
        /// The zone to probe.
        zone: ZoneIndex,
        /// How long to wait for the response before retrying elsewhere.
        timeout: Nanos,
    },
    /// Send an observation of a zone to the other nodes. Emitted only if there are any.
    Gossip {
        /// The observed zone.
        zone: GossipZone,
        /// What this node observes.
        observation: ZoneObservation,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at this instant; replaces the previous timer.
    SetTimer {
        /// When the timer fires.
        at: Nanos,
    },
    /// A zone's state changed; for the log.
    LogChange {
        /// The zone.
        zone: ZoneIndex,
        /// Its share from now on.
        share: f64,
        /// The reason of the new state.
        reason: ZoneStateReason,
        /// Number of servers in service there.
        server_count: u32,
    },
}

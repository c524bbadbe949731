//! Outputs of the monitor: actions for the caller, and the reasons of a zone's state.

use crate::ids::{GossipZone, ZoneIndex};
use crate::observation::ZoneObservation;
use badgerpost_time::Nanos;

/// Why a zone has its current share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneStateReason {
    /// There is no evidence against the zone.
    Healthy,
    /// Attempts to several of the zone's servers get no response.
    Silent {
        /// Evidence of silence in nats, without the zone's worst server.
        evidence: f64,
    },
    /// Attempts to several of the zone's servers end with errors or failed connections.
    Failing {
        /// Evidence of failures in nats, scaled to the threshold of suspicion and without the worst server and the
        /// worst class.
        evidence: f64,
    },
    /// The zone is ejected, and the last recovery probe succeeded.
    Probing,
    /// The zone gets a growing fraction of its full share after an ejection.
    Recovering,
    /// No zone responds, so no zone is avoided. Either this node is isolated or all zones are faulty.
    NoAlternative,
    /// An operators' override is in force.
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

    /// The evidence behind the reason, in nats; 0 for a reason without evidence.
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
    /// The local zone's share is the fraction of all requests that the zone gets. Another zone's share is a weight,
    /// relative to the other zones, for the requests that the local zone does not get. A zone with share 0 gets no new
    /// requests.
    SetShare {
        /// The zone whose share changed.
        zone: ZoneIndex,
        /// The new share, from 0 to 1.
        share: f64,
    },
    /// Send the next request that is safe to retry in another zone to this zone, as a recovery probe.
    RequestProbe {
        /// The zone to probe.
        zone: ZoneIndex,
        /// How long to wait for the response before retrying in another zone.
        timeout: Nanos,
    },
    /// Send this node's observation of a zone to the other nodes. Emitted only if there are other nodes.
    Gossip {
        /// The observed zone.
        zone: GossipZone,
        /// This node's observation.
        observation: ZoneObservation,
    },
    /// Send [`Event::TimerFired`](crate::Event::TimerFired) at this instant. Replaces the pending timer.
    SetTimer {
        /// When the timer fires, on the caller's clock.
        at: Nanos,
    },
    /// The reason of a zone's state changed. For the log.
    LogChange {
        /// The zone whose state changed.
        zone: ZoneIndex,
        /// The zone's new share, from 0 to 1.
        share: f64,
        /// Why the zone has the new share.
        reason: ZoneStateReason,
        /// Number of servers in service in the zone.
        server_count: u32,
    },
}

//! Inputs of the monitor: settings and events.

use crate::ids::{AttemptKey, ClassIndex, GossipZone, MemberId, ServerId, ZoneIndex};
use crate::observation::ZoneObservation;
use badgerpost_time::Nanos;

/// Settings of one monitor, constant for its lifetime.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Index of this node's zone, from 0 to `zone_count` - 1.
    pub local_zone: u32,
    /// Number of configured zones.
    pub zone_count: u32,
    /// Number of configured request classes.
    pub class_count: u32,
    /// Number of nodes that share the servers, including this one.
    pub node_count: u32,
    /// Seed of the random draws that spread recovery probes and gossip over the nodes.
    pub seed: u64,
}

/// Result of an attempt, as evidence about the server's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// The server sent a usable response.
    Success,
    /// The server responded with an error.
    ErrorResponse,
    /// The connection could not be established, or broke.
    ConnectionFailed,
    /// No response came within the timeout, or before the attempt was cancelled.
    TimedOut,
    /// The server responded, but the response does not show whether the server is faulty: the server rejected the
    /// request as overloaded, or the response was damaged in transit.
    Inconclusive,
    /// The attempt was never sent and is no evidence.
    NotSent,
}

/// A server in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// Identifier of the server.
    pub server: ServerId,
    /// The zone that the server runs in.
    pub zone: ZoneIndex,
    /// Capacity of the server relative to other servers.
    pub capacity: f64,
}

/// State that operators can force on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideMode {
    /// The zone gets no requests.
    ForceEjected,
    /// The zone gets its full share, regardless of the evidence.
    ForceHealthy,
}

/// An operators' override of a zone's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOverride {
    /// The forced state.
    pub mode: OverrideMode,
    /// When the override ends, on the caller's clock.
    pub until: Nanos,
}

impl ZoneOverride {
    /// Creates an override that lasts until `until` and forces the zone ejected if `is_ejected`, or else healthy.
    #[must_use]
    pub fn new(is_ejected: bool, until: Nanos) -> Self {
        let mode = if is_ejected {
            OverrideMode::ForceEjected
        } else {
            OverrideMode::ForceHealthy
        };
        Self { mode, until }
    }
}

/// An input of the monitor.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete list of servers in service, which replaces the previous list.
    EndpointsListed(Vec<ListedServer>),
    /// An attempt was sent.
    AttemptSent {
        /// Identifies the attempt until the attempt has ended.
        attempt: AttemptKey,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// The zone that the server runs in.
        zone: ZoneIndex,
        /// The class of the request.
        class: ClassIndex,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The key given with [`Event::AttemptSent`].
        attempt: AttemptKey,
        /// How the attempt ended.
        signal: AttemptSignal,
        /// Utilization of the server's cores, from 0 to 1; none if the server did not report a utilization.
        utilization: Option<f64>,
    },
    /// The instant requested by [`Action::SetTimer`](crate::Action::SetTimer) has been reached.
    TimerFired,
    /// Operators set or end the override of a zone's state.
    OperatorOverride {
        /// The overridden zone.
        zone: ZoneIndex,
        /// The new override; none ends the previous one.
        zone_override: Option<ZoneOverride>,
    },
    /// Another node joined or left the fleet.
    PeerChanged {
        /// The node that joined or left.
        member: MemberId,
        /// The zone that the node runs in.
        home_zone: GossipZone,
        /// Whether the node is now a member.
        is_up: bool,
    },
    /// An observation of a zone arrived from another node.
    PeerObserved {
        /// The node that sent the observation.
        member: MemberId,
        /// The observed zone.
        zone: GossipZone,
        /// When the observation was sent, by the sender's clock.
        sent_at: Nanos,
        /// The sender's observation.
        observation: ZoneObservation,
    },
}

//! What the caller tells the monitor: settings and events.

use crate::ids::{AttemptKey, ClassIndex, GossipZone, MemberId, ServerId, ZoneIndex};
use crate::observation::ZoneObservation;
use badgerpost_time::Nanos;

/// Settings of one monitor, fixed from its start.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The zone of this node, as a position in the list of zones.
    pub local_zone: u32,
    /// Number of zones.
    pub zone_count: u32,
    /// Number of request classes.
    pub class_count: u32,
    /// Number of nodes that share the servers, including this one.
    pub node_count: u32,
    /// Seed of the random draws that spread recovery probes and gossip over the nodes.
    pub seed: u64,
}

/// How an attempt ended, as far as that is evidence about its zone.
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
    /// The server responded, but not in a way that tells how it is doing: it rejected the request as overloaded, or
    /// the response was damaged on the way.
    Inconclusive,
    /// The attempt was never sent, so it is no evidence.
    NotSent,
}

/// A server in service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedServer {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneIndex,
    /// Its capacity relative to other servers.
    pub capacity: f64,
}

/// What operators force a zone to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideMode {
    /// The zone gets no requests.
    ForceEjected,
    /// The zone gets its full share, whatever the evidence.
    ForceHealthy,
}

/// An operators' override of a zone's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneOverride {
    /// The forced state.
    pub mode: OverrideMode,
    /// When the override ends.
    pub until: Nanos,
}

impl ZoneOverride {
    /// An override until an instant, which ejects the zone or else holds it healthy.
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
    /// The complete list of servers in service.
    EndpointsListed(Vec<ListedServer>),
    /// An attempt was sent.
    AttemptSent {
        /// Identifies the attempt until it has ended.
        attempt: AttemptKey,
        /// The server it was sent to.
        server: ServerId,
        /// The server's zone.
        zone: ZoneIndex,
        /// The request's class.
        class: ClassIndex,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The key given with [`Event::AttemptSent`].
        attempt: AttemptKey,
        /// How it ended.
        signal: AttemptSignal,
        /// Utilization of the server's cores, from 0 to 1, if the server reported it.
        utilization: Option<f64>,
    },
    /// The instant requested by [`Action::SetTimer`](crate::Action::SetTimer) has come.
    TimerFired,
    /// Operators override a zone's state, or end their override.
    OperatorOverride {
        /// The zone.
        zone: ZoneIndex,
        /// The new override; none ends the previous one.
        zone_override: Option<ZoneOverride>,
    },
    /// Another node joined or left the fleet.
    PeerChanged {
        /// The node.
        member: MemberId,
        /// The zone that it runs in.
        home_zone: GossipZone,
        /// Whether it is a member now.
        is_up: bool,
    },
    /// Another node reported what it observes of a zone.
    PeerObserved {
        /// The reporting node.
        member: MemberId,
        /// The zone that was observed.
        zone: GossipZone,
        /// When the report was sent, by the reporting node's clock.
        sent_at: Nanos,
        /// The report.
        observation: ZoneObservation,
    },
}

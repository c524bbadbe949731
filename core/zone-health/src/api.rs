//! What the core is told and what it says.

use crate::observation::ZoneObservation;
use crate::time::Nanos;

/// What the core is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The node's own zone, by position.
    pub local_zone: u32,
    /// How many zones there are.
    pub zone_count: u32,
    /// How many request classes there are.
    pub class_count: u32,
    /// How many nodes share the servers, this one included.
    pub node_count: u32,
    /// Drives the draws of trials.
    pub seed: u64,
}

/// How an attempt ended, as far as it tells of the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// A usable answer.
    Answered,
    /// The server answered with an error.
    Failed,
    /// No connection came about, or it broke.
    ConnectionFailed,
    /// Nothing came in the time waited, or it was withdrawn by then.
    TimedOut,
    /// The server has answered, but its answer says nothing of how it fares: turned away as full, spoilt on the way.
    Inconclusive,
    /// It says nothing of the zone: never sent.
    NotSent,
}

/// What the core hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The servers in service, each with its zone and its size.
    EndpointsListed(Vec<(u32, u32, f64)>),
    /// An attempt went out.
    AttemptSent {
        /// A number that no other open attempt has.
        attempt: u64,
        /// The server.
        server: u32,
        /// Its zone.
        zone: u32,
        /// The request's class.
        class: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// As given with [`Event::AttemptSent`].
        attempt: u64,
        /// How.
        seen: AttemptSignal,
        /// The server's use of its cores, where it reports that.
        util: Option<f64>,
    },
    /// The time asked for by [`Action::SetTimer`] has come.
    TimerFired,
    /// Operators close a zone (`true`) or hold it open until then, whatever is seen; none ends that.
    OperatorOverride {
        /// The zone.
        zone: u32,
        /// Closed or open, and until when.
        order: Option<(bool, Nanos)>,
    },
    /// Another node of the fleet is there, or no longer.
    PeerChanged {
        /// Which.
        member: u64,
        /// Its zone.
        home: u8,
        /// Whether it is there.
        up: bool,
    },
    /// Another node says what it sees of a zone.
    PeerObserved {
        /// Which node.
        member: u64,
        /// Of which zone.
        zone: u8,
        /// When, by its clock.
        sent: Nanos,
        /// What.
        sight: ZoneObservation,
    },
}

/// Why a zone's share is what it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ZoneStateReason {
    /// Nothing speaks against it.
    Healthy,
    /// Answers stay away at several of its servers.
    Silent {
        /// Log-likelihood of the silence against the usual answer times, without its worst server.
        evidence: f64,
    },
    /// Errors or connections that don't come about, at several of its servers.
    Failing {
        /// Log-likelihood ratio of the failures, without the worst server and the worst class.
        evidence: f64,
    },
    /// It is tried again by a few requests.
    Probing,
    /// It takes part of the requests again.
    Recovering,
    /// No zone answers: it is this node that is cut off, or there is nowhere else to go.
    NoAlternative,
    /// Operators said so.
    OperatorOverride,
}

impl ZoneStateReason {
    /// One word, for logs.
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

    /// The evidence, where there is any.
    pub fn evidence(&self) -> f64 {
        match self {
            Self::Silent { evidence } | Self::Failing { evidence } => *evidence,
            _ => 0.0,
        }
    }
}

/// What the core says.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A zone's share from now on: of the home zone, which part of the requests it takes; of another, which part of
    /// what home does not take, against the other zones' shares. At 0 it gets nothing new.
    SetShare {
        /// The zone.
        zone: u32,
        /// From 0 to 1.
        share: f64,
    },
    /// The next request that may be repeated elsewhere tries the zone, for so long.
    RequestProbe {
        /// The zone.
        zone: u32,
        /// How long its answer is waited for.
        wait: Nanos,
    },
    /// The other nodes are to hear this of a zone. Said to nobody where there are none.
    Gossip {
        /// The zone.
        zone: u8,
        /// What this node sees of it.
        sight: ZoneObservation,
    },
    /// [`Event::TimerFired`] is wanted at this time; replaces the wish before.
    SetTimer {
        /// When.
        at: Nanos,
    },
    /// A zone's state changed; for the log.
    LogChange {
        /// The zone.
        zone: u32,
        /// Its share now.
        share: f64,
        /// Why.
        why: ZoneStateReason,
        /// Servers in service there.
        servers: u32,
    },
}

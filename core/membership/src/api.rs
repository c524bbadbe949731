//! What the core is told and what it says.

use std::net::SocketAddr;

use crate::Key;

/// A time or a span, in nanoseconds.
pub type Nanos = u64;

/// A member, by the hash of its node's name.
pub type MemberId = u64;

/// A fact's body is no longer: dozens have to fit into one datagram.
pub const MAX_ITEM_LENGTH: usize = 64;

/// What the core is told at its start.
#[derive(Clone)]
pub struct Settings {
    /// This node.
    pub member: MemberId,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Its zone, by position.
    pub zone: u8,
    /// Its start, in Unix time: of two lives of a node the later one counts.
    pub incarnation: Nanos,
    /// Whom to ask first.
    pub seeds: Vec<SocketAddr>,
    /// What all members know and nobody else.
    pub key: Key,
    /// How many members are expected, this one included: how often news is passed on follows from it.
    pub node_count: u32,
    /// Drives all draws.
    pub seed: u64,
}

/// What the core hears.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The node serves now: it joins.
    Start,
    /// A datagram has come.
    Datagram(&'a [u8]),
    /// The time asked for by [`Action::SetTimer`] has come.
    TimerFired,
    /// This member says something of itself: at most [`MAX_ITEM_LENGTH`] bytes.
    Broadcast {
        /// On which topic.
        topic: u16,
        /// What; nobody here reads it.
        body: &'a [u8],
    },
    /// The node stops: the others are told.
    Leave,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Of another version, or too long or short to be one.
    Malformed,
    /// Its keyed hash is wrong: somebody else's.
    Unauthenticated,
    /// A member sent it, and it can't be read.
    Undecodable,
}

/// What the core says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this.
    Send {
        /// To this address.
        to: SocketAddr,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// [`Event::TimerFired`] is wanted at this time; replaces the wish before.
    SetTimer {
        /// When.
        at: Nanos,
    },
    /// Another member is there, or no longer. One that is there already has started anew.
    MemberChanged {
        /// Which.
        member: MemberId,
        /// Its zone, by position.
        zone: u8,
        /// Where it is reached.
        at: SocketAddr,
        /// Whether it is there.
        up: bool,
    },
    /// Another member has said something new.
    Received {
        /// Which.
        member: MemberId,
        /// On which topic.
        topic: u16,
        /// When, by its clock.
        sent: Nanos,
        /// What.
        body: Vec<u8>,
    },
    /// A datagram was dropped.
    DatagramDropped(DropReason),
}

//! Settings, inputs and outputs of the core.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::datagram_auth::Key;
use crate::drop_reason::DropReason;
use badgerpost_time::Nanos;

/// Longest body of a gossip item, in bytes: dozens of items have to fit into one datagram.
pub const MAX_ITEM_BODY_BYTES: usize = 64;

/// Bytes of a name's hash that make a [`MemberId`].
const MEMBER_ID_LENGTH: usize = 8;

/// A member, by the hash of its node's name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The member that is the node of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let hash = Sha256::digest(name.as_bytes());
        let prefix = hash.iter().take(MEMBER_ID_LENGTH);
        Self(prefix.fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }
}

/// What a gossip item is about. The users of this core assign the numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Topic(pub u16);

/// Settings of one member.
#[derive(Clone)]
pub struct Settings {
    /// This member.
    pub member: MemberId,
    /// Address at which the other members reach it.
    pub advertise: SocketAddr,
    /// Its zone, by position in the fleet's settings.
    pub zone: u8,
    /// Time of its start; of two incarnations of a member the later one is valid.
    pub incarnation: Nanos,
    /// Addresses of members that are asked to let this one join.
    pub seeds: Vec<SocketAddr>,
    /// The key that all members share.
    pub key: Key,
    /// Expected number of members, including this one; determines how often updates are retransmitted.
    pub node_count: u32,
    /// Seed of all random choices.
    pub seed: u64,
}

/// An input of the core.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The node is in service: it joins the fleet.
    Start,
    /// A datagram was received.
    Datagram(&'a [u8]),
    /// The time requested by [`Action::SetTimer`] has been reached.
    TimerFired,
    /// This member publishes a gossip item.
    Broadcast {
        /// What the item is about.
        topic: Topic,
        /// The content, opaque to this core; at most [`MAX_ITEM_BODY_BYTES`] bytes.
        body: &'a [u8],
    },
    /// The node shuts down: it leaves the fleet and informs the other members.
    Leave,
}

/// An output of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Vec<u8>,
    },
    /// Deliver [`Event::TimerFired`] at this time; replaces the timer before.
    SetTimer {
        /// The time.
        at: Nanos,
    },
    /// Another member has joined, restarted or gone. A member that is reported as up twice has restarted.
    MemberChanged {
        /// The member.
        member: MemberId,
        /// Its zone, by position in the fleet's settings.
        zone: u8,
        /// Its address.
        address: SocketAddr,
        /// Whether it is a member now.
        is_up: bool,
    },
    /// A new gossip item of another member was received.
    Received {
        /// The member that published it.
        member: MemberId,
        /// What it is about.
        topic: Topic,
        /// Time of publication, by the member's clock.
        sent_at: Nanos,
        /// The content.
        body: Vec<u8>,
    },
    /// A datagram was dropped.
    DatagramDropped(DropReason),
}

//! The settings, events and actions of a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::datagram_auth::Key;
use crate::drop_reason::DropReason;
use badgerpost_time::Nanos;

/// The maximum length of a gossip item's body. One datagram has to hold several items.
pub const MAX_ITEM_BODY_BYTES: usize = 64;

/// The number of bytes of a name's hash that form a [`MemberId`].
const MEMBER_ID_BYTES: usize = 8;

/// Identifies a member: the first bytes of the SHA-256 hash of the node's name, big-endian.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Returns the id of the member whose node has this name.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let hash = Sha256::digest(name.as_bytes());
        let prefix = hash.iter().take(MEMBER_ID_BYTES);
        Self(prefix.fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }
}

/// The topic of a gossip item. The users of this crate assign the numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Topic(pub u16);

/// The settings of one member.
#[derive(Clone)]
pub struct Settings {
    /// The id of this member.
    pub member: MemberId,
    /// The address to which the other members send datagrams.
    pub advertise: SocketAddr,
    /// The index of this member's zone in the fleet's settings.
    pub zone: u8,
    /// The time at which this member started. A later incarnation of a member supersedes an earlier one.
    pub incarnation: Nanos,
    /// The addresses of members to which this member announces itself in order to join.
    pub seeds: Vec<SocketAddr>,
    /// The authentication key that all members share.
    pub key: Key,
    /// The expected number of members, including this one. The number determines how often an update is transmitted and
    /// how long a suspected member may refute the suspicion.
    pub node_count: u32,
    /// The seed of all random draws.
    pub seed: u64,
}

/// An event for [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The node is in service and joins the fleet.
    Start,
    /// A datagram has been received.
    Datagram(&'a [u8]),
    /// The time requested by [`Action::SetTimer`] has been reached.
    TimerFired,
    /// This node publishes a gossip item.
    Broadcast {
        /// The topic of the item.
        topic: Topic,
        /// The opaque content, at most [`MAX_ITEM_BODY_BYTES`] bytes. A longer item is ignored.
        body: &'a [u8],
    },
    /// The node shuts down, leaves the fleet and informs other members.
    Leave,
}

/// An action for the caller, which carries out all actions in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The address of the receiving member.
        to: SocketAddr,
        /// The datagram, including the authentication code.
        datagram: Vec<u8>,
    },
    /// Deliver [`Event::TimerFired`] at this time. The request replaces the previous one.
    SetTimer {
        /// The Unix time at which the timer fires, in nanoseconds.
        at: Nanos,
    },
    /// Another member has joined, restarted, left or failed. Two reports in a row that a member is up mean a restart.
    MemberChanged {
        /// The id of the member.
        member: MemberId,
        /// The index of the member's zone in the fleet's settings.
        zone: u8,
        /// The address to which datagrams for the member are sent.
        address: SocketAddr,
        /// Whether the member is up after the change.
        is_up: bool,
    },
    /// A new gossip item of another member has been received.
    Received {
        /// The member that published the item.
        member: MemberId,
        /// The topic of the item.
        topic: Topic,
        /// The time of publication by the publishing member's clock.
        sent_at: Nanos,
        /// The opaque content.
        body: Vec<u8>,
    },
    /// A received datagram has been dropped for this reason.
    DatagramDropped(DropReason),
}

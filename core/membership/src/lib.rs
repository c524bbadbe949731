//! The nodes of a fleet know of each other: who is a member, who is suspected or has left (SWIM, by `foca`), and small
//! facts that each spreads about itself. A fact replaces the one before it on the same topic by the same member; merging
//! is a join, so that order, loss and repetition of datagrams don't matter.
//!
//! `handle(now, event, &mut actions)`, no I/O, no clock, no randomness but the seed's. Times are Unix times in
//! nanoseconds. Each datagram carries a version and a keyed hash over all of it; one that does not fit is dropped and
//! counted.

mod api;
mod datagram_auth;
mod gossip_store;
mod member_identity;
mod membership;

pub use api::{Action, DropReason, Event, MAX_ITEM_LENGTH, MemberId, Nanos, Settings};
pub use datagram_auth::{Key, KeyError, MAX_DATAGRAM_LENGTH, member_id};
pub use gossip_store::{GossipItem, GossipStore, GossipVersion};
pub use membership::Membership;

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SECOND: Nanos = 1000 * MS;

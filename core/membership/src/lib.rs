//! Membership of a fleet of nodes by the SWIM protocol (crate `foca`), and gossip between the members.
//!
//! Each member broadcasts small gossip items. An item replaces the previous item of the same member on the same topic.
//! Merging items is the join of a state-based CRDT, so reordered and repeated datagrams do not change the result, and a
//! later item replaces a lost one.
//!
//! The crate does no I/O and reads no clock: [`Membership::handle`] takes the time and an [`Event`] and appends
//! [`Action`]s. The seed in [`Settings`] determines all random draws. Instants are Unix times in nanoseconds.
//!
//! Each datagram carries a protocol version and a message authentication code. Invalid datagrams are dropped and
//! reported.

mod api;
mod broadcast_schedule;
mod datagram_auth;
mod drop_reason;
mod gossip_handler;
mod gossip_store;
mod member_identity;
mod membership;
mod swim_config;
mod swim_output;
mod timer_queue;

pub use api::{Action, Event, MAX_ITEM_BODY_BYTES, MemberId, Settings, Topic};
pub use badgerpost_time::Nanos;
pub use datagram_auth::{Key, KeyError, MAX_DATAGRAM_BYTES};
pub use drop_reason::DropReason;
pub use gossip_store::{GossipItem, GossipKey, GossipStore, GossipVersion};
pub use membership::Membership;

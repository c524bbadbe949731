//! Membership of a fleet: which nodes are members, suspected or gone (SWIM, by `foca`), and gossip between them.
//!
//! Each member broadcasts small items about itself. An item replaces the one before it by the same member on the same
//! topic. Merging is a join (a state-based CRDT), so loss, reordering and repetition of datagrams don't matter.
//!
//! The core is sans-I/O: [`Membership::handle`] takes the time and an event and appends actions. It reads no clock, and
//! its only randomness is the seed of its settings. Times are Unix times in nanoseconds. Each datagram carries a protocol
//! version and a message authentication code; invalid ones are dropped and reported.

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

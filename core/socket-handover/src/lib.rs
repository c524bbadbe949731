//! Handover of a listening socket from a running process to the next version started beside it.
//!
//! Two state machines without I/O: [`Successor`] requests the socket, [`Predecessor`] passes it on. If messages are lost,
//! malformed, late or out of order, the successor still listens in exactly one way, and the predecessor leaves new
//! connections to it only while it lives.
//!
//! ```text
//!     successor                                   predecessor
//!         | hello (version, listen address)            |
//!         |------------------------------------------->|
//!         | listener, with the file descriptor         |
//!         |<-------------------------------------------|   or: refused (reason)
//!         | serving                                    |
//!         |------------------------------------------->|
//!         | end of the connection: one of the two processes has ended
//! ```
//!
//! On the wire each message is one line of JSON.

mod api;
mod message;
mod predecessor;
mod successor;

pub use api::{Action, Event};
pub use message::{MAX_LINE_LENGTH, Message, MessageError, PROTOCOL_VERSION};
pub use predecessor::Predecessor;
pub use successor::Successor;

#[cfg(test)]
mod tests;

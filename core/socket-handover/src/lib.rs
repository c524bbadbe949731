//! Handover of a listening socket from a running process to a newer process that is started beside it.
//!
//! The protocol is implemented as two state machines that do no I/O: [`Successor`] requests the socket, and
//! [`Predecessor`] sends the socket. If messages are lost, malformed, late or out of order, the successor still uses
//! exactly one listener, and the predecessor considers the listener shared only while the successor is connected.
//!
//! ```text
//!     successor                                   predecessor
//!         | hello (version, listen address)            |
//!         |------------------------------------------->|
//!         | listener, with the file descriptor         |
//!         |<-------------------------------------------|   or: refused (reason)
//!         | serving                                    |
//!         |------------------------------------------->|
//!         | request ids, in both directions            |
//!         |<------------------------------------------>|
//!         | the connection closes: one of the two processes has exited
//! ```
//!
//! On the wire each message is one line of JSON.

mod api;
mod message;
mod predecessor;
mod successor;

pub use api::{Action, Event};
pub use message::{MAX_IDS_PER_MESSAGE, MAX_LINE_LENGTH, Message, MessageError, PROTOCOL_VERSION};
pub use predecessor::Predecessor;
pub use successor::Successor;

#[cfg(test)]
mod tests;

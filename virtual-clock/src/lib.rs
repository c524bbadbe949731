//! A node's clock in the hands of a rehearsal. The node connects to the kit's control address and from then on
//! time passes for it only as the kit says: the kit writes the bytes of one event to the node's sockets, asks
//! the node to run at a given time until nothing is ready, and hears when the node next waits for the time.
//!
//! What the kit has written is in the node's sockets before the step is told: both go through the loopback
//! device in order, and the step names how many bytes to wait for, in case they don't. The same holds for what
//! the node has written when it says that it is idle.

mod control;
mod protocol;

pub use control::{Control, ControlError, settle};
pub use protocol::{ControllerMessage, MalformedLine, NodeMessage, PROTOCOL_VERSION};

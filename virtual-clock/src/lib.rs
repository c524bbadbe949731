//! Control of a node's virtual clock by a test. The node connects to the test's controller, and only the controller
//! advances the clock. In each step the controller writes the bytes of one event to the node's sockets, then makes the
//! node run at a given time until no task is ready, and receives the time of the node's next timer.
//!
//! The controller writes to the node's sockets before it sends the step message. The loopback device usually delivers
//! both in this order; the step message contains the number of bytes written, so that the node can wait for late bytes.
//! The same applies in the other direction: the node's idle message contains the number of bytes that the node has
//! written.

mod control;
mod protocol;

pub use control::{ControlConnection, ControlError, run_until_idle};
pub use protocol::{ControllerMessage, MalformedLine, NodeMessage, PROTOCOL_VERSION};

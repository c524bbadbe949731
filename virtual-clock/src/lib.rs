//! A node's clock under a test's control. The node connects to a controller, and from then on time passes for it only
//! as the controller says: the controller writes the bytes of one event to the node's sockets, has the node run at a
//! given time until nothing is ready, and is told when the node's next timer is due.
//!
//! What the controller has written is in the node's sockets before the step is requested: both go through the loopback
//! device in order, and the step names how many bytes to wait for, in case they don't. The same holds for what the node
//! has written when it reports that it is idle.

mod control;
mod protocol;

pub use control::{ControlConnection, ControlError, run_until_idle};
pub use protocol::{ControllerMessage, MalformedLine, NodeMessage, PROTOCOL_VERSION};

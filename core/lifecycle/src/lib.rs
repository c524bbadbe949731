//! Lifecycle of a node, as a state machine: in service, drained by its operators, shutting down, closed.
//!
//! This is the one state that the readiness check, the client connections and the end of the process all read; there are
//! no flags beside it. The machine does no I/O and reads no clock: a transition that has to happen later is requested by
//! [`Transition::timer`] and arrives as [`Event::TimerFired`].
//!
//! ```text
//!                 Standby               timer
//!        Active ----------> Draining ----------> Empty
//!          ^                   |                   |
//!          |      Active       |                   |
//!          +-------------------+-------------------+
//!
//!                     Stop              timer               timer
//!     any of these ----------> Stopping -------> Closing -------> Closed
//! ```
//!
//! Shutdown is final: from [`Stage::Stopping`] on, no event leads back.

mod machine;
mod stage;

pub use machine::{Event, Lifecycle, Timer, TimerToken, Transition};
pub use stage::Stage;

#[cfg(test)]
mod tests;

//! The lifecycle state machine of a node: in service, drained by the operators, shutting down, closed.
//!
//! The readiness check, the client connections and the end of the process all depend on this one [`Stage`]. The crate
//! does no I/O and reads no clock: [`Transition::timer`] requests a timer, and the caller delivers
//! [`Event::TimerFired`] when the timer fires.
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
//! Shutdown is final: no event returns a node from [`Stage::Stopping`] or a later stage to an earlier one.

mod machine;
mod stage;

pub use machine::{Event, Lifecycle, Timer, TimerToken, Transition};
pub use stage::Stage;

#[cfg(test)]
mod tests;

//! The network operations and task notifications that result from handling an event.

use badgerpost_balancer::BackendId;

use crate::attempt::{AttemptCommand, AttemptId};
use crate::backends::BackendAddress;
use crate::protocol::Protocol;

/// Operations collected while the driver is borrowed, and executed after the borrow has ended.
pub(crate) struct PendingIo<P: Protocol> {
    pub(crate) attempts: Vec<AttemptCommand<P>>,
    /// Attempts on backends that are no longer listed. These attempts end without being sent.
    pub(crate) unlisted_attempts: Vec<AttemptId>,
    /// Backends whose idle connections are to be closed.
    pub(crate) idle_closures: Vec<BackendId>,
    /// Backends whose health is to be checked.
    pub(crate) health_checks: Vec<BackendAddress>,
    /// Whether service discovery is to be polled.
    pub(crate) discovery_poll_requested: bool,
    /// Whether a timer was set that fires before all others.
    pub(crate) next_timer_changed: bool,
}

impl<P: Protocol> Default for PendingIo<P> {
    fn default() -> Self {
        Self {
            attempts: Vec::new(),
            unlisted_attempts: Vec::new(),
            idle_closures: Vec::new(),
            health_checks: Vec::new(),
            discovery_poll_requested: false,
            next_timer_changed: false,
        }
    }
}

//! The network operations and task notifications that result from the handling of an event.

use badgerpost_balancer::BackendId;

use crate::attempt::{AttemptCommand, AttemptId};
use crate::backends::BackendAddress;
use crate::protocol::Protocol;

/// Work collected while the driver is borrowed, and done once that borrow has ended.
pub(crate) struct PendingIo<P: Protocol> {
    /// Attempts to start.
    pub(crate) attempts: Vec<AttemptCommand<P>>,
    /// Attempts on backends that are no longer listed. They end without having been sent.
    pub(crate) unlisted_attempts: Vec<AttemptId>,
    /// Backends whose idle connections are of no more use.
    pub(crate) idle_closures: Vec<BackendId>,
    /// Backends whose health is to be checked.
    pub(crate) health_checks: Vec<BackendAddress>,
    /// Whether service discovery is to be asked.
    pub(crate) polls_discovery: bool,
    /// Whether the next timer fires earlier than before.
    pub(crate) next_timer_changed: bool,
}

impl<P: Protocol> Default for PendingIo<P> {
    fn default() -> Self {
        Self {
            attempts: Vec::new(),
            unlisted_attempts: Vec::new(),
            idle_closures: Vec::new(),
            health_checks: Vec::new(),
            polls_discovery: false,
            next_timer_changed: false,
        }
    }
}

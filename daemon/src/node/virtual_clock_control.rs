//! The node's clock under the control of a test.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_engine::{Clock, VirtualClock};
use badgerpost_virtual_clock::{ControlConnection, ControlError};
use tokio::task::{JoinHandle, spawn_local};

use crate::config::VirtualClockConfig;

/// A virtual clock, and the connection to the controller that moves it.
pub struct VirtualClockControl {
    virtual_clock: Rc<VirtualClock>,
    control: ControlConnection,
}

impl VirtualClockControl {
    /// Connects to the controller.
    ///
    /// # Errors
    ///
    /// The controller can't be reached, or is not on this machine.
    pub fn connect(config: VirtualClockConfig) -> Result<Self, ControlError> {
        let VirtualClockConfig { control, start_ns } = config;
        tracing::warn!(%control, "STEPPED CLOCK in a rehearsal's hands; not for service");
        Ok(Self {
            virtual_clock: VirtualClock::at(start_ns),
            control: ControlConnection::connect(control)?,
        })
    }

    /// The clock that the controller moves.
    pub fn clock(&self) -> Clock {
        Clock::from_virtual(self.virtual_clock.clone())
    }

    /// Follows the controller's steps until it has gone. `node` and `listen` introduce the node to it.
    pub fn follow(self, node: String, listen: SocketAddr) -> JoinHandle<ControlError> {
        let Self {
            virtual_clock,
            control,
        } = self;
        // Not counted among the node's tasks: it waits for these to be idle.
        spawn_local(async move { control.follow(&node, listen, virtual_clock).await })
    }
}

/// Waits until the followed controller has gone. Never returns where there is none.
pub async fn controller_gone(followed: Option<JoinHandle<ControlError>>) -> ControlError {
    if let Some(followed) = followed
        && let Ok(error) = followed.await
    {
        return error;
    }
    std::future::pending().await
}

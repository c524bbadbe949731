//! The node's virtual clock and the connection to the test that controls the clock.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_engine::{Clock, VirtualClock};
use badgerpost_virtual_clock::{ControlConnection, ControlError};
use tokio::task::{JoinHandle, spawn_local};

use crate::config::VirtualClockConfig;

/// A virtual clock, and the connection to the controller that advances it.
pub struct VirtualClockControl {
    virtual_clock: Rc<VirtualClock>,
    control: ControlConnection,
}

impl VirtualClockControl {
    /// Connects to the controller.
    ///
    /// # Errors
    ///
    /// The connection fails, or the controller's address is not a loopback address.
    pub fn connect(config: VirtualClockConfig) -> Result<Self, ControlError> {
        let VirtualClockConfig {
            controller,
            start_ns,
        } = config;
        tracing::warn!(
            control = %controller,
            "the clock is virtual and controlled by a test; not for production use"
        );
        Ok(Self {
            virtual_clock: VirtualClock::at(start_ns),
            control: ControlConnection::connect(controller)?,
        })
    }

    /// The virtual clock as the node's [`Clock`].
    pub fn clock(&self) -> Clock {
        Clock::from_virtual(self.virtual_clock.clone())
    }

    /// Starts the task that runs the controller's steps until the connection ends. The node's first message to the
    /// controller contains `node`, the node's name, and `listen`, the address for clients.
    pub fn follow(self, node: String, listen: SocketAddr) -> JoinHandle<ControlError> {
        let Self {
            virtual_clock,
            control,
        } = self;
        // Not `badgerpost_engine::spawn`, which counts polls: this task waits until the counted tasks are idle.
        spawn_local(async move { control.follow(&node, listen, virtual_clock).await })
    }
}

/// Waits for the end of the task that runs the controller's steps. Never returns without such a task.
pub async fn wait_for_controller_end(task: Option<JoinHandle<ControlError>>) -> ControlError {
    if let Some(task) = task
        && let Ok(error) = task.await
    {
        return error;
    }
    std::future::pending().await
}

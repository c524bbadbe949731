//! The node's end of a control connection. The serving thread reads the connection with blocking calls, because no task
//! may run before the controller sends the next step.

use std::convert::Infallible;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{VirtualClock, activity};
use tokio::task::yield_now;

use crate::protocol::{ControllerMessage, MAX_LINE_LENGTH, MalformedLine, NodeMessage};

/// A node is idle after this many consecutive turns of the scheduler without a polled task. Each turn checks the
/// sockets for events; more than one turn is needed because a check may report an event after the tasks of its turn
/// were polled.
const IDLE_TURNS: u32 = 3;
/// Maximum number of checks in a step for announced bytes and ends of connections that have not arrived. Some never
/// arrive, because the node does not read them while an earlier request on the connection is in progress. The limit
/// counts checks instead of time, so that a suspension of the process does not use it up.
const MAX_ARRIVAL_CHECKS: u32 = 10_000;
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_micros(300);

/// Why the controller can't be reached or the steps have ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The controller's address is not a loopback address.
    #[error(
        "rehearsal.control: {0} is not a loopback address; the clock's controller must run on this machine"
    )]
    NotLoopback(SocketAddr),
    /// The connection to the controller could not be established, or has failed.
    #[error("virtual clock: connection to the controller at {controller} failed: {source}")]
    Socket {
        /// The controller's address.
        controller: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The controller has closed the connection, which ends the test.
    #[error("virtual clock: the controller at {0} closed the connection")]
    Closed(SocketAddr),
    /// The controller has sent an invalid message.
    #[error("virtual clock: the controller at {controller} sent an invalid message: {source}")]
    Malformed {
        /// The controller's address.
        controller: SocketAddr,
        /// The parser's error, with the received line.
        source: MalformedLine,
    },
}

/// The node's connection to the controller of its virtual clock.
pub struct ControlConnection {
    controller: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl ControlConnection {
    /// Connects to the controller. Blocks until the connection is established.
    ///
    /// # Errors
    ///
    /// The address is not a loopback address, or the connection fails.
    pub fn connect(controller: SocketAddr) -> Result<Self, ControlError> {
        if !controller.ip().is_loopback() {
            return Err(ControlError::NotLoopback(controller));
        }
        let connect = || {
            let stream = TcpStream::connect(controller)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let stream = connect().map_err(|source| ControlError::Socket { controller, source })?;
        Ok(Self {
            controller,
            reader: BufReader::new(stream),
        })
    }

    fn send(&mut self, message: &NodeMessage) -> Result<(), ControlError> {
        let line = message.to_string();
        let result = self.reader.get_mut().write_all(line.as_bytes());
        result.map_err(|source| self.socket_error(source))
    }

    fn receive(&mut self) -> Result<ControllerMessage, ControlError> {
        let mut line = String::new();
        let result = (&mut self.reader)
            .take(MAX_LINE_LENGTH as u64)
            .read_line(&mut line);
        match result {
            Ok(0) => Err(ControlError::Closed(self.controller)),
            Ok(_) => line.parse().map_err(|source| ControlError::Malformed {
                controller: self.controller,
                source,
            }),
            Err(source) => Err(self.socket_error(source)),
        }
    }

    fn socket_error(&self, source: io::Error) -> ControlError {
        ControlError::Socket {
            controller: self.controller,
            source,
        }
    }

    /// Runs the controller's steps until the controller closes the connection or an error occurs. `name`, the node's
    /// name, and `listen`, the node's address for clients, are sent to the controller first.
    pub async fn follow(
        mut self,
        name: &str,
        listen: SocketAddr,
        virtual_clock: Rc<VirtualClock>,
    ) -> ControlError {
        match self.run_steps(name, listen, &virtual_clock).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn run_steps(
        &mut self,
        name: &str,
        listen: SocketAddr,
        virtual_clock: &VirtualClock,
    ) -> Result<Infallible, ControlError> {
        run_until_idle(0, 0).await;
        self.send(&NodeMessage::Hello {
            name: name.to_owned(),
            listen,
        })?;
        // The first report includes the bytes read and written before the first step.
        let mut before = activity::Activity::default();
        // Ends that the controller has announced and this node has not detected, because the node never reads from
        // those connections.
        let mut unseen_ends = 0;
        loop {
            let ControllerMessage::Step {
                now,
                bytes_sent,
                connections_ended,
            } = self.receive()?;
            let read_before = activity::snapshot().bytes_read;
            virtual_clock.advance(now);
            run_until_idle(
                read_before.saturating_add(bytes_sent),
                connections_ended.saturating_sub(unseen_ends),
            )
            .await;
            let after = activity::snapshot();
            unseen_ends =
                unseen_ends.max(connections_ended.saturating_sub(after.connections_ended));
            self.send(&NodeMessage::Idle {
                next_timer_at: virtual_clock.next_deadline(),
                bytes_read: after.bytes_read - before.bytes_read,
                bytes_written: after.bytes_written - before.bytes_written,
                connections_ended: after.connections_ended + unseen_ends,
            })?;
            before = after;
        }
    }
}

/// Runs the runtime's tasks until no task is ready, no connection is being established, and this thread has read at
/// least `min_bytes_read` bytes and detected at least `min_connections_ended` ends of connections since its start.
/// Gives up after `MAX_ARRIVAL_CHECKS` checks. Must be called from a task that [`activity`] does not count.
pub async fn run_until_idle(min_bytes_read: u64, min_connections_ended: u64) {
    for _ in 0..MAX_ARRIVAL_CHECKS {
        run_ready_tasks().await;
        let counts = activity::snapshot();
        if counts.bytes_read >= min_bytes_read
            && counts.connections_ended >= min_connections_ended
            && counts.connections_pending == 0
        {
            return;
        }
        std::thread::sleep(ARRIVAL_CHECK_INTERVAL);
    }
    run_ready_tasks().await;
}

/// Yields until no task was polled in [`IDLE_TURNS`] consecutive turns of the scheduler.
async fn run_ready_tasks() {
    let mut idle_turns = 0;
    while idle_turns < IDLE_TURNS {
        let polls_before = activity::snapshot().polls;
        yield_now().await;
        let was_idle = activity::snapshot().polls == polls_before;
        idle_turns = if was_idle { idle_turns + 1 } else { 0 };
    }
}

#[cfg(test)]
mod tests;

//! The node's end of a control connection. It is read by blocking calls on the serving thread: until the controller has
//! sent the next step, nothing may run.

use std::convert::Infallible;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{VirtualClock, activity};
use tokio::task::yield_now;

use crate::protocol::{ControllerMessage, MAX_LINE_LENGTH, MalformedLine, NodeMessage};

/// Turns of the scheduler without a task's poll, each with a check of the sockets, after which a node is idle. One
/// would do; the others are for what a check has brought while the turn was counted.
const IDLE_TURNS: u32 = 3;
/// How often a step checks for bytes, and ends of connections, that were announced and have not arrived. The
/// controller has sent them already, and they take microseconds, or longer on a machine with other work. Some never
/// arrive, as nobody reads them: those behind a request that is still open. Checks are counted, not time: a process
/// that did not run for a while has not checked.
const MAX_ARRIVAL_CHECKS: u32 = 10_000;
/// Wait between two of these checks.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_micros(300);

/// Why a node can't be stepped, or not any further.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The controller's address is not one of this machine's own.
    #[error(
        "rehearsal.control: {0} is not a loopback address; a clock is given into no other hands"
    )]
    NotLoopback(SocketAddr),
    /// The connection failed or broke.
    #[error("the rehearsal at {controller}: {source}")]
    Socket {
        /// The controller's address.
        controller: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The controller has closed the connection: the run is over.
    #[error("the rehearsal at {0} is over")]
    Closed(SocketAddr),
    /// The controller has sent a line that is not a message.
    #[error("the rehearsal at {controller}: {source}")]
    Malformed {
        /// The controller's address.
        controller: SocketAddr,
        /// The line.
        source: MalformedLine,
    },
}

/// A control connection.
pub struct ControlConnection {
    controller: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl ControlConnection {
    /// Connects to the controller.
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

    /// Follows the controller's steps until it closes the connection, or something fails. `name` and `listen` introduce
    /// the node to it.
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
        // What was done before the first step counts with it.
        let mut before = activity::Activity::default();
        // Ends that the controller has seen and that never came here: of connections that this node never read from.
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

/// Runs until no task is ready, no socket has news, no connection is being established, and this thread has read
/// `min_read` bytes and seen `min_ended` connections end since it began, or has checked for these often enough. To be
/// called on the thread's runtime, from a task that [`activity`] does not count.
pub async fn run_until_idle(min_read: u64, min_ended: u64) {
    for _ in 0..MAX_ARRIVAL_CHECKS {
        run_ready_tasks().await;
        let counts = activity::snapshot();
        if counts.bytes_read >= min_read
            && counts.connections_ended >= min_ended
            && counts.connections_pending == 0
        {
            return;
        }
        std::thread::sleep(ARRIVAL_CHECK_INTERVAL);
    }
    run_ready_tasks().await;
}

/// Yields until no task was polled in [`IDLE_TURNS`] turns of the scheduler.
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

//! The node's end of a control connection. It is read with the thread blocked, on purpose: while the kit has
//! not said how the time goes on, nothing may run.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{VirtualClock, activity};
use tokio::task::yield_now;

use crate::protocol::{ControllerMessage, MAX_LINE_LENGTH, MalformedLine, NodeMessage};

/// Turns of the scheduler in which no task ran, each with a look at the sockets, that make a node idle. One
/// would do; the others are for what a look has brought while the turn was counted.
const QUIET_TURNS: u32 = 3;
/// What was announced and is not here yet is looked for so often, after so long a rest each: bytes, and ends of
/// connections, that the kit has sent already and that take microseconds, but longer on a machine with other work. Some
/// would never come, as nobody reads them: those behind a request that is still open. Looks are counted, not time: a
/// process that did not run for a while has not looked.
const LOOKS: u32 = 10_000;
const REST: Duration = Duration::from_micros(300);

/// Why a node can't be stepped on.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// It is not one of this machine's own.
    #[error(
        "rehearsal.control: {0} is not a loopback address; a clock is given into no other hands"
    )]
    Address(SocketAddr),
    /// The connection failed or broke.
    #[error("the rehearsal at {at}: {source}")]
    Socket {
        /// The kit's address.
        at: SocketAddr,
        /// What happened.
        source: io::Error,
    },
    /// The kit has closed it: the rehearsal is over.
    #[error("the rehearsal at {0} is over")]
    Over(SocketAddr),
    /// The kit said something else.
    #[error("the rehearsal at {at}: {source}")]
    Bad {
        /// The kit's address.
        at: SocketAddr,
        /// What it said.
        source: MalformedLine,
    },
}

/// A control connection.
pub struct Control {
    at: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Control {
    /// Connects to the kit.
    pub fn connect(at: SocketAddr) -> Result<Self, ControlError> {
        if !at.ip().is_loopback() {
            return Err(ControlError::Address(at));
        }
        let connect = || {
            let stream = TcpStream::connect(at)?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        let stream = connect().map_err(|source| ControlError::Socket { at, source })?;
        Ok(Self {
            at,
            reader: BufReader::new(stream),
        })
    }

    fn say(&mut self, line: &NodeMessage) -> Result<(), ControlError> {
        let written = self.reader.get_mut().write_all(line.to_string().as_bytes());
        written.map_err(|source| ControlError::Socket {
            at: self.at,
            source,
        })
    }

    fn hear(&mut self) -> Result<ControllerMessage, ControlError> {
        let mut line = String::new();
        let read = (&mut self.reader)
            .take(MAX_LINE_LENGTH as u64)
            .read_line(&mut line);
        match read {
            Ok(0) => Err(ControlError::Over(self.at)),
            Ok(_) => line.parse().map_err(|source| ControlError::Bad {
                at: self.at,
                source,
            }),
            Err(source) => Err(ControlError::Socket {
                at: self.at,
                source,
            }),
        }
    }

    /// Follows the kit's steps until the rehearsal is over.
    pub async fn follow(
        mut self,
        name: &str,
        listen: SocketAddr,
        steps: Rc<VirtualClock>,
    ) -> ControlError {
        match self.steps(name, listen, &steps).await {
            Ok(never) => match never {},
            Err(error) => error,
        }
    }

    async fn steps(
        &mut self,
        name: &str,
        listen: SocketAddr,
        steps: &VirtualClock,
    ) -> Result<std::convert::Infallible, ControlError> {
        settle(0, 0).await;
        self.say(&NodeMessage::Hello {
            name: name.to_owned(),
            listen,
        })?;
        // What was done before the first step counts with it.
        let mut before = activity::Activity::default();
        // Ends that the kit has seen and that were waited for in vain: of connections that were never looked at here.
        let mut unseen = 0;
        loop {
            let ControllerMessage::Step { now, bytes, ended } = self.hear()?;
            let read = activity::snapshot().read;
            steps.advance(now);
            settle(read.saturating_add(bytes), ended.saturating_sub(unseen)).await;
            let after = activity::snapshot();
            unseen = unseen.max(ended.saturating_sub(after.ended));
            let bytes_read = after.read - before.read;
            let bytes_written = after.written - before.written;
            before = after;
            let connections_ended = after.ended + unseen;
            self.say(&NodeMessage::Idle {
                next: steps.next_due(),
                read: bytes_read,
                written: bytes_written,
                ended: connections_ended,
            })?;
        }
    }
}

/// Runs until no task is ready, no socket has news, no connection is being made, and this thread has read so many bytes
/// and seen so many connections end since it began, if it ever does. To be called on the thread's runtime, from a task
/// that [`activity`] does not count.
pub async fn settle(read: u64, ended: u64) {
    let mut looks = 0;
    loop {
        let mut quiet = 0;
        while quiet < QUIET_TURNS {
            let before = activity::snapshot().polls;
            yield_now().await;
            quiet = if activity::snapshot().polls == before {
                quiet + 1
            } else {
                0
            };
        }
        let so_far = activity::snapshot();
        if looks >= LOOKS
            || (so_far.read >= read && so_far.ended >= ended && so_far.connecting == 0)
        {
            return;
        }
        looks += 1;
        std::thread::sleep(REST);
    }
}

#[cfg(test)]
mod tests;

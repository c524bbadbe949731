//! The messages on a control connection: one line each, in ASCII, ended by a line feed. Times are Unix times in
//! nanoseconds.
//!
//! ```text
//! node:       hello 2 n0 127.0.0.1:40123          its name and where it listens for clients; once, first
//! controller: step 1700000000000000000 312 4      run at this time, with so many bytes newly written to its sockets,
//!                                                 and so many connections ended since its start
//! node:       idle 1700000000010000000 312 87 4   when its next timer is due, or "-"; bytes read and written in this
//!                                                 step, and connections ended since its start, by its own count
//! ```

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use badgerpost_balancer::Nanos;

/// The protocol's version; a peer of another one is rejected.
pub const PROTOCOL_VERSION: u32 = 2;
/// The most bytes of a line, its end included.
pub const MAX_LINE_LENGTH: usize = 512;

/// A message of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerMessage {
    /// Run at this time until nothing is ready.
    Step {
        /// The time.
        now: Nanos,
        /// Bytes newly written to the node's sockets.
        bytes_sent: u64,
        /// Connections with the controller that have ended since the node's start, from whichever side.
        connections_ended: u64,
    },
}

/// A message of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeMessage {
    /// The first line.
    Hello {
        /// The node's name.
        name: String,
        /// Where it listens for clients.
        listen: SocketAddr,
    },
    /// A step is done: nothing is ready any more.
    Idle {
        /// When the node's next timer is due.
        next_timer_at: Option<Nanos>,
        /// Bytes that it has read from its sockets in this step.
        bytes_read: u64,
        /// Bytes that it has written to them.
        bytes_written: u64,
        /// Connections with the controller that have ended since its start, from whichever side.
        connections_ended: u64,
    },
}

/// A line that is not a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a line of the control protocol, version {PROTOCOL_VERSION}: {0:?}")]
pub struct MalformedLine(pub String);

impl fmt::Display for ControllerMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Step {
            now,
            bytes_sent,
            connections_ended,
        } = self;
        writeln!(f, "step {now} {bytes_sent} {connections_ended}")
    }
}

impl fmt::Display for NodeMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hello { name, listen } => writeln!(f, "hello {PROTOCOL_VERSION} {name} {listen}"),
            Self::Idle {
                next_timer_at: Some(next),
                bytes_read,
                bytes_written,
                connections_ended,
            } => writeln!(
                f,
                "idle {next} {bytes_read} {bytes_written} {connections_ended}"
            ),
            Self::Idle {
                next_timer_at: None,
                bytes_read,
                bytes_written,
                connections_ended,
            } => writeln!(f, "idle - {bytes_read} {bytes_written} {connections_ended}"),
        }
    }
}

/// The fields of a line, which must have exactly so many.
fn split_fields<const N: usize>(line: &str) -> Option<[&str; N]> {
    let mut remaining = line.trim_end().split(' ');
    let mut fields = [""; N];
    for field in &mut fields {
        *field = remaining.next()?;
    }
    remaining.next().is_none().then_some(fields)
}

impl FromStr for ControllerMessage {
    type Err = MalformedLine;

    fn from_str(line: &str) -> Result<Self, MalformedLine> {
        let parse = || {
            let ["step", now, bytes_sent, connections_ended] = split_fields(line)? else {
                return None;
            };
            Some(Self::Step {
                now: now.parse().ok()?,
                bytes_sent: bytes_sent.parse().ok()?,
                connections_ended: connections_ended.parse().ok()?,
            })
        };
        parse().ok_or_else(|| MalformedLine(line.to_owned()))
    }
}

impl FromStr for NodeMessage {
    type Err = MalformedLine;

    fn from_str(line: &str) -> Result<Self, MalformedLine> {
        let parse = || match line.split(' ').next()? {
            "hello" => match split_fields(line)? {
                [_, version, name, listen] if version.parse() == Ok(PROTOCOL_VERSION) => {
                    Some(Self::Hello {
                        name: name.to_owned(),
                        listen: listen.parse().ok()?,
                    })
                }
                _ => None,
            },
            "idle" => {
                let [_, next, bytes_read, bytes_written, connections_ended] = split_fields(line)?;
                Some(Self::Idle {
                    next_timer_at: if next == "-" {
                        None
                    } else {
                        Some(next.parse().ok()?)
                    },
                    bytes_read: bytes_read.parse().ok()?,
                    bytes_written: bytes_written.parse().ok()?,
                    connections_ended: connections_ended.parse().ok()?,
                })
            }
            _ => None,
        };
        parse().ok_or_else(|| MalformedLine(line.to_owned()))
    }
}

#[cfg(test)]
mod tests;

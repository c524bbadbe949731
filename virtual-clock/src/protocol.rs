//! The messages on a control connection. Each message is one line of ASCII text that ends with a line feed. Times are
//! Unix times in nanoseconds.
//!
//! ```text
//! node:       hello 2 n0 127.0.0.1:40123          protocol version, node name, address for clients; the first message
//! controller: step 1700000000000000000 312 4      current time, bytes written to the node's sockets since the previous
//!                                                 step, connections ended since the node's start
//! node:       idle 1700000000010000000 312 87 4   time of the next timer or "-", bytes read and written in this step,
//!                                                 connections ended since the node's start as counted by the node
//! ```

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use badgerpost_balancer::Nanos;

/// The version of the control protocol. A hello message with another version is invalid.
pub const PROTOCOL_VERSION: u32 = 2;
/// Maximum length of a line in bytes, including the line feed.
pub const MAX_LINE_LENGTH: usize = 512;

/// A message from the controller to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerMessage {
    /// Advances the clock and runs the node until no task is ready.
    Step {
        /// The clock's new time.
        now: Nanos,
        /// Bytes written to the node's sockets since the previous step.
        bytes_sent: u64,
        /// Connections between node and controller that either side has closed since the node's start.
        connections_ended: u64,
    },
}

/// A message from the node to the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeMessage {
    /// The first message of a connection.
    Hello {
        /// The node's name, without spaces.
        name: String,
        /// The address at which the node listens for clients.
        listen: SocketAddr,
    },
    /// Reports that a step has ended: no task is ready.
    Idle {
        /// The time of the node's next timer. `None` without a pending timer.
        next_timer_at: Option<Nanos>,
        /// Bytes that the node has read from its sockets in this step.
        bytes_read: u64,
        /// Bytes that the node has written to its sockets in this step.
        bytes_written: u64,
        /// Connections between node and controller that either side has closed since the node's start.
        connections_ended: u64,
    },
}

/// A line that is not a valid message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid message for version {PROTOCOL_VERSION} of the control protocol: {0:?}")]
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

/// Splits a line into its fields. `None` unless the line has exactly `N` fields.
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

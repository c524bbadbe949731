//! The words on a control connection: one line each, in ASCII, ended by a line feed. Times are Unix times in
//! nanoseconds.
//!
//! ```text
//! node: hello 2 n0 127.0.0.1:40123       its name and where it listens for clients; once, first
//! kit:  step 1700000000000000000 312 4   run at this time, with so many bytes newly written to its sockets, and so
//!                                        many connections ended since its start
//! node: idle 1700000000010000000 312 87 4    next wait's end or "-"; bytes read and written in this step, and
//!                                        connections that have ended since its start, by its own count
//! ```

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use badgerpost_balancer::Nanos;

/// The protocol's version; a peer of another one is turned down.
pub const PROTOCOL_VERSION: u32 = 2;
/// No line is longer.
pub const MAX_LINE_LENGTH: usize = 512;

/// What a kit says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControllerMessage {
    /// Run at this time until nothing is ready.
    Step {
        /// The time.
        now: Nanos,
        /// Bytes newly written to the node's sockets.
        bytes: u64,
        /// Connections with the kit that have ended since the node's start, from whichever side.
        ended: u64,
    },
}

/// What a node says.
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
        /// When the node next waits for the time.
        next: Option<Nanos>,
        /// Bytes that it has read from its sockets in this step.
        read: u64,
        /// Bytes that it has written to them.
        written: u64,
        /// Connections with the kit that have ended since its start, from whichever side.
        ended: u64,
    },
}

/// A line that is none of these.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a line of the control protocol, version {PROTOCOL_VERSION}: {0:?}")]
pub struct MalformedLine(pub String);

impl fmt::Display for ControllerMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self::Step { now, bytes, ended } = self;
        writeln!(f, "step {now} {bytes} {ended}")
    }
}

impl fmt::Display for NodeMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hello { name, listen } => writeln!(f, "hello {PROTOCOL_VERSION} {name} {listen}"),
            Self::Idle {
                next: Some(next),
                read,
                written,
                ended,
            } => {
                writeln!(f, "idle {next} {read} {written} {ended}")
            }
            Self::Idle {
                next: None,
                read,
                written,
                ended,
            } => writeln!(f, "idle - {read} {written} {ended}"),
        }
    }
}

fn words<const N: usize>(line: &str) -> Option<[&str; N]> {
    let mut words = line.trim_end().split(' ');
    let mut found = [""; N];
    for word in &mut found {
        *word = words.next()?;
    }
    words.next().is_none().then_some(found)
}

impl FromStr for ControllerMessage {
    type Err = MalformedLine;

    fn from_str(line: &str) -> Result<Self, MalformedLine> {
        let step = || {
            let ["step", now, bytes, ended] = words(line)? else {
                return None;
            };
            Some(Self::Step {
                now: now.parse().ok()?,
                bytes: bytes.parse().ok()?,
                ended: ended.parse().ok()?,
            })
        };
        step().ok_or_else(|| MalformedLine(line.to_owned()))
    }
}

impl FromStr for NodeMessage {
    type Err = MalformedLine;

    fn from_str(line: &str) -> Result<Self, MalformedLine> {
        let read = || match line.split(' ').next()? {
            "hello" => match words(line)? {
                [_, version, name, listen] if version.parse() == Ok(PROTOCOL_VERSION) => {
                    Some(Self::Hello {
                        name: name.to_owned(),
                        listen: listen.parse().ok()?,
                    })
                }
                _ => None,
            },
            "idle" => {
                let [_, next, read, written, ended] = words(line)?;
                Some(Self::Idle {
                    next: if next == "-" {
                        None
                    } else {
                        Some(next.parse().ok()?)
                    },
                    read: read.parse().ok()?,
                    written: written.parse().ok()?,
                    ended: ended.parse().ok()?,
                })
            }
            _ => None,
        };
        read().ok_or_else(|| MalformedLine(line.to_owned()))
    }
}

#[cfg(test)]
mod tests;

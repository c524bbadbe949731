//! How a running process shares its listening socket with the next version that is started beside it. Two state
//! machines without I/O: [`Successor`] asks, [`Predecessor`] gives. Whatever is lost, garbled, late or out of order, the
//! successor comes to listen in exactly one way, and the predecessor leaves new connections to it only while it lives.
//!
//! On the wire each message is one line of JSON. The listening socket goes along with [`Message::Listener`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of what is said here. A peer of another one is turned down, and the two listen side by side.
pub const PROTOCOL_VERSION: u32 = 1;
/// No line is longer.
pub const MAX_LINE_LENGTH: usize = 512;

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Message {
    /// The successor asks for the socket at this address.
    Hello {
        /// Its version.
        version: u32,
        /// Where it is to listen.
        listen: SocketAddr,
    },
    /// Here it is.
    Listener,
    /// There is none to be had.
    Refused {
        /// Why.
        reason: String,
    },
    /// The successor takes connections there now.
    Serving,
}

/// A line that says nothing known.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Too long to be one.
    #[error("a line of more than {MAX_LINE_LENGTH} bytes")]
    Long,
    /// Not in the form.
    #[error("no message: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// Reads a line, without its end.
    pub fn read(line: &[u8]) -> Result<Self, MessageError> {
        if line.len() > MAX_LINE_LENGTH {
            return Err(MessageError::Long);
        }
        Ok(serde_json::from_slice(line)?)
    }

    /// The line, with its end.
    pub fn line(&self) -> Vec<u8> {
        // A message has no maps with odd keys, which is all that could fail.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

/// What happens on the connection between the two, as either side hears it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is up.
    Connected,
    /// The peer said this; whether a listening socket at the right address came along.
    Received(Message, bool),
    /// The peer said something that can't be read.
    InvalidMessage,
    /// The time for the exchange is over.
    TimedOut,
    /// The connection has ended, or never came up.
    Closed,
    /// This process takes connections at its listener now.
    Listening,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this.
    Send(Message),
    /// Say this, and let the listening socket go along.
    SendListener(Message),
    /// Listen at the socket that came.
    UseReceivedListener,
    /// Listen at a socket of one's own beside the other's.
    ListenSeparately,
    /// The peer takes connections at the same socket from now on, or does so no longer.
    SetShared(bool),
    /// The two are one node, and each has its half of the limits; or the other one is gone.
    SetLimitsHalved(bool),
    /// End the connection.
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asking {
    Connecting,
    Asked,
    /// The listener is settled; with it the connection to the predecessor, which tells when that is gone.
    Given,
    Serving,
    Alone,
}

/// The process that has just been started.
#[derive(Clone, Debug)]
pub struct Successor {
    at: Asking,
    listen: SocketAddr,
}

impl Successor {
    /// One that is to listen there.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            at: Asking::Connecting,
            listen,
        }
    }

    /// Takes in what happens.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.at, event) {
            (Asking::Connecting, Event::Connected) => {
                self.at = Asking::Asked;
                // From here on there are two.
                actions.push(Action::SetLimitsHalved(true));
                actions.push(Action::Send(Message::Hello {
                    version: PROTOCOL_VERSION,
                    listen: self.listen,
                }));
            }
            (Asking::Asked, Event::Received(Message::Listener, true)) => {
                self.at = Asking::Given;
                actions.push(Action::UseReceivedListener);
            }
            (Asking::Given, Event::Listening) => {
                self.at = Asking::Serving;
                actions.push(Action::Send(Message::Serving));
            }
            // The predecessor has ended, which is what it was to do.
            (Asking::Given | Asking::Serving, Event::Closed) => {
                self.at = Asking::Alone;
                actions.push(Action::SetLimitsHalved(false));
            }
            (Asking::Given | Asking::Serving | Asking::Alone, _)
            | (Asking::Connecting, Event::Listening) => {}
            (Asking::Asked, Event::Connected | Event::Listening) => {}
            (Asking::Connecting, _) => self.go_alone(false, actions),
            (Asking::Asked, _) => self.go_alone(true, actions),
        }
    }

    fn go_alone(&mut self, connected: bool, actions: &mut Vec<Action>) {
        self.at = Asking::Alone;
        if connected {
            // Nobody tells any more when the other one is gone, and half the limits for ever would be a loss.
            actions.push(Action::SetLimitsHalved(false));
        }
        actions.extend([Action::Close, Action::ListenSeparately]);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Giving {
    Waiting,
    Given,
    Shared,
    Over,
}

/// The process that runs, towards one successor.
#[derive(Clone, Debug)]
pub struct Predecessor {
    at: Giving,
    listen: SocketAddr,
}

impl Predecessor {
    /// One that listens there.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            at: Giving::Waiting,
            listen,
        }
    }

    /// Takes in what happens.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.at, event) {
            (Giving::Waiting, Event::Received(Message::Hello { version, listen }, _)) => {
                let reason = if version != PROTOCOL_VERSION {
                    format!("version {version} is not {PROTOCOL_VERSION}")
                } else if listen != self.listen {
                    format!("this one listens at {}", self.listen)
                } else {
                    self.at = Giving::Given;
                    actions.extend([
                        Action::SendListener(Message::Listener),
                        Action::SetLimitsHalved(true),
                    ]);
                    return;
                };
                self.at = Giving::Over;
                actions.extend([Action::Send(Message::Refused { reason }), Action::Close]);
            }
            (Giving::Given, Event::Received(Message::Serving, _)) => {
                self.at = Giving::Shared;
                actions.push(Action::SetShared(true));
            }
            (Giving::Over, _) | (_, Event::Connected | Event::Listening) => {}
            // It has until its own start is over to say that it serves; from then on only its end counts.
            (Giving::Given | Giving::Shared, Event::TimedOut) => {}
            (before, _) => {
                self.at = Giving::Over;
                if before == Giving::Shared {
                    actions.push(Action::SetShared(false));
                }
                if before != Giving::Waiting {
                    actions.push(Action::SetLimitsHalved(false));
                }
                actions.push(Action::Close);
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! The side of the running process, which passes its socket on to one successor.

use std::net::SocketAddr;

use crate::api::{Action, Event};
use crate::message::{Message, PROTOCOL_VERSION};

/// States of the predecessor.
///
/// ```text
///     AwaitingRequest --Received hello--> ListenerSent --Received serving--> Shared
///            |                                 |                               |
///            | refusal, any failure            | any failure                   | Closed, any message
///            v                                 v                               v
///         Finished                          Finished                        Finished
/// ```
///
/// [`Event::TimedOut`] is a failure in `AwaitingRequest` only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The successor has connected and not yet sent its request.
    AwaitingRequest,
    /// The socket was sent.
    ListenerSent,
    /// Both processes accept connections on the socket.
    Shared,
    /// The successor was refused or has ended.
    Finished,
}

/// Why a request is refused; its text is sent to the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RefusalReason {
    /// The successor speaks another version of the protocol.
    #[error("version {0} is not {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// The successor is to listen at another address than this process.
    #[error("this one listens at {0}")]
    OtherAddress(SocketAddr),
}

/// State machine of the running process towards one successor.
#[derive(Clone, Debug)]
pub struct Predecessor {
    state: State,
    listen: SocketAddr,
}

impl Predecessor {
    /// A predecessor that listens at this address.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            state: State::AwaitingRequest,
            listen,
        }
    }

    /// Applies one event and appends the resulting actions.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.state, event) {
            (
                State::AwaitingRequest,
                Event::Received {
                    message: Message::Hello { version, listen },
                    ..
                },
            ) => match self.check_request(version, listen) {
                Ok(()) => self.send_listener(actions),
                Err(reason) => self.refuse(reason, actions),
            },
            (
                State::ListenerSent,
                Event::Received {
                    message: Message::Serving,
                    ..
                },
            ) => self.share_listener(actions),
            (State::Finished, _) | (_, Event::Connected | Event::Listening) => {}
            // The successor may take until the end of its own start to serve; from then on only its end counts.
            (State::ListenerSent | State::Shared, Event::TimedOut) => {}
            (State::AwaitingRequest | State::ListenerSent | State::Shared, _) => {
                self.successor_ended(actions);
            }
        }
    }

    /// Checks that the successor can use this process's socket.
    fn check_request(&self, version: u32, listen: SocketAddr) -> Result<(), RefusalReason> {
        if version != PROTOCOL_VERSION {
            return Err(RefusalReason::UnsupportedVersion(version));
        }
        if listen != self.listen {
            return Err(RefusalReason::OtherAddress(self.listen));
        }
        Ok(())
    }

    /// `AwaitingRequest` to `ListenerSent`: from here on the two processes share the node's limits.
    fn send_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::ListenerSent;
        actions.push(Action::SendListener(Message::Listener));
        actions.push(Action::SetLimitsHalved(true));
    }

    /// `AwaitingRequest` to `Finished`.
    fn refuse(&mut self, reason: RefusalReason, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::Send(Message::Refused {
            reason: reason.to_string(),
        }));
        actions.push(Action::Close);
    }

    /// `ListenerSent` to `Shared`: the successor accepts connections.
    fn share_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Shared;
        actions.push(Action::SetShared(true));
    }

    /// To `Finished`: takes back what the successor was given, as it has ended or broken the protocol.
    fn successor_ended(&mut self, actions: &mut Vec<Action>) {
        let state_before = std::mem::replace(&mut self.state, State::Finished);
        if state_before == State::Shared {
            actions.push(Action::SetShared(false));
        }
        if state_before != State::AwaitingRequest {
            actions.push(Action::SetLimitsHalved(false));
        }
        actions.push(Action::Close);
    }
}

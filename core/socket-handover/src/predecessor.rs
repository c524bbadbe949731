//! The running process's side of the handover to one successor.

use std::net::SocketAddr;

use crate::api::{Action, Event};
use crate::message::{Message, PROTOCOL_VERSION};

/// The states of the predecessor.
///
/// ```text
///     AwaitingRequest --Received hello--> ListenerSent --Received serving--> Shared
///            |                                 |                               |
///            | refusal, any failure            | any failure                   | Closed, any message
///            v                                 v                               v
///         Finished                          Finished                        Finished
/// ```
///
/// [`Event::TimedOut`] is a failure only in `AwaitingRequest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The successor has connected but has not sent the request yet.
    AwaitingRequest,
    /// The socket has been sent.
    ListenerSent,
    /// Both processes accept connections on the socket.
    Shared,
    /// The successor has been refused, has exited or has broken the protocol.
    Finished,
}

/// The reason why a request is refused. The text is sent to the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RefusalReason {
    /// The successor uses another version of the protocol.
    #[error("version {0} is not {PROTOCOL_VERSION}")]
    UnsupportedVersion(u32),
    /// The successor has to listen at another address than this process, whose address this is.
    #[error("this one listens at {0}")]
    OtherAddress(SocketAddr),
}

/// The state machine of the running process for one successor.
#[derive(Clone, Debug)]
pub struct Predecessor {
    state: State,
    listen: SocketAddr,
}

impl Predecessor {
    /// Creates a predecessor that listens at this address.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            state: State::AwaitingRequest,
            listen,
        }
    }

    /// Handles one event and appends the resulting actions.
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
            (
                State::ListenerSent | State::Shared,
                Event::Received {
                    message: Message::RequestIds { ids },
                    ..
                },
            ) => actions.push(Action::ImportRequestIds(ids)),
            (State::Finished, _) | (_, Event::Connected | Event::Listening) => {}
            // After the socket has been sent, the successor's startup may take longer than the time limit.
            (State::ListenerSent | State::Shared, Event::TimedOut) => {}
            (State::AwaitingRequest | State::ListenerSent | State::Shared, _) => {
                self.end_handover(actions);
            }
        }
    }

    /// Checks that the successor uses the same protocol version and has to listen at the same address.
    fn check_request(&self, version: u32, listen: SocketAddr) -> Result<(), RefusalReason> {
        if version != PROTOCOL_VERSION {
            return Err(RefusalReason::UnsupportedVersion(version));
        }
        if listen != self.listen {
            return Err(RefusalReason::OtherAddress(self.listen));
        }
        Ok(())
    }

    /// `AwaitingRequest` to `ListenerSent`: sends the socket. From now on the two processes share the node's limits.
    fn send_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::ListenerSent;
        actions.push(Action::SendListener(Message::Listener));
        actions.push(Action::SetLimitsHalved(true));
    }

    /// `AwaitingRequest` to `Finished`: refuses the request with a reason.
    fn refuse(&mut self, reason: RefusalReason, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::Send(Message::Refused {
            reason: reason.to_string(),
        }));
        actions.push(Action::Close);
    }

    /// `ListenerSent` to `Shared`: the successor has started to accept connections.
    fn share_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Shared;
        actions.push(Action::SetShared(true));
    }

    /// Any other state to `Finished`: the successor has exited or broken the protocol, and neither the listener nor the
    /// limits are shared any longer.
    fn end_handover(&mut self, actions: &mut Vec<Action>) {
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

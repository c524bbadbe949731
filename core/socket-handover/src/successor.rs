//! The newer process's side of the handover.

use std::net::SocketAddr;

use crate::api::{Action, Event};
use crate::message::{Message, PROTOCOL_VERSION};

/// The states of the successor.
///
/// ```text
///     Connecting --Connected--> AwaitingListener --Received listener--> ListenerReceived --Listening--> Serving
///         |                           |                                        |                          |
///         | any failure               | refusal, any failure                   | Closed                   | Closed
///         v                           v                                        v                          v
///      Finished                    Finished                                 Finished                  Finished
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The connection to the predecessor is being established.
    Connecting,
    /// The request for the socket has been sent.
    AwaitingListener,
    /// The socket has been received. The connection stays open to detect the exit of the predecessor.
    ListenerReceived,
    /// The predecessor has been told that this process accepts connections.
    Serving,
    /// The handover has failed, or the predecessor has exited.
    Finished,
}

/// The state machine of the newer process.
#[derive(Clone, Debug)]
pub struct Successor {
    state: State,
    listen: SocketAddr,
}

impl Successor {
    /// Creates a successor that has to listen at this address.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            state: State::Connecting,
            listen,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.state, event) {
            (State::Connecting, Event::Connected) => self.request_listener(actions),
            (
                State::AwaitingListener,
                Event::Received {
                    message: Message::Listener,
                    has_listener: true,
                },
            ) => self.accept_listener(actions),
            (
                State::ListenerReceived | State::Serving,
                Event::Received {
                    message: Message::RequestIds { ids },
                    ..
                },
            ) => actions.push(Action::ImportRequestIds(ids)),
            (State::ListenerReceived, Event::Listening) => self.announce_serving(actions),
            (State::ListenerReceived | State::Serving, Event::Closed) => {
                self.restore_limits(actions);
            }
            // Neither event is a failure of the handover.
            (State::Connecting | State::AwaitingListener, Event::Connected | Event::Listening) => {}
            (State::Connecting, _) => self.listen_separately(actions),
            (State::AwaitingListener, _) => self.abandon_request(actions),
            (State::ListenerReceived | State::Serving | State::Finished, _) => {}
        }
    }

    /// `Connecting` to `AwaitingListener`: requests the socket. From now on the two processes share the node's limits.
    fn request_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::AwaitingListener;
        actions.push(Action::SetLimitsHalved(true));
        actions.push(Action::Send(Message::Hello {
            version: PROTOCOL_VERSION,
            listen: self.listen,
        }));
    }

    /// `AwaitingListener` to `ListenerReceived`: uses the received socket.
    fn accept_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::ListenerReceived;
        actions.push(Action::UseReceivedListener);
    }

    /// `ListenerReceived` to `Serving`: tells the predecessor that this process accepts connections.
    fn announce_serving(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Serving;
        actions.push(Action::Send(Message::Serving));
    }

    /// `ListenerReceived` or `Serving` to `Finished`: the predecessor has exited, which frees its half of the limits.
    fn restore_limits(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::SetLimitsHalved(false));
    }

    /// `AwaitingListener` to `Finished`: the limits are restored now, because without the connection the exit of the
    /// predecessor can't be detected and the limits would stay halved.
    fn abandon_request(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetLimitsHalved(false));
        self.listen_separately(actions);
    }

    /// `Connecting` or `AwaitingListener` to `Finished`: listens without a socket from the predecessor.
    fn listen_separately(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::Close);
        actions.push(Action::ListenSeparately);
    }
}

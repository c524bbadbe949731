//! The side of the process that was started last and requests the socket.

use std::net::SocketAddr;

use crate::api::{Action, Event};
use crate::message::{Message, PROTOCOL_VERSION};

/// States of the successor.
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
    /// The request was sent.
    AwaitingListener,
    /// The socket has arrived. The connection stays open, so that its end shows the end of the predecessor.
    ListenerReceived,
    /// The predecessor knows that this process accepts connections.
    Serving,
    /// There is no predecessor, or none any longer.
    Finished,
}

/// State machine of the process that was started last.
#[derive(Clone, Debug)]
pub struct Successor {
    state: State,
    listen: SocketAddr,
}

impl Successor {
    /// A successor that is to listen at this address.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            state: State::Connecting,
            listen,
        }
    }

    /// Applies one event and appends the resulting actions.
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
            (State::ListenerReceived, Event::Listening) => self.announce_serving(actions),
            (State::ListenerReceived | State::Serving, Event::Closed) => {
                self.predecessor_ended(actions);
            }
            // Neither event means a failure of the exchange.
            (State::Connecting | State::AwaitingListener, Event::Connected | Event::Listening) => {}
            (State::Connecting, _) => self.listen_separately(actions),
            (State::AwaitingListener, _) => self.abandon_request(actions),
            (State::ListenerReceived | State::Serving | State::Finished, _) => {}
        }
    }

    /// `Connecting` to `AwaitingListener`: asks for the socket. From here on the two processes share the node's limits.
    fn request_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::AwaitingListener;
        actions.push(Action::SetLimitsHalved(true));
        actions.push(Action::Send(Message::Hello {
            version: PROTOCOL_VERSION,
            listen: self.listen,
        }));
    }

    /// `AwaitingListener` to `ListenerReceived`.
    fn accept_listener(&mut self, actions: &mut Vec<Action>) {
        self.state = State::ListenerReceived;
        actions.push(Action::UseReceivedListener);
    }

    /// `ListenerReceived` to `Serving`: tells the predecessor that this process accepts connections.
    fn announce_serving(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Serving;
        actions.push(Action::Send(Message::Serving));
    }

    /// `ListenerReceived` or `Serving` to `Finished`: the predecessor has exited, as intended.
    fn predecessor_ended(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::SetLimitsHalved(false));
    }

    /// `AwaitingListener` to `Finished`: without the connection the end of the other process would go unnoticed, so the
    /// limits are restored now instead of staying halved for good.
    fn abandon_request(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetLimitsHalved(false));
        self.listen_separately(actions);
    }

    /// To `Finished`, without a socket from the predecessor.
    fn listen_separately(&mut self, actions: &mut Vec<Action>) {
        self.state = State::Finished;
        actions.push(Action::Close);
        actions.push(Action::ListenSeparately);
    }
}

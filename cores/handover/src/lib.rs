#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! How a running process shares its listening socket with the next version that is started beside it. Two state
//! machines without I/O: [`Successor`] asks, [`Predecessor`] gives. Whatever is lost, garbled, late or out of order, the
//! successor comes to listen in exactly one way, and the predecessor leaves new connections to it only while it lives.
//!
//! On the wire each message is one line of JSON. The listening socket goes along with [`Message::Listener`].

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of what is said here. A peer of another one is turned down, and the two listen side by side.
pub const VERSION: u32 = 1;
/// No line is longer.
pub const LINE_MOST: usize = 512;

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
pub enum BadLine {
    /// Too long to be one.
    #[error("a line of more than {LINE_MOST} bytes")]
    Long,
    /// Not in the form.
    #[error("no message: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// Reads a line, without its end.
    pub fn read(line: &[u8]) -> Result<Self, BadLine> {
        if line.len() > LINE_MOST {
            return Err(BadLine::Long);
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
    Said(Message, bool),
    /// The peer said something that can't be read.
    Garbage,
    /// The time for the exchange is over.
    TimeOut,
    /// The connection has ended, or never came up.
    Closed,
    /// This process takes connections at its listener now.
    Listening,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Say this.
    Say(Message),
    /// Say this, and let the listening socket go along.
    Give(Message),
    /// Listen at the socket that came.
    UseGiven,
    /// Listen at a socket of one's own beside the other's.
    ListenAlone,
    /// The peer takes connections at the same socket from now on, or does so no longer.
    Shared(bool),
    /// The two are one node, and each has its half of the limits; or the other one is gone.
    Halved(bool),
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
        Self { at: Asking::Connecting, listen }
    }

    /// Takes in what happens.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.at, event) {
            (Asking::Connecting, Event::Connected) => {
                self.at = Asking::Asked;
                // From here on there are two.
                actions.push(Action::Halved(true));
                actions.push(Action::Say(Message::Hello { version: VERSION, listen: self.listen }));
            }
            (Asking::Asked, Event::Said(Message::Listener, true)) => {
                self.at = Asking::Given;
                actions.push(Action::UseGiven);
            }
            (Asking::Given, Event::Listening) => {
                self.at = Asking::Serving;
                actions.push(Action::Say(Message::Serving));
            }
            // The predecessor has ended, which is what it was to do.
            (Asking::Given | Asking::Serving, Event::Closed) => {
                self.at = Asking::Alone;
                actions.push(Action::Halved(false));
            }
            (Asking::Given | Asking::Serving | Asking::Alone, _) | (Asking::Connecting, Event::Listening) => {
            }
            (Asking::Asked, Event::Connected | Event::Listening) => {}
            (Asking::Connecting, _) => self.go_alone(false, actions),
            (Asking::Asked, _) => self.go_alone(true, actions),
        }
    }

    fn go_alone(&mut self, connected: bool, actions: &mut Vec<Action>) {
        self.at = Asking::Alone;
        if connected {
            // Nobody tells any more when the other one is gone, and half the limits for ever would be a loss.
            actions.push(Action::Halved(false));
        }
        actions.extend([Action::Close, Action::ListenAlone]);
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
        Self { at: Giving::Waiting, listen }
    }

    /// Takes in what happens.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        match (self.at, event) {
            (Giving::Waiting, Event::Said(Message::Hello { version, listen }, _)) => {
                let reason = if version != VERSION {
                    format!("version {version} is not {VERSION}")
                } else if listen != self.listen {
                    format!("this one listens at {}", self.listen)
                } else {
                    self.at = Giving::Given;
                    actions.extend([Action::Give(Message::Listener), Action::Halved(true)]);
                    return;
                };
                self.at = Giving::Over;
                actions.extend([Action::Say(Message::Refused { reason }), Action::Close]);
            }
            (Giving::Given, Event::Said(Message::Serving, _)) => {
                self.at = Giving::Shared;
                actions.push(Action::Shared(true));
            }
            (Giving::Over, _) | (_, Event::Connected | Event::Listening) => {}
            // It has until its own start is over to say that it serves; from then on only its end counts.
            (Giving::Given | Giving::Shared, Event::TimeOut) => {}
            (before, _) => {
                self.at = Giving::Over;
                if before == Giving::Shared {
                    actions.push(Action::Shared(false));
                }
                if before != Giving::Waiting {
                    actions.push(Action::Halved(false));
                }
                actions.push(Action::Close);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn hello(version: u32, port: u16) -> Message {
        Message::Hello { version, listen: at(port) }
    }

    fn successor(events: &[Event]) -> Vec<Action> {
        let (mut side, mut actions) = (Successor::new(at(1)), Vec::new());
        events.iter().for_each(|event| side.handle(event.clone(), &mut actions));
        actions
    }

    fn predecessor(events: &[Event]) -> Vec<Action> {
        let (mut side, mut actions) = (Predecessor::new(at(1)), Vec::new());
        events.iter().for_each(|event| side.handle(event.clone(), &mut actions));
        actions
    }

    #[test]
    fn the_socket_goes_over_and_the_old_one_hears_of_it() {
        use Action::{Give, Halved, Say, Shared, UseGiven};
        let given = Event::Said(Message::Listener, true);
        assert_eq!(
            successor(&[Event::Connected, given, Event::Listening, Event::Closed]),
            [Halved(true), Say(hello(1, 1)), UseGiven, Say(Message::Serving), Halved(false)]
        );
        let asked = Event::Said(hello(1, 1), false);
        assert_eq!(
            predecessor(&[asked, Event::TimeOut, Event::Said(Message::Serving, false), Event::Closed]),
            [
                Give(Message::Listener),
                Halved(true),
                Shared(true),
                Shared(false),
                Halved(false),
                Action::Close
            ]
        );
    }

    #[test]
    fn another_version_or_address_is_turned_down_with_a_reason() {
        for (asked, why) in
            [(hello(2, 1), "version 2 is not 1"), (hello(1, 9), "this one listens at 127.0.0.1:1")]
        {
            let refused = Message::Refused { reason: why.to_owned() };
            assert_eq!(
                predecessor(&[Event::Said(asked, false)]),
                [Action::Say(refused.clone()), Action::Close]
            );
            let heard = successor(&[Event::Connected, Event::Said(refused, false)]);
            assert_eq!(heard.last(), Some(&Action::ListenAlone));
        }
    }

    #[test]
    fn lines_are_read_back_and_nothing_else_is() {
        for message in
            [hello(1, 80), Message::Listener, Message::Serving, Message::Refused { reason: "no".into() }]
        {
            let line = message.line();
            assert_eq!(Message::read(&line[..line.len() - 1]).expect("a message"), message);
        }
        for bad in
            [&b""[..], b"{}", b"\"hello\"", b"{\"hello\":{\"version\":1}}", b"\xff", &[b'x'; LINE_MOST + 1]]
        {
            assert!(Message::read(bad).is_err());
        }
    }

    fn event() -> impl Strategy<Value = Event> {
        prop_oneof![
            Just(Event::Connected),
            Just(Event::Garbage),
            Just(Event::TimeOut),
            Just(Event::Closed),
            Just(Event::Listening),
            (0u32..3, 1u16..3).prop_map(|(version, port)| Event::Said(hello(version, port), false)),
            any::<bool>().prop_map(|with| Event::Said(Message::Listener, with)),
            Just(Event::Said(Message::Serving, false)),
            Just(Event::Said(Message::Refused { reason: String::new() }, false)),
        ]
    }

    proptest! {
        /// Whatever comes in whatever order, and ends at any step: the successor listens in one way and no more, and
        /// does once the time is over; neither side keeps half its limits when the connection has ended; the
        /// predecessor leaves connections to another only after that one has said that it serves.
        #[test]
        fn any_order_of_messages_and_deaths(events in prop::collection::vec(event(), 0..12)) {
            let ways = |actions: &[Action]| {
                actions.iter().filter(|a| matches!(a, Action::UseGiven | Action::ListenAlone)).count()
            };
            let halved = |actions: &[Action]| {
                actions.iter().rev().find_map(|action| match action {
                    Action::Halved(halved) => Some(*halved),
                    _ => None,
                })
            };
            prop_assert!(ways(&successor(&events)) <= 1);
            let ended = [&events[..], &[Event::TimeOut, Event::Closed]].concat();
            prop_assert_eq!(ways(&successor(&ended)), 1);
            prop_assert_ne!(halved(&successor(&ended)), Some(true));
            let given = predecessor(&events);
            let shared = given.iter().position(|action| *action == Action::Shared(true));
            if let Some(shared) = shared {
                prop_assert!(matches!(given[..shared].first(), Some(Action::Give(_))));
                prop_assert!(events.contains(&Event::Said(Message::Serving, false)));
            }
            let over = predecessor(&ended);
            let count = |wanted: &Action| over.iter().filter(|action| *action == wanted).count();
            prop_assert_eq!(count(&Action::Shared(true)), count(&Action::Shared(false)));
            prop_assert_ne!(halved(&over), Some(true));
        }

        #[test]
        fn any_bytes_are_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
            let _ = Message::read(&bytes);
        }
    }
}

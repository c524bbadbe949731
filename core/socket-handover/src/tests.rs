use proptest::prelude::*;

use super::*;

fn at(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn hello(version: u32, port: u16) -> Message {
    Message::Hello {
        version,
        listen: at(port),
    }
}

fn successor(events: &[Event]) -> Vec<Action> {
    let (mut side, mut actions) = (Successor::new(at(1)), Vec::new());
    events
        .iter()
        .for_each(|event| side.handle(event.clone(), &mut actions));
    actions
}

fn predecessor(events: &[Event]) -> Vec<Action> {
    let (mut side, mut actions) = (Predecessor::new(at(1)), Vec::new());
    events
        .iter()
        .for_each(|event| side.handle(event.clone(), &mut actions));
    actions
}

#[test]
fn the_socket_goes_over_and_the_old_one_hears_of_it() {
    use Action::{Send, SendListener, SetLimitsHalved, SetShared, UseReceivedListener};
    let given = Event::Received(Message::Listener, true);
    assert_eq!(
        successor(&[Event::Connected, given, Event::Listening, Event::Closed]),
        [
            SetLimitsHalved(true),
            Send(hello(1, 1)),
            UseReceivedListener,
            Send(Message::Serving),
            SetLimitsHalved(false)
        ]
    );
    let asked = Event::Received(hello(1, 1), false);
    assert_eq!(
        predecessor(&[
            asked,
            Event::TimedOut,
            Event::Received(Message::Serving, false),
            Event::Closed
        ]),
        [
            SendListener(Message::Listener),
            SetLimitsHalved(true),
            SetShared(true),
            SetShared(false),
            SetLimitsHalved(false),
            Action::Close
        ]
    );
}

#[test]
fn another_version_or_address_is_turned_down_with_a_reason() {
    for (asked, why) in [
        (hello(2, 1), "version 2 is not 1"),
        (hello(1, 9), "this one listens at 127.0.0.1:1"),
    ] {
        let refused = Message::Refused {
            reason: why.to_owned(),
        };
        assert_eq!(
            predecessor(&[Event::Received(asked, false)]),
            [Action::Send(refused.clone()), Action::Close]
        );
        let heard = successor(&[Event::Connected, Event::Received(refused, false)]);
        assert_eq!(heard.last(), Some(&Action::ListenSeparately));
    }
}

#[test]
fn lines_are_read_back_and_nothing_else_is() {
    for message in [
        hello(1, 80),
        Message::Listener,
        Message::Serving,
        Message::Refused {
            reason: "no".into(),
        },
    ] {
        let line = message.line();
        assert_eq!(
            Message::read(&line[..line.len() - 1]).expect("a message"),
            message
        );
    }
    for bad in [
        &b""[..],
        b"{}",
        b"\"hello\"",
        b"{\"hello\":{\"version\":1}}",
        b"\xff",
        &[b'x'; MAX_LINE_LENGTH + 1],
    ] {
        assert!(Message::read(bad).is_err());
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Connected),
        Just(Event::InvalidMessage),
        Just(Event::TimedOut),
        Just(Event::Closed),
        Just(Event::Listening),
        (0u32..3, 1u16..3).prop_map(|(version, port)| Event::Received(hello(version, port), false)),
        any::<bool>().prop_map(|with| Event::Received(Message::Listener, with)),
        Just(Event::Received(Message::Serving, false)),
        Just(Event::Received(
            Message::Refused {
                reason: String::new()
            },
            false
        )),
    ]
}

proptest! {
    /// Whatever comes in whatever order, and ends at any step: the successor listens in one way and no more, and
    /// does once the time is over; neither side keeps half its limits when the connection has ended; the
    /// predecessor leaves connections to another only after that one has said that it serves.
    #[test]
    fn any_order_of_messages_and_deaths(events in prop::collection::vec(event(), 0..12)) {
        let ways = |actions: &[Action]| {
            actions.iter().filter(|a| matches!(a, Action::UseReceivedListener | Action::ListenSeparately)).count()
        };
        let halved = |actions: &[Action]| {
            actions.iter().rev().find_map(|action| match action {
                Action::SetLimitsHalved(halved) => Some(*halved),
                _ => None,
            })
        };
        prop_assert!(ways(&successor(&events)) <= 1);
        let ended = [&events[..], &[Event::TimedOut, Event::Closed]].concat();
        prop_assert_eq!(ways(&successor(&ended)), 1);
        prop_assert_ne!(halved(&successor(&ended)), Some(true));
        let given = predecessor(&events);
        let shared = given.iter().position(|action| *action == Action::SetShared(true));
        if let Some(shared) = shared {
            prop_assert!(matches!(given[..shared].first(), Some(Action::SendListener(_))));
            prop_assert!(events.contains(&Event::Received(Message::Serving, false)));
        }
        let over = predecessor(&ended);
        let count = |wanted: &Action| over.iter().filter(|action| *action == wanted).count();
        prop_assert_eq!(count(&Action::SetShared(true)), count(&Action::SetShared(false)));
        prop_assert_ne!(halved(&over), Some(true));
    }

    #[test]
    fn any_bytes_are_a_message_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = Message::read(&bytes);
    }
}

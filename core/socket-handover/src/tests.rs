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
        [Give(Message::Listener), Halved(true), Shared(true), Shared(false), Halved(false), Action::Close]
    );
}

#[test]
fn another_version_or_address_is_turned_down_with_a_reason() {
    for (asked, why) in
        [(hello(2, 1), "version 2 is not 1"), (hello(1, 9), "this one listens at 127.0.0.1:1")]
    {
        let refused = Message::Refused { reason: why.to_owned() };
        assert_eq!(predecessor(&[Event::Said(asked, false)]), [Action::Say(refused.clone()), Action::Close]);
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

use std::net::SocketAddr;

use proptest::prelude::*;

use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn hello(version: u32, port: u16) -> Message {
    Message::Hello {
        version,
        listen: address(port),
    }
}

/// Returns the event of receiving a message without a socket attached.
fn received(message: Message) -> Event {
    Event::Received {
        message,
        has_listener: false,
    }
}

/// Returns the event of receiving the predecessor's grant, with or without a usable socket attached.
fn received_listener(has_listener: bool) -> Event {
    Event::Received {
        message: Message::Listener,
        has_listener,
    }
}

/// Returns all actions of a successor that handles these events.
fn successor_actions(events: &[Event]) -> Vec<Action> {
    let mut successor = Successor::new(address(1));
    let mut actions = Vec::new();
    for event in events {
        successor.handle(event.clone(), &mut actions);
    }
    actions
}

/// Returns all actions of a predecessor that handles these events.
fn predecessor_actions(events: &[Event]) -> Vec<Action> {
    let mut predecessor = Predecessor::new(address(1));
    let mut actions = Vec::new();
    for event in events {
        predecessor.handle(event.clone(), &mut actions);
    }
    actions
}

#[test]
fn the_listener_is_handed_over_and_the_predecessor_shares_it_until_the_successor_ends() {
    use Action::{Send, SendListener, SetLimitsHalved, SetShared, UseReceivedListener};
    let answer = received_listener(true);
    assert_eq!(
        successor_actions(&[Event::Connected, answer, Event::Listening, Event::Closed]),
        [
            SetLimitsHalved(true),
            Send(hello(1, 1)),
            UseReceivedListener,
            Send(Message::Serving),
            SetLimitsHalved(false)
        ]
    );
    let request = received(hello(1, 1));
    assert_eq!(
        predecessor_actions(&[
            request,
            Event::TimedOut,
            received(Message::Serving),
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
fn a_request_with_another_version_or_address_is_refused_with_a_reason() {
    for (request, reason) in [
        (hello(2, 1), "version 2 is not 1"),
        (hello(1, 9), "this one listens at 127.0.0.1:1"),
    ] {
        let refused = Message::Refused {
            reason: reason.to_owned(),
        };
        assert_eq!(
            predecessor_actions(&[received(request)]),
            [Action::Send(refused.clone()), Action::Close]
        );
        let actions = successor_actions(&[Event::Connected, received(refused)]);
        assert_eq!(actions.last(), Some(&Action::ListenSeparately));
    }
}

/// Guards against an incompatible change of the encoding: running processes of earlier versions use these bytes.
#[test]
fn messages_are_encoded_as_recorded() {
    for (message, line) in [
        (
            hello(1, 80),
            "{\"hello\":{\"version\":1,\"listen\":\"127.0.0.1:80\"}}\n",
        ),
        (Message::Listener, "\"listener\"\n"),
        (Message::Serving, "\"serving\"\n"),
        (
            Message::Refused {
                reason: "version 2 is not 1".into(),
            },
            "{\"refused\":{\"reason\":\"version 2 is not 1\"}}\n",
        ),
    ] {
        assert_eq!(message.to_line(), line.as_bytes());
        let parsed = Message::from_line(line.trim_end().as_bytes());
        assert_eq!(parsed.expect("the line is a message"), message);
    }
}

#[test]
fn encoded_messages_are_decoded_and_other_lines_are_errors() {
    for message in [
        hello(1, 80),
        Message::Listener,
        Message::Serving,
        Message::Refused {
            reason: "no".into(),
        },
    ] {
        let line = message.to_line();
        assert_eq!(
            Message::from_line(&line[..line.len() - 1]).expect("the line is a message"),
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
        assert!(Message::from_line(bad).is_err());
    }
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Connected),
        Just(Event::InvalidMessage),
        Just(Event::TimedOut),
        Just(Event::Closed),
        Just(Event::Listening),
        (0u32..3, 1u16..3).prop_map(|(version, port)| received(hello(version, port))),
        any::<bool>().prop_map(received_listener),
        Just(received(Message::Serving)),
        Just(received(Message::Refused {
            reason: String::new()
        })),
    ]
}

/// Returns the number of listeners that the actions make the successor use.
fn listener_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| {
            matches!(
                action,
                Action::UseReceivedListener | Action::ListenSeparately
            )
        })
        .count()
}

/// Returns whether the limits are halved after the actions; `None` if no action changes the limits.
fn limits_halved(actions: &[Action]) -> Option<bool> {
    actions.iter().rev().find_map(|action| match action {
        Action::SetLimitsHalved(is_halved) => Some(*is_halved),
        _ => None,
    })
}

/// Guards against a handover that ends when the other process sends the ids of its requests.
#[test]
fn ids_of_the_other_process_are_imported_and_the_listener_stays_shared() {
    let ids = received(Message::RequestIds { ids: vec![1, 2] });
    let imported = Action::ImportRequestIds(vec![1, 2]);
    let predecessor = predecessor_actions(&[
        Event::Connected,
        received(hello(PROTOCOL_VERSION, 1)),
        received(Message::Serving),
        ids.clone(),
    ]);
    assert_eq!(predecessor.last(), Some(&imported));
    let successor = successor_actions(&[
        Event::Connected,
        received_listener(true),
        Event::Listening,
        ids,
    ]);
    assert_eq!(successor.last(), Some(&imported));
}

#[test]
fn the_largest_message_with_ids_fits_into_a_line() {
    let message = Message::RequestIds {
        ids: vec![u64::MAX; MAX_IDS_PER_MESSAGE],
    };
    let line = message.to_line();
    assert_eq!(
        Message::from_line(&line[..line.len() - 1]).unwrap(),
        message
    );
}

proptest! {
    /// For events in any order, ending at any event: the successor uses at most one listener, and exactly one after the
    /// time limit has passed; neither side's limits stay halved after the connection has closed; the predecessor shares
    /// its listener only after sending the listener and receiving `Message::Serving`.
    #[test]
    fn any_order_of_events_ends_with_one_listener_and_restored_limits(events in prop::collection::vec(event(), 0..12)) {
        prop_assert!(listener_count(&successor_actions(&events)) <= 1);
        let events_until_end = [&events[..], &[Event::TimedOut, Event::Closed]].concat();
        prop_assert_eq!(listener_count(&successor_actions(&events_until_end)), 1);
        prop_assert_ne!(limits_halved(&successor_actions(&events_until_end)), Some(true));
        let actions = predecessor_actions(&events);
        let shared_index = actions.iter().position(|action| *action == Action::SetShared(true));
        if let Some(shared_index) = shared_index {
            prop_assert!(matches!(actions[..shared_index].first(), Some(Action::SendListener(_))));
            prop_assert!(events.contains(&received(Message::Serving)));
        }
        let actions_until_end = predecessor_actions(&events_until_end);
        let count = |wanted: &Action| actions_until_end.iter().filter(|action| *action == wanted).count();
        prop_assert_eq!(count(&Action::SetShared(true)), count(&Action::SetShared(false)));
        prop_assert_ne!(limits_halved(&actions_until_end), Some(true));
    }

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = Message::from_line(&bytes);
    }
}

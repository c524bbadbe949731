//! Tests of COPY FROM STDIN.

use bytes::Bytes;

use super::support::{SessionFixture, bind_execute, empty, parse, query, sync};
use crate::frame::{DecodeResult, Frame};
use crate::session::{Action, Event};

#[test]
fn copy_data_is_forwarded_only_during_a_copy() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    let mut actions = Vec::new();
    let row = || {
        Event::Client(DecodeResult::Chunk {
            tag: b'd',
            bytes: Bytes::from_static(b"d\0\0\0\x05x"),
            last: true,
        })
    };
    // Copy data without a server connection is ignored.
    fixture.session.handle(row(), &mut actions);
    assert!(actions.is_empty());
    fixture.client(&[query("copy t from stdin")]);
    fixture.attach();
    fixture.server_sends(Frame::new(b'G', &b"\0\0\0"[..]));
    fixture.session.handle(row(), &mut actions);
    assert!(matches!(actions.pop(), Some(Action::ToServer(bytes)) if bytes.len() == 6));
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "G 08006 ZI");
}

/// A part of a `CopyData` message.
fn chunk(bytes: &'static [u8], last: bool) -> Event {
    Event::Client(DecodeResult::Chunk {
        tag: b'd',
        bytes: Bytes::from_static(bytes),
        last,
    })
}

/// Returns what the session sends to the server for this event.
fn sent_to_server(fixture: &mut SessionFixture, event: Event) -> Vec<Bytes> {
    let mut actions = Vec::new();
    fixture.session.handle(event, &mut actions);
    let sent = actions.into_iter().filter_map(|action| match action {
        Action::ToServer(bytes) => Some(bytes),
        _ => None,
    });
    sent.collect()
}

const HEAD: &[u8] = b"d\0\0\0\x07x";
const REST: &[u8] = b"yz";

/// Creates a session whose copy has failed while a `CopyData` message is sent in part.
fn fixture_with_half_a_message(status: &'static [u8]) -> SessionFixture {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("copy t from stdin")]);
    fixture.attach();
    fixture.server_sends(Frame::new(b'G', &b"\0\0\0"[..]));
    assert_eq!(
        sent_to_server(&mut fixture, chunk(HEAD, false)),
        [Bytes::from_static(HEAD)]
    );
    fixture.server_sends(Frame::new(b'E', &b"C22P04\0\0"[..]));
    fixture.server_sends(Frame::new(b'Z', status));
    fixture
}

/// Guards against a pooled connection on which half of a message was sent: its server would take the next client's
/// messages for the rest.
#[test]
fn a_server_with_half_a_copy_message_is_discarded() {
    let mut fixture = fixture_with_half_a_message(b"I");
    assert_eq!((fixture.released, fixture.discarded), (0, 1));
    // The rest does not go to another connection.
    fixture.client(&[query("select 1")]);
    fixture.attach();
    let sent = sent_to_server(&mut fixture, chunk(REST, true));
    assert_eq!(sent, Vec::<Bytes>::new());
}

/// Guards against a server that waits for the rest of a message and takes the client's next messages for it.
#[test]
fn the_rest_of_a_copy_message_is_sent_although_the_copy_has_failed() {
    let mut fixture = fixture_with_half_a_message(b"E");
    assert_eq!((fixture.released, fixture.discarded), (0, 0));
    assert_eq!(
        sent_to_server(&mut fixture, chunk(REST, true)),
        [Bytes::from_static(REST)]
    );
    assert_eq!(
        sent_to_server(&mut fixture, chunk(HEAD, true)),
        Vec::<Bytes>::new(),
        "copy data outside a copy is ignored"
    );
}

/// Guards against sending the rest of a message to a server that has not received its beginning.
#[test]
fn the_rest_of_a_copy_message_does_not_follow_a_statement_to_another_server() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("select 1")]);
    fixture.attach();
    let sent = sent_to_server(&mut fixture, chunk(HEAD, false));
    assert_eq!(sent, [Bytes::from_static(HEAD)]);
    fixture.lose_server();
    fixture.attach();
    let sent = sent_to_server(&mut fixture, chunk(REST, true));
    assert_eq!(sent, Vec::<Bytes>::new());
}

/// Creates a session whose server has sent `CopyInResponse`.
fn fixture_in_copy() -> SessionFixture {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[parse("", "copy t from stdin"), bind_execute(""), sync()]);
    fixture.attach();
    for frame in [empty(b'1'), empty(b'2'), Frame::new(b'G', &b"\0\0\0"[..])] {
        fixture.server_sends(frame);
    }
    fixture
}

/// Drivers send a `Sync` before and after the copy data, and the server ignores the first one. If the server is lost in
/// between, the client receives the error at once and `ReadyForQuery` after the second `Sync`, as from a failed copy.
#[test]
fn a_copy_whose_server_is_lost_ends_with_the_sync_after_its_data() {
    let mut fixture = fixture_in_copy();
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "1 2 G 08006");
    fixture.client(&[vec![Frame::new(b'f', &b"gone\0"[..])], sync()]);
    assert_eq!((fixture.responses().as_str(), fixture.requested), ("ZI", 1));
}

/// The end of the copy data and the second `Sync` arrive between the loss and the failure of the replacement request.
#[test]
fn a_sync_after_copy_data_is_answered_once_the_replacement_request_fails() {
    let mut fixture = fixture_in_copy();
    fixture.lose_server();
    fixture.client(&[vec![empty(b'c')], sync()]);
    assert_eq!(fixture.responses(), "1 2 G");
    fixture.handle(Event::RequestFailed);
    assert_eq!(
        (fixture.responses().as_str(), fixture.ended),
        ("08006 ZI", false)
    );
}

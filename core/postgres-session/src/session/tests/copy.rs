//! COPY with data from the client.

use bytes::Bytes;

use super::support::{SessionFixture, bind_execute, empty, parse, query, sync};
use crate::frame::{DecodeResult, Frame};
use crate::session::{Action, Event};

#[test]
fn copied_data_is_forwarded_as_it_comes() {
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
    // Data that no server has asked for is ignored.
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

/// A session whose server waits for the data of a copy.
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

/// Drivers send a Sync before the data and one behind it; the server ignores the first. After a loss in between, the
/// client gets the error at once, and its second Sync is answered, as by a server whose copy has failed.
#[test]
fn a_copy_whose_server_is_lost_ends_with_the_sync_behind_its_data() {
    let mut fixture = fixture_in_copy();
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "1 2 G 08006");
    fixture.client(&[vec![Frame::new(b'f', &b"gone\0"[..])], sync()]);
    assert_eq!((fixture.responses().as_str(), fixture.requested), ("ZI", 1));
}

/// As above, with the end of the data and its Sync on their way before it is known what comes of the loss.
#[test]
fn a_sync_behind_copied_data_is_answered_with_the_error_that_comes_later() {
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

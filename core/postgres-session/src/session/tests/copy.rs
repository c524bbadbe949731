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

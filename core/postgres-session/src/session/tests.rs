//! A session between a client and servers that are written here: what is sent, answered, resent and told.

use bytes::BufMut;
use postgres_protocol::message::frontend;
use proptest::prelude::*;

use super::*;
use crate::frame::FrameDecoder;
use crate::sql_analysis::TransactionStep;
use crate::{prepared_statements, server_messages, sql_analysis};

/// What a driver's crate writes, as frames.
fn frames(write: impl Fn(&mut BytesMut)) -> Vec<Frame> {
    let (mut wire, mut cutter) = (BytesMut::new(), FrameDecoder::default());
    write(&mut wire);
    cutter.push(&wire);
    let mut frames = Vec::new();
    while let Some(DecodeResult::Frame(frame)) = cutter.next_from_client().expect("good frames") {
        frames.push(frame);
    }
    frames
}

fn query(sql: &str) -> Vec<Frame> {
    frames(|out| frontend::query(sql, out).unwrap())
}

fn parse(name: &str, sql: &str) -> Vec<Frame> {
    frames(|out| frontend::parse(name, sql, [], out).unwrap())
}

fn bind_execute(name: &str) -> Vec<Frame> {
    let value = |(): (), _: &mut BytesMut| Ok(postgres_protocol::IsNull::Yes);
    frames(|out| {
        frontend::bind("", name, [], Vec::<()>::new(), value, [], out)
            .unwrap_or_else(|_| panic!("a bind"));
        frontend::execute("", 0, out).unwrap();
    })
}

fn sync() -> Vec<Frame> {
    frames(frontend::sync)
}

/// A server's answers, as far as sessions look at them.
#[derive(Default)]
struct Database {
    status: TransactionStatus,
    statements: std::collections::BTreeMap<Bytes, Bytes>,
    /// The SQL of what ran, in order.
    ran: Vec<String>,
    skips: bool,
}

impl Database {
    fn run(&mut self, sql: &str, out: &mut Vec<Frame>, simple: bool) {
        for step in sql_analysis::read(sql).steps {
            let ends = matches!(step, TransactionStep::Commit | TransactionStep::Rollback);
            if sql.contains("fail") || (self.status == TransactionStatus::Failed && !ends) {
                out.push(server_messages::error_response(
                    ErrorReason::InFailedTransaction,
                    None,
                ));
                self.skips = !simple;
                if self.status != TransactionStatus::Idle {
                    self.status = TransactionStatus::Failed;
                }
                return;
            }
            self.status = match step {
                TransactionStep::Begin { .. } => TransactionStatus::InBlock,
                TransactionStep::Commit | TransactionStep::Rollback => TransactionStatus::Idle,
                TransactionStep::Other => self.status,
            };
        }
        self.ran.push(sql.to_owned());
        out.push(server_messages::command_complete("DONE"));
    }

    fn take(&mut self, bytes: &[u8]) -> Vec<Frame> {
        let (mut cutter, mut out) = (FrameDecoder::default(), Vec::new());
        cutter.push(bytes);
        let empty = |tag| Frame::new(tag, Bytes::new());
        while let Some(cut) = cutter.next_from_client().expect("good frames") {
            let DecodeResult::Frame(frame) = cut else {
                continue;
            };
            if self.skips && frame.tag != b'S' {
                continue;
            }
            match frame.tag {
                b'Q' => {
                    let sql = String::from_utf8_lossy(frame.first_string().expect("a string"))
                        .into_owned();
                    self.statements.remove(&b""[..]);
                    self.run(&sql, &mut out, true);
                    out.push(self.status.ready());
                }
                b'P' => {
                    let (name, text) = prepared_statements::read_parse(&frame).expect("a parse");
                    if !name.is_empty() && self.statements.contains_key(&name) {
                        out.push(server_messages::error_response(
                            ErrorReason::MayHaveRun,
                            Some("it is prepared already"),
                        ));
                        self.skips = true;
                        continue;
                    }
                    self.statements.insert(name, text);
                    out.push(empty(b'1'));
                }
                b'B' => {
                    let name = prepared_statements::read_bind(&frame).expect("a bind");
                    if self.statements.contains_key(&name) {
                        out.push(empty(b'2'));
                        self.statements.insert(
                            Bytes::from_static(b"\0bound"),
                            self.statements[&name].clone(),
                        );
                    } else {
                        out.push(server_messages::error_response(
                            ErrorReason::MayHaveRun,
                            Some("no such statement"),
                        ));
                        self.skips = true;
                    }
                }
                b'E' => {
                    let text = self.statements[&b"\0bound"[..]].clone();
                    let sql = String::from_utf8_lossy(prepared_statements::sql(&text)).into_owned();
                    self.run(&sql, &mut out, false);
                }
                b'D' => out.extend([Frame::new(b't', &b"\0\0"[..]), empty(b'n')]),
                b'C' => {
                    let (_, name) = prepared_statements::read_target(&frame).expect("a close");
                    self.statements.remove(&name);
                    out.push(empty(b'3'));
                }
                b'S' => {
                    self.skips = false;
                    out.push(self.status.ready());
                }
                b'H' => {}
                other => panic!("{:?}", char::from(other)),
            }
        }
        out
    }
}

/// A session, the server that it has, and all that its client was told.
#[derive(Default)]
struct Stage {
    session: Session,
    database: Option<Database>,
    told: Vec<u8>,
    asked: usize,
    done: usize,
    started: usize,
    released: usize,
    dropped: usize,
    not_again: usize,
    ended: bool,
    ran: Vec<String>,
    /// The server answers at once.
    answers: bool,
}

impl Stage {
    fn new() -> Self {
        Self {
            answers: true,
            ..Self::default()
        }
    }

    fn handle(&mut self, event: Event) {
        // What the server answers comes once all is done that was to be done.
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            self.one(event, &mut events);
        }
    }

    fn one(&mut self, event: Event, events: &mut VecDeque<Event>) {
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        for action in actions {
            match action {
                Action::RequestServer { .. } => self.asked += 1,
                Action::ToServer(bytes) => {
                    let database = self
                        .database
                        .as_mut()
                        .expect("nothing goes to a server that is not there");
                    let answers = database.take(&bytes);
                    if self.answers {
                        events.extend(
                            answers
                                .into_iter()
                                .map(|frame| Event::Server(DecodeResult::Frame(frame))),
                        );
                    }
                }
                Action::ToClient(bytes) => self.told.extend_from_slice(&bytes),
                Action::ResponseStarted => self.started += 1,
                Action::TransactionDone => self.done += 1,
                Action::NotRetryable => self.not_again += 1,
                Action::Release(_) => {
                    self.released += 1;
                    if let Some(database) = self.database.take() {
                        assert_eq!(
                            database.status,
                            TransactionStatus::Idle,
                            "a server goes back in a transaction"
                        );
                        self.ran.extend(database.ran);
                    }
                }
                Action::DiscardServer => {
                    self.dropped += 1;
                    self.ran.extend(
                        self.database
                            .take()
                            .into_iter()
                            .flat_map(|database| database.ran),
                    );
                }
                Action::End => self.ended = true,
            }
        }
    }

    fn client(&mut self, frames: &[Vec<Frame>]) {
        frames
            .iter()
            .flatten()
            .for_each(|frame| self.handle(Event::Client(DecodeResult::Frame(frame.clone()))));
    }

    fn attach(&mut self) {
        self.database = Some(Database::default());
        self.handle(Event::Attached(ServerState::default()));
    }

    fn lose(&mut self) {
        self.handle(Event::ServerLost);
    }

    /// The tags of all that the client was told, errors with their code and readiness with the status.
    fn heard(&mut self) -> String {
        let mut cutter = FrameDecoder::default();
        cutter.push(&std::mem::take(&mut self.told));
        let mut heard = Vec::new();
        while let Some(cut) = cutter.next_from_server().expect("good frames") {
            let DecodeResult::Frame(frame) = cut else {
                continue;
            };
            let code = || {
                let field = frame
                    .body
                    .split(|byte| *byte == 0)
                    .find(|field| field.first() == Some(&b'C'));
                String::from_utf8_lossy(&field.expect("a code")[1..]).into_owned()
            };
            heard.push(match frame.tag {
                b'E' => code(),
                b'Z' => format!("Z{}", char::from(frame.body[0])),
                tag => char::from(tag).to_string(),
            });
        }
        heard.join(" ")
    }
}

#[test]
fn a_statement_takes_a_server_and_gives_it_back() {
    let mut stage = Stage::new();
    stage.client(&[query("select 1")]);
    assert_eq!((stage.asked, stage.heard().as_str()), (1, ""));
    stage.attach();
    assert_eq!(stage.heard(), "C ZI");
    assert_eq!(
        (stage.started, stage.done, stage.released, stage.dropped),
        (1, 1, 1, 0)
    );
}

#[test]
fn a_transaction_keeps_its_server_to_its_end() {
    let mut stage = Stage::new();
    // A BEGIN is answered here and goes out with the statement behind it.
    stage.client(&[query("begin")]);
    assert_eq!((stage.heard().as_str(), stage.asked), ("C ZT", 0));
    stage.client(&[query("insert")]);
    stage.attach();
    stage.client(&[query("fail"), query("insert")]);
    assert_eq!(
        (stage.heard().as_str(), stage.done),
        ("C ZT 25P02 ZE 25P02 ZE", 0)
    );
    stage.client(&[query("rollback")]);
    assert_eq!(
        (
            stage.heard().as_str(),
            stage.asked,
            stage.done,
            stage.released
        ),
        ("C ZI", 1, 1, 1)
    );
    assert_eq!(stage.ran, ["begin", "insert", "rollback"]);
    // With nothing behind it no server hears of it at all.
    for (end, tag) in [("commit", "COMMIT"), ("rollback", "ROLLBACK")] {
        stage.client(&[query("begin isolation level serializable"), query(end)]);
        assert!(String::from_utf8_lossy(&stage.told).contains(tag));
        assert_eq!((stage.heard().as_str(), stage.asked), ("C ZT C ZI", 1));
    }
}

/// A transaction that may change nothing is refused or repeated as one statement would be.
#[test]
fn the_first_statement_of_a_read_only_transaction_may_be_sent_again() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[query("begin read only"), query("select 1")]);
    stage.attach();
    stage.lose();
    stage.answers = true;
    stage.attach();
    assert_eq!((stage.heard().as_str(), stage.not_again), ("C ZT C ZT", 0));
    // Once it has been answered, not again.
    stage.answers = false;
    stage.client(&[query("select 2")]);
    stage.lose();
    stage.attach();
    assert_eq!(stage.not_again, 1);
    stage.handle(Event::RequestFailed);
    stage.client(&[query("rollback")]);
    assert_eq!(stage.heard(), "08006 ZE C ZI");
}

/// Drivers prepare once and use the name for ever, in transactions that run on other servers.
#[test]
fn prepared_statements_follow_their_client() {
    let mut stage = Stage::new();
    stage.client(&[parse("s0", "select 1"), sync()]);
    stage.attach();
    assert_eq!(stage.heard(), "1 ZI");
    for _ in 0..2 {
        stage.client(&[bind_execute("s0"), sync()]);
        stage.attach();
        assert_eq!(stage.heard(), "2 C ZI");
    }
    // The unnamed one too, described in one batch and used in the next.
    stage.client(&[parse("", "select 2"), sync()]);
    stage.attach();
    stage.client(&[bind_execute(""), sync()]);
    stage.attach();
    assert_eq!(stage.heard(), "1 ZI 2 C ZI");
    assert_eq!(stage.ran, ["select 1", "select 1", "select 2"]);
    // A name of somebody else's is none of this client's.
    stage.client(&[bind_execute("bp0"), sync()]);
    stage.attach();
    assert_eq!(stage.heard(), "08006 ZI");
    // The same text again is not prepared twice, and answered all the same.
    stage.client(&[
        query("begin"),
        parse("a", "select 3"),
        parse("b", "select 3"),
        bind_execute("b"),
        sync(),
    ]);
    stage.attach();
    stage.client(&[
        frames(|out| frontend::close(b'S', "a", out).unwrap()),
        bind_execute("b"),
        sync(),
    ]);
    assert_eq!(stage.heard(), "C ZT 1 1 2 C ZT 3 2 C ZT");
}

#[test]
fn what_leaves_a_trace_pins() {
    let mut stage = Stage::new();
    stage.client(&[query("set x = 1")]);
    stage.attach();
    assert_eq!(
        (stage.done, stage.released, stage.session.pin()),
        (1, 0, Some(StickyReason::Setting))
    );
    stage.client(&[query("select 1")]);
    assert_eq!((stage.asked, stage.heard().as_str()), (1, "C ZI C ZI"));
    stage.client(&[query("discard all")]);
    assert_eq!((stage.released, stage.session.pin()), (1, None));
    // A pinned session whose server is lost ends: it would not know what it has lost.
    stage.client(&[query("listen x")]);
    stage.attach();
    stage.heard();
    stage.lose();
    assert_eq!(
        (stage.heard().as_str(), stage.ended, stage.dropped),
        ("08006", true, 1)
    );
}

/// Refused before anything was sent: the code that says so, and whoever comes behind a refused BEGIN does not run
/// outside of the transaction that it was meant for.
#[test]
fn refusals_never_ran() {
    let mut stage = Stage::new();
    stage.client(&[query("insert")]);
    stage.handle(Event::Rejected { retry_after_ms: 5 });
    assert_eq!(stage.heard(), "53300 ZI");
    // Of a transaction the first statement is told, and the rest as in one that has failed; its COMMIT is none.
    stage.client(&[query("begin"), query("insert")]);
    stage.handle(Event::Rejected { retry_after_ms: 0 });
    stage.client(&[query("insert"), query("rollback")]);
    assert_eq!(
        (stage.heard().as_str(), stage.asked),
        ("C ZT 53300 ZE 25P02 ZE C ZI", 2)
    );
    stage.client(&[query("begin"), query("insert"), query("commit")]);
    stage.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(stage.heard(), "C ZT 53300 ZE 53300 ZI");
    // A batch that begins one together with more is refused whole.
    stage.client(&[query("begin; insert"), query("insert"), query("commit")]);
    stage.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(stage.heard(), "53300 ZI 53300 ZI 53300 ZI");
    assert!(stage.ran.is_empty());
}

/// Each place where a server can vanish, and what the client is told.
#[test]
fn a_lost_server_is_told_by_where_it_was_lost() {
    let in_flight = |before: &[&str], last: &str| {
        let mut stage = Stage::new();
        for sql in before {
            stage.client(&[query(sql)]);
            if matches!(stage.session.unit, Unit::Asked { .. }) {
                stage.attach();
            }
        }
        stage.heard();
        stage.answers = false;
        stage.client(&[query(last)]);
        if stage.database.is_none() {
            stage.attach();
        }
        stage.lose();
        stage.handle(Event::RequestFailed);
        stage.answers = true;
        stage
    };
    let mut alone = in_flight(&[], "insert");
    assert_eq!((alone.heard().as_str(), alone.dropped), ("08006 ZI", 1));
    let mut inside = in_flight(&["begin", "insert"], "insert");
    assert_eq!(inside.heard(), "08006 ZE");
    inside.client(&[query("select 1"), query("rollback")]);
    assert_eq!(
        (inside.heard().as_str(), inside.asked),
        ("25P02 ZE C ZI", 1)
    );
    let mut commit = in_flight(&["begin", "insert"], "commit");
    assert_eq!(commit.heard(), "08007 ZI");
    let mut all = in_flight(&[], "begin; insert; commit");
    assert_eq!(all.heard(), "08007 ZI");
}

#[test]
fn a_server_lost_between_statements_fails_the_transaction() {
    let between = |next: &[Vec<Frame>]| {
        let mut stage = Stage::new();
        stage.client(&[query("begin"), query("insert")]);
        stage.attach();
        stage.heard();
        stage.lose();
        stage.handle(Event::RequestFailed);
        assert_eq!(stage.heard(), "");
        stage.client(next);
        stage.heard()
    };
    assert_eq!(
        between(&[query("insert"), query("insert"), query("rollback")]),
        "08006 ZE 25P02 ZE C ZI"
    );
    assert_eq!(between(&[query("rollback")]), "C ZI");
    // A commit whose client knows of nothing must not look like one; once told, it is a rollback as at a server.
    assert_eq!(between(&[query("commit"), query("select 1")]), "08006 ZI");
    assert_eq!(
        between(&[query("insert"), query("commit")]),
        "08006 ZE 08006 ZI"
    );
    // Drivers close what they have prepared in passing, and see no error there.
    let closes = [
        frames(|out| frontend::close(b'S', "s", out).unwrap()),
        sync(),
    ]
    .concat();
    assert_eq!(
        between(&[closes.clone(), query("insert"), query("rollback")]),
        "3 ZE 08006 ZE C ZI"
    );
    let mut stage = Stage::new();
    stage.client(&[query("begin"), query("insert")]);
    stage.attach();
    stage.answers = false;
    stage.client(&[closes]);
    stage.lose();
    stage.handle(Event::RequestFailed);
    stage.client(&[query("commit")]);
    assert!(stage.heard().ends_with("3 ZE 08006 ZI"));
    // As drivers roll back that prepare everything.
    let prepare = [
        parse("r", "rollback"),
        frames(|out| frontend::describe(b'S', "r", out).unwrap()),
        sync(),
    ];
    let steps = [prepare.concat(), bind_execute("r"), sync()];
    assert_eq!(between(&steps), "1 t n ZE 2 C ZI");
}

/// A batch that dies in the midst: its error, and one ReadyForQuery for its Sync, also if that comes later.
#[test]
fn a_lost_batch_has_one_end() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[
        parse("", "insert"),
        bind_execute(""),
        bind_execute(""),
        sync(),
    ]);
    stage.attach();
    stage.lose();
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "08006 ZI");
    stage.client(&[parse("", "insert"), frames(frontend::flush)]);
    stage.attach();
    stage.lose();
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "08006");
    stage.client(&[bind_execute(""), sync()]);
    assert_eq!((stage.heard().as_str(), stage.asked), ("ZI", 2));
}

/// Sent again only if nothing was answered and nothing was open.
#[test]
fn a_second_server_gets_what_the_first_never_answered() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[parse("s", "select 1"), bind_execute("s"), sync()]);
    stage.attach();
    stage.lose();
    stage.answers = true;
    stage.attach();
    assert_eq!((stage.heard().as_str(), stage.done), ("1 2 C ZI", 1));
    // Behind a first byte of the answer it does not go out again.
    stage.answers = false;
    stage.client(&[query("select 1")]);
    stage.attach();
    stage.handle(Event::Server(DecodeResult::Frame(Frame::new(
        b'T',
        &b"\0\0"[..],
    ))));
    stage.lose();
    stage.attach();
    assert_eq!(stage.not_again, 1);
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "T 08006 ZI");
}

#[test]
fn a_client_that_goes_leaves_nothing_behind() {
    for (sql, released) in [("select 1", 1), ("begin; select 1", 0), ("listen x", 0)] {
        let mut stage = Stage::new();
        stage.client(&[query(sql)]);
        stage.attach();
        stage.handle(Event::ClientDisconnected);
        assert_eq!(
            (stage.released, stage.dropped, stage.ended),
            (released, 1 - released, true),
            "{sql}"
        );
        // A server that comes too late is free at once.
        stage.attach();
        assert_eq!(stage.released, released + 1);
    }
}

#[test]
fn copied_data_goes_on_as_it_comes() {
    let mut stage = Stage::new();
    stage.answers = false;
    let mut actions = Vec::new();
    let row = || {
        Event::Client(DecodeResult::Chunk {
            tag: b'd',
            bytes: Bytes::from_static(b"d\0\0\0\x05x"),
            last: true,
        })
    };
    // Before the server wants any it is passed over.
    stage.session.handle(row(), &mut actions);
    assert!(actions.is_empty());
    stage.client(&[query("copy t from stdin")]);
    stage.attach();
    stage.handle(Event::Server(DecodeResult::Frame(Frame::new(
        b'G',
        &b"\0\0\0"[..],
    ))));
    stage.session.handle(row(), &mut actions);
    assert!(matches!(actions.pop(), Some(Action::ToServer(bytes)) if bytes.len() == 6));
    stage.lose();
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "G 08006 ZI");
}

/// A session whose server waits for the data of a copy.
fn in_a_copy() -> Stage {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[parse("", "copy t from stdin"), bind_execute(""), sync()]);
    stage.attach();
    for frame in [
        Frame::new(b'1', Bytes::new()),
        Frame::new(b'2', Bytes::new()),
        Frame::new(b'G', &b"\0\0\0"[..]),
    ] {
        stage.handle(Event::Server(DecodeResult::Frame(frame)));
    }
    stage
}

/// Drivers send a Sync before the data and one behind it; the server passes over the first. Lost in between, the client
/// is told at once, and its second Sync is answered, as at a server whose copy has failed.
#[test]
fn a_copy_that_is_lost_ends_with_the_sync_behind_its_data() {
    let mut stage = in_a_copy();
    stage.lose();
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "1 2 G 08006");
    stage.client(&[vec![Frame::new(b'f', &b"gone\0"[..])], sync()]);
    assert_eq!((stage.heard().as_str(), stage.asked), ("ZI", 1));
    // The same with the end of the data and its Sync on their way before it is known what comes of the loss.
    let mut stage = in_a_copy();
    stage.lose();
    stage.client(&[vec![Frame::new(b'c', Bytes::new())], sync()]);
    assert_eq!(stage.heard(), "1 2 G");
    stage.handle(Event::RequestFailed);
    assert_eq!((stage.heard().as_str(), stage.ended), ("08006 ZI", false));
}

/// A batch is committed by its Sync; drivers take its CommandComplete for the commit.
#[test]
fn a_batch_is_told_complete_when_it_is_committed() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[parse("", "insert"), bind_execute(""), sync()]);
    stage.attach();
    let complete = || {
        Event::Server(DecodeResult::Frame(server_messages::command_complete(
            "INSERT 0 1",
        )))
    };
    for event in [
        Event::Server(DecodeResult::Frame(Frame::new(b'1', Bytes::new()))),
        Event::Server(DecodeResult::Frame(Frame::new(b'2', Bytes::new()))),
        complete(),
    ] {
        stage.handle(event);
    }
    assert_eq!(stage.heard(), "1 2");
    stage.lose();
    stage.handle(Event::RequestFailed);
    assert_eq!(stage.heard(), "08006 ZI");
    // With its end yet to be sent nothing is held back: the client may wait for it.
    stage.client(&[bind_execute(""), frames(frontend::flush)]);
    stage.attach();
    stage.handle(Event::Server(DecodeResult::Frame(Frame::new(
        b'1',
        Bytes::new(),
    ))));
    stage.handle(Event::Server(DecodeResult::Frame(Frame::new(
        b'2',
        Bytes::new(),
    ))));
    stage.handle(complete());
    assert_eq!(stage.heard(), "2 C");
}

/// A server that says why it goes is lost all the same: its FATAL would end a session that goes on.
#[test]
fn a_servers_last_words_are_not_the_clients() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[query("insert")]);
    stage.attach();
    let last = b"SFATAL\0VFATAL\0C57P01\0Mterminating connection due to administrator command\0\0";
    stage.handle(Event::Server(DecodeResult::Frame(Frame::new(
        b'E',
        &last[..],
    ))));
    assert_eq!((stage.heard().as_str(), stage.dropped), ("", 1));
    stage.handle(Event::RequestFailed);
    assert_eq!((stage.heard().as_str(), stage.ended), ("08006 ZI", false));
}

/// Of a row that was cut in the midst no client could make sense, nor of what came behind it.
#[test]
fn a_row_that_is_cut_ends_the_session() {
    let mut stage = Stage::new();
    stage.answers = false;
    stage.client(&[query("select 1")]);
    stage.attach();
    let bytes = Bytes::from_static(b"D\0\0\x01\0\0\x01");
    stage.handle(Event::Server(DecodeResult::Chunk {
        tag: b'D',
        bytes,
        last: false,
    }));
    stage.lose();
    assert_eq!((stage.told.len(), stage.ended, stage.dropped), (7, true, 1));
}

#[test]
fn what_does_not_belong_ends_the_session() {
    for frames in [
        vec![Frame::new(b'p', &b"x\0"[..])],
        vec![Frame::new(b'?', Bytes::new())],
    ] {
        let mut stage = Stage::new();
        stage.client(&[frames]);
        assert_eq!((stage.heard().as_str(), stage.ended), ("08P01", true));
    }
    // A body that can't be read, found when it is to be sent.
    let mut stage = Stage::new();
    let mut body = BytesMut::new();
    body.put_slice(b"no end");
    stage.client(&[vec![Frame::new(b'P', body.freeze())], sync()]);
    stage.attach();
    // Nothing of it was sent, so the server is as it was.
    assert_eq!(
        (
            stage.heard().as_str(),
            stage.ended,
            stage.released,
            stage.dropped
        ),
        ("08P01", true, 1, 0)
    );
}

#[derive(Clone, Debug)]
enum Move {
    Say(u8),
    Attach,
    Lose,
    Fail,
    Refuse,
    Silence(bool),
}

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let one = prop_oneof![
        6 => (0_u8..9).prop_map(Move::Say),
        4 => Just(Move::Attach),
        1 => Just(Move::Lose),
        2 => Just(Move::Fail),
        1 => Just(Move::Refuse),
        1 => any::<bool>().prop_map(Move::Silence),
    ];
    proptest::collection::vec(one, 1..60)
}

proptest! {
    /// Whatever comes in whatever order: each group that a client has sent gets one ReadyForQuery, in its turn;
    /// nothing goes to a server that is not there, and none goes back with anything open on it.
    #[test]
    fn each_group_has_one_end_whatever_happens(moves in moves()) {
        let mut stage = Stage::new();
        let mut owed = 0;
        for step in moves {
            match step {
                Move::Say(what) => {
                    let said: Vec<Frame> = match what {
                        0 => query("select 1"),
                        1 => query("begin"),
                        2 => query("commit"),
                        3 => query("rollback"),
                        4 => query("fail"),
                        5 => [parse("s", "select 2"), bind_execute("s"), sync()].concat(),
                        6 => [bind_execute("s"), sync()].concat(),
                        7 => [parse("", "commit"), bind_execute(""), sync()].concat(),
                        _ => sync(),
                    };
                    owed += 1;
                    stage.client(&[said]);
                }
                Move::Attach if matches!(stage.session.unit, Unit::Asked { .. }) => stage.attach(),
                Move::Lose if stage.database.is_some() => stage.lose(),
                Move::Fail => stage.handle(Event::RequestFailed),
                Move::Refuse => stage.handle(Event::Rejected { retry_after_ms: 1 }),
                Move::Silence(silent) if stage.database.is_none() => stage.answers = !silent,
                _ => {}
            }
        }
        // To the end: what still waits is lost, fails, or is served.
        for _ in 0..200 {
            if stage.session.groups.is_empty() {
                break;
            }
            if stage.database.is_some() && !stage.answers {
                stage.lose();
            }
            stage.answers = true;
            if matches!(stage.session.unit, Unit::Asked { lost: true }) {
                stage.handle(Event::RequestFailed);
            } else if matches!(stage.session.unit, Unit::Asked { lost: false }) {
                stage.attach();
            }
        }
        let heard = stage.heard();
        let ends = heard.split(' ').filter(|tag| tag.starts_with('Z')).count();
        prop_assert_eq!(ends, owed, "{}", heard);
        prop_assert!(!stage.ended);
        prop_assert_eq!(stage.session.held, 0);
    }

    /// No bytes of a client's make a session panic, or hold more than its bound.
    #[test]
    fn any_bytes_are_survived(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (mut stage, mut cutter) = (Stage::new(), FrameDecoder::default());
        stage.answers = false;
        cutter.push(&bytes);
        while let Ok(Some(cut)) = cutter.next_from_client() {
            if stage.ended {
                break;
            }
            stage.session.handle(Event::Client(cut), &mut Vec::new());
        }
        prop_assert!(stage.session.held <= bytes.len());
    }
}

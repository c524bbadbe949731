//! Compares a session with a direct server connection: any legal sequence of messages must get the same responses and
//! leave the same tables. The session may use a different server connection for each transaction. The reference is the
//! fake database's protocol implementation, which is independent of the session.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p badgerpost-postgres-session --test reference` runs 100000 sequences.
//! The sequences are deterministic.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::{BTreeMap, VecDeque};

use badgerpost_fakes::database::{Backend, Database, OfflineDatabase};
use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder};
use badgerpost_postgres_session::server_messages::TransactionStatus;
use badgerpost_postgres_session::session::{Action, BufferLimits, Event, ServerState, Session};
use badgerpost_postgres_session::settings::ClientSettings;
use bytes::BytesMut;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// SQL texts. Some fail, some begin or end transactions, some change the session's state.
const TEXTS: [&str; 29] = [
    "SELECT 1",
    "SELECT count(*) FROM t",
    "INSERT INTO t VALUES (1, 'x')",
    "UPDATE t SET v = 'y' WHERE id = 1",
    "DELETE FROM t",
    "BEGIN",
    "BEGIN READ ONLY",
    "COMMIT",
    "ROLLBACK",
    "SAVEPOINT s",
    "ROLLBACK TO SAVEPOINT s",
    "SELECT nothing",
    "no SQL at all",
    "",
    "SELECT 2; SELECT 3",
    "BEGIN; INSERT INTO t VALUES (2, 'z'); COMMIT",
    "SET TimeZone = 'CET'",
    "SHOW TimeZone",
    "RESET TimeZone",
    "SET search_path = other",
    "SHOW search_path",
    "DEALLOCATE a",
    "SELECT id FROM generate_series(1, 3) id",
    "LISTEN lobby",
    "RESET ALL",
    "SELECT id FROM t FOR UPDATE",
    "ROLLBACK AND CHAIN",
    "COMMIT AND CHAIN",
    "ROLLBACK AND NO CHAIN",
];
/// Index of the DEALLOCATE in [`TEXTS`].
const DEALLOCATE: usize = 21;
const NAMES: [&str; 3] = ["", "a", "b"];
const PORTALS: [&str; 2] = ["", "p"];

#[derive(Clone, Debug)]
enum Step {
    Query(usize),
    Parse(usize, usize),
    Bind(usize, usize),
    DescribeStatement(usize),
    DescribePortal(usize),
    Execute(usize, u32),
    CloseStatement(usize),
    ClosePortal(usize),
    Flush,
    Sync,
    /// `Parse`, `Bind`, `Describe`, `Execute` and `Sync`.
    Batch(usize, usize),
    /// COPY by a `Query`, with this many rows, ended by `CopyDone` (true) or `CopyFail` (false).
    Copy(u8, bool),
    /// COPY in a batch with this many rows and, as in libpq, a `Sync` before and after the data.
    CopyBatch(u8),
}

fn step() -> impl Strategy<Value = Step> {
    let (text, name, portal) = (0..TEXTS.len(), 0..NAMES.len(), 0..PORTALS.len());
    prop_oneof![
        6 => text.clone().prop_map(Step::Query),
        4 => (name.clone(), text.clone()).prop_map(|(name, text)| Step::Parse(name, text)),
        4 => (portal.clone(), name.clone()).prop_map(|(portal, name)| Step::Bind(portal, name)),
        2 => name.clone().prop_map(Step::DescribeStatement),
        1 => portal.clone().prop_map(Step::DescribePortal),
        4 => (portal.clone(), 0_u32..3).prop_map(|(portal, most)| Step::Execute(portal, most)),
        1 => name.clone().prop_map(Step::CloseStatement),
        1 => portal.prop_map(Step::ClosePortal),
        2 => Just(Step::Flush),
        5 => Just(Step::Sync),
        6 => (name, text).prop_map(|(name, text)| Step::Batch(name, text)),
        1 => (0_u8..3, any::<bool>()).prop_map(|(rows, good)| Step::Copy(rows, good)),
        1 => (0_u8..3).prop_map(Step::CopyBatch),
    ]
}

fn frame(tag: u8, parts: &[&[u8]]) -> Frame {
    Frame::new(tag, parts.concat())
}

impl Step {
    fn frames(&self) -> Vec<Frame> {
        match *self {
            // Drivers prepare and run a DEALLOCATE in one batch, as the unnamed statement.
            Self::Parse(_, DEALLOCATE) | Self::Batch(1.., DEALLOCATE) => {
                Self::Batch(0, DEALLOCATE).frames()
            }
            Self::Query(text) => vec![frame(b'Q', &[TEXTS[text].as_bytes(), ZERO])],
            Self::Parse(name, text) => vec![parse(NAMES[name], TEXTS[text])],
            Self::Bind(portal, name) => vec![bind(PORTALS[portal], NAMES[name])],
            Self::DescribeStatement(name) => vec![target(b'D', b"S", NAMES[name])],
            Self::DescribePortal(portal) => vec![target(b'D', b"P", PORTALS[portal])],
            Self::Execute(portal, max_rows) => vec![execute(PORTALS[portal], max_rows)],
            Self::CloseStatement(name) => vec![target(b'C', b"S", NAMES[name])],
            Self::ClosePortal(portal) => vec![target(b'C', b"P", PORTALS[portal])],
            Self::Flush => vec![frame(b'H', &[])],
            Self::Sync => vec![frame(b'S', &[])],
            Self::Batch(name, text) => vec![
                parse(NAMES[name], TEXTS[text]),
                bind("", NAMES[name]),
                target(b'D', b"P", ""),
                execute("", 0),
                frame(b'S', &[]),
            ],
            Self::Copy(count, succeeds) => copy_by_query(count, succeeds),
            Self::CopyBatch(count) => copy_in_batch(count),
        }
    }
}

const ZERO: &[u8] = b"\0";

fn parse(name: &str, text: &str) -> Frame {
    let parts = [name.as_bytes(), ZERO, text.as_bytes(), ZERO, b"\0\0"];
    frame(b'P', &parts)
}

fn bind(portal: &str, name: &str) -> Frame {
    let formats_and_values = b"\0\0\0\0\0\0";
    let parts = [
        portal.as_bytes(),
        ZERO,
        name.as_bytes(),
        ZERO,
        formats_and_values,
    ];
    frame(b'B', &parts)
}

fn execute(portal: &str, max_rows: u32) -> Frame {
    frame(b'E', &[portal.as_bytes(), ZERO, &max_rows.to_be_bytes()])
}

/// Creates a `Describe` or `Close`.
fn target(tag: u8, kind: &[u8], name: &str) -> Frame {
    frame(tag, &[kind, name.as_bytes(), ZERO])
}

fn copied_rows(count: u8) -> impl Iterator<Item = Frame> {
    (0..count).map(|row| frame(b'd', &[format!("{}\tcopied\n", 10 + row).as_bytes()]))
}

fn copy_by_query(count: u8, succeeds: bool) -> Vec<Frame> {
    let mut frames = vec![frame(b'Q', &[b"COPY t FROM STDIN\0"])];
    frames.extend(copied_rows(count));
    frames.push(if succeeds {
        frame(b'c', &[])
    } else {
        frame(b'f', &[b"no\0"])
    });
    frames
}

fn copy_in_batch(count: u8) -> Vec<Frame> {
    let mut frames = vec![
        parse("", "COPY t FROM STDIN"),
        bind("", ""),
        execute("", 0),
        frame(b'S', &[]),
    ];
    frames.extend(copied_rows(count));
    frames.extend([frame(b'c', &[]), frame(b'S', &[])]);
    frames
}

/// A connection to the database and its state while no session uses the connection.
struct Connection {
    backend: Backend,
    state: ServerState,
}

/// A session with a pool of server connections.
struct Pooled {
    session: Session,
    idle: VecDeque<Connection>,
    attached: Option<Connection>,
    client_bytes: Vec<u8>,
    ended: bool,
    /// Number of requests for a server so far; selects the next idle connection.
    requests: usize,
}

fn send(backend: &mut Backend, frame: &Frame) -> Vec<u8> {
    let ended = backend.handle_message(frame.tag, &frame.body);
    assert!(ended.is_ok(), "the server ends its connection at {frame:?}");
    backend.take_output()
}

fn decode_from_server(bytes: &[u8]) -> Vec<DecodeResult> {
    let mut decoder = FrameDecoder::default();
    decoder.push(bytes);
    std::iter::from_fn(|| decoder.next_from_server().expect("good frames")).collect()
}

fn decode_from_client(bytes: &[u8]) -> Vec<DecodeResult> {
    let mut decoder = FrameDecoder::default();
    decoder.push(bytes);
    std::iter::from_fn(|| decoder.next_from_client().expect("good frames")).collect()
}

/// Converts a decoded message to a frame. A chunk must contain the whole message.
fn complete_frame(message: DecodeResult) -> Frame {
    match message {
        DecodeResult::Frame(frame) => frame,
        DecodeResult::Chunk { tag, bytes, .. } => Frame::new(tag, bytes.slice(5..)),
    }
}

impl Pooled {
    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(next) = events.pop_front() {
            let mut actions = Vec::new();
            self.session.handle(next, &mut actions);
            for action in actions {
                self.act(action, &mut events);
            }
        }
        assert!(
            self.ended || self.session.accepts_client_messages(),
            "the session does not read on, although the server has answered: {:?}",
            self.session.backlog()
        );
    }

    fn act(&mut self, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::RequestServer { .. } => events.push_back(self.attach_next()),
            Action::ToServer(bytes) => self.send_to_server(&bytes, events),
            Action::ToClient(bytes) => self.client_bytes.extend_from_slice(&bytes),
            Action::Release(state) => {
                let connection = self.attached.take().expect("an attached connection");
                self.idle.push_back(Connection {
                    state,
                    ..connection
                });
            }
            Action::DiscardServer | Action::NotRetryable => {
                panic!("no server was lost: {:?}", self.session)
            }
            Action::End => self.ended = true,
            Action::ResponseStarted | Action::TransactionDone => {}
        }
    }

    fn attach_next(&mut self) -> Event {
        let next = self.requests % self.idle.len();
        self.requests += 1;
        let mut connection = self.idle.remove(next).expect("an idle connection");
        let state = std::mem::take(&mut connection.state);
        self.attached = Some(connection);
        Event::Attached(state)
    }

    fn send_to_server(&mut self, bytes: &[u8], events: &mut VecDeque<Event>) {
        let connection = self
            .attached
            .as_mut()
            .expect("bytes are only sent to an attached server");
        for message in decode_from_client(bytes) {
            let responses = send(&mut connection.backend, &complete_frame(message));
            events.extend(
                decode_from_server(&responses)
                    .into_iter()
                    .map(Event::Server),
            );
        }
    }
}

/// Formats the responses as type and body. `ParameterStatus` messages are omitted, because the session may send them at
/// other times than the server.
fn responses(bytes: &[u8]) -> Vec<String> {
    decode_from_server(bytes)
        .into_iter()
        .map(complete_frame)
        .filter(|frame| frame.tag != b'S')
        .map(|frame| {
            let body = String::from_utf8_lossy(&frame.body).replace('\0', "|");
            format!("{} {body}", char::from(frame.tag))
        })
        .collect()
}

/// Adds the settings reported to a client to the client's known settings.
fn add_reports(bytes: &[u8], known: &mut BTreeMap<String, String>) {
    for message in decode_from_server(bytes) {
        if let DecodeResult::Frame(Frame { tag: b'S', body }) = message {
            let text = String::from_utf8_lossy(&body).into_owned();
            let mut parts = text.split('\0').map(str::to_owned);
            known.insert(
                parts.next().unwrap_or_default(),
                parts.next().unwrap_or_default(),
            );
        }
    }
}

fn create_backend(offline: &OfflineDatabase) -> Backend {
    let mut backend = Database::backend(offline);
    for sql in [
        "CREATE TABLE t (id int, v text)",
        "CREATE TABLE other.t (id int, v text)",
    ] {
        send(&mut backend, &frame(b'Q', &[sql.as_bytes(), b"\0"]));
    }
    backend
}

/// Returns the settings reported to each client at the start of its session.
fn greeting() -> BTreeMap<String, String> {
    BTreeMap::from([
        ("TimeZone".to_owned(), "UTC".to_owned()),
        ("DateStyle".to_owned(), "ISO, MDY".to_owned()),
        ("client_encoding".to_owned(), "UTF8".to_owned()),
    ])
}

/// Creates a session with a pool of three connections to this database.
fn create_pooled(database: &OfflineDatabase, limits: BufferLimits) -> Pooled {
    let greeting = greeting();
    let settings = ClientSettings::new(&BTreeMap::new(), &greeting).expect("good settings");
    let connections = (0..3).map(|_| {
        let mut state = ServerState::default();
        for (name, value) in &greeting {
            state.settings.record_report(name, value);
        }
        state.settings.record_report("application_name", "");
        Connection {
            backend: Database::backend(database),
            state,
        }
    });
    Pooled {
        session: Session::with_buffer_limits(settings, limits),
        idle: connections.collect(),
        attached: None,
        client_bytes: Vec::new(),
        ended: false,
        requests: 0,
    }
}

/// Creates the event for a client's message, as the decoder would return it.
fn client_event(message: Frame) -> Event {
    if message.tag != b'd' {
        return Event::Client(DecodeResult::Frame(message));
    }
    let mut wire = BytesMut::new();
    message.write(&mut wire);
    Event::Client(DecodeResult::Chunk {
        tag: b'd',
        bytes: wire.freeze(),
        last: true,
    })
}

/// Returns the messages that end a COPY started by an `Execute` without copy data; during a copy, a server accepts no
/// other messages.
fn copy_end(direct: &Backend) -> Vec<Frame> {
    if direct.is_copying() {
        vec![frame(b'S', &[]), frame(b'f', &[b"no\0"]), frame(b'S', &[])]
    } else {
        Vec::new()
    }
}

/// Sends the steps to one server directly and through a session. Returns the bytes sent to the direct client.
fn send_to_both(steps: &[Step], direct: &mut Backend, pooled: &mut Pooled) -> Vec<u8> {
    let mut direct_bytes = Vec::new();
    let end = [Step::Sync];
    for step in steps.iter().chain(&end) {
        // Skip the only known difference: in a failed transaction a server describes a statement that returns no rows,
        // but a session answers 25P02 if the statement was prepared on another connection.
        if direct.transaction_status() == b'E' && matches!(step, Step::DescribeStatement(_)) {
            continue;
        }
        for message in copy_end(direct).into_iter().chain(step.frames()) {
            direct_bytes.extend(send(direct, &message));
            pooled.handle(client_event(message));
        }
    }
    direct_bytes
}

fn run(steps: &[Step], limits: BufferLimits) -> Result<(), TestCaseError> {
    let direct_database = OfflineDatabase::default();
    let pooled_database = OfflineDatabase::default();
    let mut direct = create_backend(&direct_database);
    create_backend(&pooled_database);
    let mut pooled = create_pooled(&pooled_database, limits);
    let direct_bytes = send_to_both(steps, &mut direct, &mut pooled);
    prop_assert!(!pooled.ended, "the session has ended");
    prop_assert_eq!(responses(&pooled.client_bytes), responses(&direct_bytes));
    // The same settings must be reported to both clients.
    let mut direct_known = greeting();
    let mut pooled_known = greeting();
    add_reports(&direct_bytes, &mut direct_known);
    add_reports(&pooled.client_bytes, &mut pooled_known);
    prop_assert_eq!(direct_known.get("TimeZone"), pooled_known.get("TimeZone"));
    // After a rollback of open transactions the tables must be equal.
    if pooled.session.status() != TransactionStatus::Idle {
        let rollback = frame(b'Q', &[b"ROLLBACK\0"]);
        send(&mut direct, &rollback);
        pooled.handle(client_event(rollback));
    }
    for table in ["t", "other.t"] {
        prop_assert_eq!(direct_database.rows(table), pooled_database.rows(table));
    }
    Ok(())
}

#[test]
fn any_legal_sequence_is_answered_as_by_one_server() {
    run_any_sequences(BufferLimits::default());
}

/// Guards against batches that are larger than the buffer and are never answered, or not as by one server.
#[test]
fn any_legal_sequence_is_answered_with_a_buffer_of_a_few_messages() {
    run_any_sequences(BufferLimits {
        bytes: 100,
        messages: 3,
    });
}

fn run_any_sequences(limits: BufferLimits) {
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(1500);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..25);
    runner
        .run(&steps, |steps| run(&steps, limits))
        .unwrap_or_else(|error| panic!("{error}"));
}

/// The first sequence is that of a driver that rejects an argument after describing the statement, the second that of a
/// driver in pipeline mode.
#[test]
fn describe_without_sync_and_pipelined_batches_do_not_end_the_session() {
    let describe_then_rollback = vec![
        Step::Query(5),
        Step::Parse(0, 1),
        Step::DescribeStatement(0),
        Step::Flush,
        Step::Query(8),
    ];
    let pipeline = vec![
        Step::Batch(0, 0),
        Step::Flush,
        Step::Query(0),
        Step::Batch(1, 1),
        Step::Flush,
    ];
    for steps in [describe_then_rollback, pipeline] {
        if let Err(error) = run(&steps, BufferLimits::default()) {
            panic!("{steps:?}: {error}");
        }
    }
}

#[test]
fn copies_are_answered_as_by_one_server() {
    let mut wire = BytesMut::new();
    Frame::new(b'd', vec![b'x'; 10]).write(&mut wire);
    assert_eq!(decode_from_client(&wire).len(), 1);
    for steps in [
        vec![Step::Copy(2, true)],
        vec![Step::Copy(2, false)],
        vec![Step::CopyBatch(2)],
        vec![Step::Query(5), Step::Query(11), Step::CopyBatch(1)],
    ] {
        if let Err(error) = run(&steps, BufferLimits::default()) {
            panic!("{steps:?}: {error}");
        }
    }
}

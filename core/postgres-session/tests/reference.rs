//! The session against a reference: any legal sequence of messages is answered through it, with a server that may be
//! another in each transaction, as by one server directly, and does the same to the tables. The reference is the
//! stand-in database's protocol side, written from "Message Flow" and not from the session.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p badgerpost-postgres-session --test reference` plays so many sequences. The
//! sequences are the same each time.

use std::collections::{BTreeMap, VecDeque};

use badgerpost_fakes::database::{Backend, Database, Offline};
use badgerpost_postgres_session::frame::{DecodeResult, Frame, FrameDecoder};
use badgerpost_postgres_session::server_messages::TransactionStatus;
use badgerpost_postgres_session::session::{Action, Event, ServerState, Session};
use badgerpost_postgres_session::settings::ClientSettings;
use bytes::{BufMut, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What statements there are: some fail, some begin or end transactions, some leave traces.
const TEXTS: [&str; 26] = [
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
];
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
    /// A whole batch: prepare, bind, describe, execute, and the Sync.
    Batch(usize, usize),
    /// COPY by a Query, with this many rows, ended well or not.
    Copy(u8, bool),
    /// COPY in a batch, as libpq does it: a Sync before the data and one behind it.
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
        let zero: &[u8] = b"\0";
        let parse = |name: &str, text: &str| {
            frame(
                b'P',
                &[name.as_bytes(), zero, text.as_bytes(), zero, b"\0\0"],
            )
        };
        let bind = |portal: &str, name: &str| {
            frame(
                b'B',
                &[
                    portal.as_bytes(),
                    zero,
                    name.as_bytes(),
                    zero,
                    b"\0\0\0\0\0\0",
                ],
            )
        };
        let execute =
            |portal: &str, most: u32| frame(b'E', &[portal.as_bytes(), zero, &most.to_be_bytes()]);
        let sync = || frame(b'S', &[]);
        let of = |tag: u8, kind: &[u8], name: &str| frame(tag, &[kind, name.as_bytes(), zero]);
        let rows = |count: u8| {
            (0..count).map(|n| frame(b'd', &[format!("{}\tcopied\n", 10 + n).as_bytes()]))
        };
        match *self {
            // Drivers prepare and run a DEALLOCATE in one go, and under no name.
            Self::Parse(_, DEALLOCATE) | Self::Batch(1.., DEALLOCATE) => {
                Self::Batch(0, DEALLOCATE).frames()
            }
            Self::Query(text) => vec![frame(b'Q', &[TEXTS[text].as_bytes(), zero])],
            Self::Parse(name, text) => vec![parse(NAMES[name], TEXTS[text])],
            Self::Bind(portal, name) => vec![bind(PORTALS[portal], NAMES[name])],
            Self::DescribeStatement(name) => vec![of(b'D', b"S", NAMES[name])],
            Self::DescribePortal(portal) => vec![of(b'D', b"P", PORTALS[portal])],
            Self::Execute(portal, most) => vec![execute(PORTALS[portal], most)],
            Self::CloseStatement(name) => vec![of(b'C', b"S", NAMES[name])],
            Self::ClosePortal(portal) => vec![of(b'C', b"P", PORTALS[portal])],
            Self::Flush => vec![frame(b'H', &[])],
            Self::Sync => vec![sync()],
            Self::Batch(name, text) => {
                vec![
                    parse(NAMES[name], TEXTS[text]),
                    bind("", NAMES[name]),
                    of(b'D', b"P", ""),
                    execute("", 0),
                    sync(),
                ]
            }
            Self::Copy(count, good) => {
                let mut all = vec![frame(b'Q', &[b"COPY t FROM STDIN\0"])];
                all.extend(rows(count));
                all.push(if good {
                    frame(b'c', &[])
                } else {
                    frame(b'f', &[b"no\0"])
                });
                all
            }
            Self::CopyBatch(count) => {
                let mut all = vec![
                    parse("", "COPY t FROM STDIN"),
                    bind("", ""),
                    execute("", 0),
                    sync(),
                ];
                all.extend(rows(count));
                all.extend([frame(b'c', &[]), sync()]);
                all
            }
        }
    }
}

/// A connection to the database behind the session, and what the node knows of it.
struct Link {
    backend: Backend,
    state: ServerState,
}

/// The session with its servers.
struct Pooled {
    session: Session,
    links: VecDeque<Link>,
    held: Option<Link>,
    told: Vec<u8>,
    ended: bool,
    /// Which of the idle connections is next, and where the session loses one.
    turns: usize,
}

fn say(backend: &mut Backend, frame: &Frame) -> Vec<u8> {
    let ended = backend.take(frame.tag, &frame.body);
    assert!(ended.is_ok(), "the server ends its connection at {frame:?}");
    backend.take_out()
}

fn cut(bytes: &[u8], server: bool) -> Vec<DecodeResult> {
    let mut cutter = FrameDecoder::default();
    cutter.push(bytes);
    let mut cuts = Vec::new();
    while let Some(next) = if server {
        cutter.next_from_server()
    } else {
        cutter.next_from_client()
    }
    .expect("good frames")
    {
        cuts.push(next);
    }
    cuts
}

impl Pooled {
    fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.session.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::RequestServer { .. } => {
                        let next = self.turns % self.links.len();
                        self.turns += 1;
                        let mut link = self.links.remove(next).expect("an idle connection");
                        let state = std::mem::take(&mut link.state);
                        self.held = Some(link);
                        events.push_back(Event::Attached(state));
                    }
                    Action::ToServer(bytes) => {
                        let link = self
                            .held
                            .as_mut()
                            .expect("nothing goes to a server that is not there");
                        for cut in cut(&bytes, false) {
                            let frame = match cut {
                                DecodeResult::Frame(frame) => frame,
                                DecodeResult::Chunk { bytes, .. } => {
                                    Frame::new(b'd', bytes.slice(5..))
                                }
                            };
                            let answers = say(&mut link.backend, &frame);
                            events.extend(self::cut(&answers, true).into_iter().map(Event::Server));
                        }
                    }
                    Action::ToClient(bytes) => self.told.extend_from_slice(&bytes),
                    Action::Release(state) => {
                        let link = self.held.take().expect("what is released was held");
                        self.links.push_back(Link { state, ..link });
                    }
                    Action::DiscardServer | Action::NotRetryable => {
                        panic!("no server was lost: {:?}", self.session)
                    }
                    Action::End => self.ended = true,
                    Action::ResponseStarted | Action::TransactionDone => {}
                }
            }
        }
    }
}

/// An answer as a client sees it: tag and body, errors by code and message. Reports of settings are left out, as they
/// may come at other times.
fn answers(bytes: &[u8]) -> Vec<String> {
    let mut out = Vec::new();
    for cut in cut(bytes, true) {
        let frame = match cut {
            DecodeResult::Frame(frame) => frame,
            DecodeResult::Chunk { tag, bytes, .. } => Frame::new(tag, bytes.slice(5..)),
        };
        if frame.tag == b'S' {
            continue;
        }
        out.push(format!(
            "{} {}",
            char::from(frame.tag),
            String::from_utf8_lossy(&frame.body).replace('\0', "|")
        ));
    }
    out
}

/// The settings that a client was told, as it knows them in the end.
fn reports(bytes: &[u8], known: &mut BTreeMap<String, String>) {
    for cut in cut(bytes, true) {
        if let DecodeResult::Frame(Frame { tag: b'S', body }) = cut {
            let text = String::from_utf8_lossy(&body).into_owned();
            let mut parts = text.split('\0').map(str::to_owned);
            known.insert(
                parts.next().unwrap_or_default(),
                parts.next().unwrap_or_default(),
            );
        }
    }
}

fn create(offline: &Offline) -> Backend {
    let mut backend = Database::backend(offline);
    for sql in [
        "CREATE TABLE t (id int, v text)",
        "CREATE TABLE other.t (id int, v text)",
    ] {
        say(&mut backend, &frame(b'Q', &[sql.as_bytes(), b"\0"]));
    }
    backend
}

fn play(steps: &[Step]) -> Result<(), TestCaseError> {
    let (alone, behind) = (Offline::default(), Offline::default());
    let mut direct = create(&alone);
    create(&behind);
    let greeting = BTreeMap::from([
        ("TimeZone".to_owned(), "UTC".to_owned()),
        ("DateStyle".to_owned(), "ISO, MDY".to_owned()),
        ("client_encoding".to_owned(), "UTF8".to_owned()),
    ]);
    let settings = ClientSettings::new(&BTreeMap::new(), &greeting).expect("good settings");
    let links = (0..3).map(|_| {
        let mut state = ServerState::default();
        greeting
            .iter()
            .for_each(|(name, value)| state.settings.reported(name, value));
        state.settings.reported("application_name", "");
        Link {
            backend: Database::backend(&behind),
            state,
        }
    });
    let mut pooled = Pooled {
        session: Session::new(settings),
        links: links.collect(),
        held: None,
        told: Vec::new(),
        ended: false,
        turns: 0,
    };
    let mut told = Vec::new();
    let end = [Step::Sync];
    for step in steps.iter().chain(&end) {
        // The one known difference: in a transaction that has failed a server describes a statement that brings no
        // rows; the node can't, where it was prepared on another connection, and answers 25P02 as for all others.
        if direct.status() == b'E' && matches!(step, Step::DescribeStatement(_)) {
            continue;
        }
        // A COPY that a Bind of an earlier statement began is ended: with anything else behind it no server would go on.
        let copies = direct
            .is_copying()
            .then(|| vec![frame(b'S', &[]), frame(b'f', &[b"no\0"]), frame(b'S', &[])]);
        for frame in copies.into_iter().flatten().chain(step.frames()) {
            told.extend(say(&mut direct, &frame));
            let mut wire = BytesMut::new();
            frame.write(&mut wire);
            let cut = match frame.tag {
                b'd' => DecodeResult::Chunk {
                    tag: b'd',
                    bytes: wire.freeze(),
                    last: true,
                },
                _ => DecodeResult::Frame(frame),
            };
            pooled.handle(Event::Client(cut));
        }
    }
    prop_assert!(!pooled.ended, "the session has ended");
    prop_assert_eq!(answers(&pooled.told), answers(&told));
    // What the client believes of its settings is the same.
    let (mut known, mut believed) = (greeting.clone(), greeting);
    reports(&told, &mut known);
    reports(&pooled.told, &mut believed);
    prop_assert_eq!(known.get("TimeZone"), believed.get("TimeZone"));
    // What is still open is rolled back on both sides, and the rest is the same.
    if pooled.session.status() != TransactionStatus::Idle {
        say(&mut direct, &frame(b'Q', &[b"ROLLBACK\0"]));
        pooled.handle(Event::Client(DecodeResult::Frame(frame(
            b'Q',
            &[b"ROLLBACK\0"],
        ))));
    }
    for table in ["t", "other.t"] {
        prop_assert_eq!(alone.rows(table), behind.rows(table));
    }
    Ok(())
}

#[test]
fn any_legal_sequence_is_answered_as_by_one_server() {
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
        .run(&steps, |steps| play(&steps))
        .unwrap_or_else(|error| panic!("{error}"));
}

/// As a driver that turns an argument down after it has described the statement, and one in pipeline mode.
#[test]
fn the_two_sequences_that_ended_sessions_do_not() {
    let describe = |text| {
        vec![
            Step::Query(5),
            Step::Parse(0, text),
            Step::DescribeStatement(0),
            Step::Flush,
            Step::Query(8),
        ]
    };
    for steps in [
        describe(1),
        vec![
            Step::Batch(0, 0),
            Step::Flush,
            Step::Query(0),
            Step::Batch(1, 1),
            Step::Flush,
        ],
    ] {
        if let Err(error) = play(&steps) {
            panic!("{steps:?}: {error}");
        }
    }
}

/// No copy is longer than what a client may hold, so this stays a test of the session alone.
#[test]
fn bytes_of_a_copy_pass() {
    let mut body = BytesMut::new();
    body.put_bytes(b'x', 10);
    assert_eq!(
        cut(
            &{
                let mut wire = BytesMut::new();
                Frame::new(b'd', body.freeze()).write(&mut wire);
                wire
            },
            false
        )
        .len(),
        1
    );
    for steps in [
        vec![Step::Copy(2, true)],
        vec![Step::Copy(2, false)],
        vec![Step::CopyBatch(2)],
        vec![Step::Query(5), Step::Query(11), Step::CopyBatch(1)],
    ] {
        if let Err(error) = play(&steps) {
            panic!("{steps:?}: {error}");
        }
    }
}

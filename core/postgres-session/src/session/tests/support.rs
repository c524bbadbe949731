//! A fake server, a session fixture, and client messages encoded by the `postgres_protocol` crate.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};
use postgres_protocol::message::frontend;

use crate::extended_query::{self, ParseMessage, StatementText, Target};
use crate::frame::{DecodeResult, Frame, FrameDecoder};
use crate::message_tags;
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::session::server_link::ServerLink;
use crate::session::{Action, BufferLimits, Event, ServerState, Session};
use crate::settings::ClientSettings;
use crate::sql_analysis::{self, TransactionStep};

/// Decodes the frames written by a function of the `postgres_protocol` crate.
fn frames(write: impl Fn(&mut BytesMut)) -> Vec<Frame> {
    let mut wire = BytesMut::new();
    write(&mut wire);
    let mut decoder = FrameDecoder::default();
    decoder.push(&wire);
    let mut frames = Vec::new();
    while let Some(DecodeResult::Frame(frame)) = decoder.next_from_client().expect("good frames") {
        frames.push(frame);
    }
    frames
}

pub(super) fn query(sql: &str) -> Vec<Frame> {
    frames(|out| frontend::query(sql, out).unwrap())
}

pub(super) fn parse(name: &str, sql: &str) -> Vec<Frame> {
    frames(|out| frontend::parse(name, sql, [], out).unwrap())
}

pub(super) fn bind_execute(name: &str) -> Vec<Frame> {
    let value = |(): (), _: &mut BytesMut| Ok(postgres_protocol::IsNull::Yes);
    frames(|out| {
        frontend::bind("", name, [], Vec::<()>::new(), value, [], out)
            .unwrap_or_else(|_| panic!("a bind"));
        frontend::execute("", 0, out).unwrap();
    })
}

pub(super) fn close(name: &str) -> Vec<Frame> {
    frames(|out| frontend::close(b'S', name, out).unwrap())
}

pub(super) fn describe(name: &str) -> Vec<Frame> {
    frames(|out| frontend::describe(b'S', name, out).unwrap())
}

pub(super) fn sync() -> Vec<Frame> {
    frames(frontend::sync)
}

pub(super) fn flush() -> Vec<Frame> {
    frames(frontend::flush)
}

/// A fake server with the parts of the protocol that sessions depend on.
#[derive(Default)]
pub(super) struct FakeServer {
    pub(super) status: TransactionStatus,
    statements: BTreeMap<Bytes, StatementText>,
    /// Statement of the last `Bind`.
    bound: Option<StatementText>,
    /// SQL of the executed statements, in order.
    executed: Vec<String>,
    skips_to_sync: bool,
    /// Extended-query messages have arrived that no `Sync` or `Query` has followed yet.
    has_open_batch: bool,
    /// Responses that are not sent before the end of the batch, a `Flush` or an error.
    unflushed: Vec<Frame>,
}

impl FakeServer {
    fn execute(&mut self, sql: &[u8], is_query: bool, out: &mut Vec<Frame>) {
        let sql = String::from_utf8_lossy(sql).into_owned();
        for step in sql_analysis::analyze(&sql).steps {
            let is_end = step.is_plain_end() || step.is_chained_end();
            let fails_transaction = self.status == TransactionStatus::Failed && !is_end;
            if sql.contains("fail") || fails_transaction {
                out.push(server_messages::error_response(
                    ErrorReason::InFailedTransaction,
                    None,
                ));
                self.skips_to_sync = !is_query;
                if self.status != TransactionStatus::Idle {
                    self.status = TransactionStatus::Failed;
                }
                return;
            }
            self.status = match step {
                TransactionStep::Begin(_) => TransactionStatus::InBlock,
                TransactionStep::Commit | TransactionStep::Rollback => TransactionStatus::Idle,
                TransactionStep::CommitAndChain | TransactionStep::RollbackAndChain => {
                    TransactionStatus::InBlock
                }
                TransactionStep::Other => self.status,
            };
        }
        self.executed.push(sql);
        out.push(server_messages::command_complete("DONE"));
    }

    fn fail_batch(&mut self, detail: &str, out: &mut Vec<Frame>) {
        out.push(server_messages::error_response(
            ErrorReason::MayHaveRun,
            Some(detail),
        ));
        self.skips_to_sync = true;
    }

    fn parse(&mut self, frame: &Frame, out: &mut Vec<Frame>) {
        let ParseMessage { name, text } = ParseMessage::read(frame).expect("a parse");
        if !name.is_empty() && self.statements.contains_key(&name) {
            self.fail_batch("it is prepared already", out);
            return;
        }
        self.statements.insert(name, text);
        out.push(empty(message_tags::backend::PARSE_COMPLETE));
    }

    fn bind(&mut self, frame: &Frame, out: &mut Vec<Frame>) {
        let name = extended_query::bind_statement(frame).expect("a bind");
        let Some(text) = self.statements.get(&name) else {
            self.fail_batch("no such statement", out);
            return;
        };
        self.bound = Some(text.clone());
        out.push(empty(message_tags::backend::BIND_COMPLETE));
    }

    fn answer_message(&mut self, frame: &Frame, out: &mut Vec<Frame>) {
        use message_tags::{backend, frontend};
        if self.skips_to_sync && frame.tag != frontend::SYNC {
            return;
        }
        self.has_open_batch = !matches!(frame.tag, frontend::QUERY | frontend::SYNC);
        match frame.tag {
            frontend::QUERY => {
                self.statements.remove(&b""[..]);
                self.execute(frame.first_string().expect("a string"), true, out);
                out.push(self.status.ready_for_query());
            }
            frontend::PARSE => self.parse(frame, out),
            frontend::BIND => self.bind(frame, out),
            frontend::EXECUTE => {
                let text = self.bound.clone().expect("a bound statement");
                self.execute(text.sql(), false, out);
            }
            frontend::DESCRIBE => out.extend([
                Frame::new(backend::PARAMETER_DESCRIPTION, &b"\0\0"[..]),
                empty(backend::NO_DATA),
            ]),
            frontend::CLOSE => {
                let target = Target::read(frame).expect("a close");
                self.statements.remove(&target.name);
                out.push(empty(backend::CLOSE_COMPLETE));
            }
            frontend::SYNC => {
                self.skips_to_sync = false;
                out.push(self.status.ready_for_query());
            }
            frontend::FLUSH => {}
            other => panic!("{:?}", char::from(other)),
        }
    }

    /// Returns the server's responses to these bytes.
    fn answer(&mut self, bytes: &[u8]) -> Vec<Frame> {
        let mut decoder = FrameDecoder::default();
        decoder.push(bytes);
        let mut out = Vec::new();
        while let Some(message) = decoder.next_from_client().expect("good frames") {
            if let DecodeResult::Frame(frame) = message {
                let mut responses = std::mem::take(&mut self.unflushed);
                self.answer_message(&frame, &mut responses);
                let has_failed = responses.iter().any(|response| response.tag == b'E');
                let is_flushed = matches!(frame.tag, b'H' | b'S' | b'Q') || has_failed;
                let target = if is_flushed {
                    &mut out
                } else {
                    &mut self.unflushed
                };
                target.append(&mut responses);
            }
        }
        out
    }
}

/// Creates a message without a body.
pub(super) fn empty(tag: u8) -> Frame {
    Frame::new(tag, Bytes::new())
}

/// A session, its attached server, and counts of the session's actions.
#[derive(Default)]
pub(super) struct SessionFixture {
    pub(super) session: Session,
    pub(super) server: Option<FakeServer>,
    /// Bytes sent to the client since the last call of [`Self::responses`].
    pub(super) client_bytes: Vec<u8>,
    pub(super) requested: usize,
    pub(super) transactions_done: usize,
    pub(super) responses_started: usize,
    pub(super) released: usize,
    pub(super) discarded: usize,
    pub(super) not_retryable: usize,
    pub(super) ended: bool,
    /// SQL executed on servers that are no longer attached, in order.
    pub(super) executed: Vec<String>,
    /// Whether the server's responses reach the session.
    pub(super) server_answers: bool,
}

impl SessionFixture {
    pub(super) fn new() -> Self {
        Self {
            server_answers: true,
            ..Self::default()
        }
    }

    pub(super) fn with_buffer_limits(limits: BufferLimits) -> Self {
        Self {
            session: Session::with_buffer_limits(ClientSettings::default(), limits),
            ..Self::new()
        }
    }

    /// A session whose client has sent these statements, and has received the responses.
    pub(super) fn after_statements(statements: &[&str]) -> Self {
        let mut fixture = Self::new();
        for sql in statements {
            fixture.client(&[query(sql)]);
            if fixture.has_requested_server() {
                fixture.attach();
            }
        }
        fixture.responses();
        fixture
    }

    /// Like [`Self::after_statements`]; the server was then lost between two statements.
    pub(super) fn after_loss(statements: &[&str]) -> Self {
        let mut fixture = Self::after_statements(statements);
        fixture.lose_server();
        fixture.handle(Event::RequestFailed);
        fixture.responses();
        fixture
    }

    /// Sends messages from the client as a caller does that reads from the client only while the session accepts
    /// messages, and attaches each server that is requested.
    pub(super) fn client_with_backpressure(&mut self, messages: &[Vec<Frame>]) {
        for frame in messages.iter().flatten() {
            assert!(
                self.session.accepts_client_messages(),
                "the session reads nothing and waits for no server: {:?}",
                self.session.backlog()
            );
            self.handle(Event::Client(DecodeResult::Frame(frame.clone())));
            if self.has_requested_server() {
                self.attach();
            }
        }
    }

    /// Handles an event and the resulting responses of the server.
    pub(super) fn handle(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(next) = events.pop_front() {
            let mut actions = Vec::new();
            self.session.handle(next, &mut actions);
            for action in actions {
                self.act(action, &mut events);
            }
        }
    }

    fn act(&mut self, action: Action, events: &mut VecDeque<Event>) {
        match action {
            Action::RequestServer { .. } => self.requested += 1,
            Action::ToServer(bytes) => {
                let server = self
                    .server
                    .as_mut()
                    .expect("bytes are only sent to an attached server");
                let answers = server.answer(&bytes);
                if self.server_answers {
                    let answers = answers.into_iter().map(DecodeResult::Frame);
                    events.extend(answers.map(Event::Server));
                }
            }
            Action::ToClient(bytes) => self.client_bytes.extend_from_slice(&bytes),
            Action::ResponseStarted => self.responses_started += 1,
            Action::TransactionDone => self.transactions_done += 1,
            Action::NotRetryable => self.not_retryable += 1,
            Action::Release(_) => {
                self.released += 1;
                if let Some(server) = self.server.take() {
                    assert_eq!(
                        server.status,
                        TransactionStatus::Idle,
                        "a server is released in a transaction"
                    );
                    assert!(
                        !server.has_open_batch,
                        "a server is released before the end of a batch"
                    );
                    self.executed.extend(server.executed);
                }
            }
            Action::DiscardServer => {
                self.discarded += 1;
                if let Some(server) = self.server.take() {
                    self.executed.extend(server.executed);
                }
            }
            Action::End => self.ended = true,
        }
    }

    /// Sends messages from the client.
    pub(super) fn client(&mut self, messages: &[Vec<Frame>]) {
        for frame in messages.iter().flatten() {
            self.handle(Event::Client(DecodeResult::Frame(frame.clone())));
        }
    }

    /// Sends a message from the server, independent of the fake server's state.
    pub(super) fn server_sends(&mut self, frame: Frame) {
        self.handle(Event::Server(DecodeResult::Frame(frame)));
    }

    pub(super) fn attach(&mut self) {
        self.server = Some(FakeServer::default());
        self.handle(Event::Attached(ServerState::default()));
    }

    pub(super) fn lose_server(&mut self) {
        self.handle(Event::ServerLost);
    }

    pub(super) fn has_requested_server(&self) -> bool {
        matches!(self.session.server_link, ServerLink::Requested { .. })
    }

    /// Returns the tags of all messages sent to the client since the last call. Errors are shown as SQLSTATE,
    /// `ReadyForQuery` as `Z` followed by the status byte.
    pub(super) fn responses(&mut self) -> String {
        let mut decoder = FrameDecoder::default();
        decoder.push(&std::mem::take(&mut self.client_bytes));
        let mut responses = Vec::new();
        while let Some(message) = decoder.next_from_server().expect("good frames") {
            if let DecodeResult::Frame(frame) = message {
                responses.push(describe_response(&frame));
            }
        }
        responses.join(" ")
    }
}

fn describe_response(frame: &Frame) -> String {
    match frame.tag {
        b'E' => {
            let code = frame
                .body
                .split(|byte| *byte == 0)
                .find(|field| field.first() == Some(&b'C'));
            String::from_utf8_lossy(&code.expect("a code")[1..]).into_owned()
        }
        b'Z' => format!("Z{}", char::from(frame.body[0])),
        tag => char::from(tag).to_string(),
    }
}

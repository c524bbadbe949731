//! One client's session: what it has sent and is owed, the server connection that it has at the moment, and what is
//! done when that is lost. Groups of messages (all up to a `Sync`, `Query` or `FunctionCall`, each of which is answered
//! by one `ReadyForQuery`) go to a server one after the other, so that it is always known which of them may have run.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow".

mod client_messages;
mod local_answers;
mod server;
mod server_loss;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use crate::frame::{DecodeResult, Frame};
use crate::prepared_statements::{ClientStatements, ServerStatements, StatementText};
use crate::server_messages::{ErrorReason, TransactionStatus};
use crate::settings::{ClientSettings, ServerSettings};
use crate::sql_analysis::{StatementEffects, StickyReason};

/// With so many bytes held for a client no more are read from it. One frame more than that may come.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Groups that a client may have sent ahead; with more, no more are read from it.
const AHEAD: usize = 64;
/// Messages of a group; more are a protocol error, as none of them would be answered before its end.
const MOST_MESSAGES: usize = 4096;

/// What is known of a server connection, whoever has it.
#[derive(Debug, Default)]
pub struct ServerState {
    /// What is prepared there.
    pub prepared: ServerStatements,
    /// What its settings are.
    pub settings: ServerSettings,
}

/// What a session hears.
#[derive(Debug)]
pub enum Event {
    /// From the client.
    Client(DecodeResult),
    /// A server connection is at its disposal, in this state.
    Attached(ServerState),
    /// From the server.
    Server(DecodeResult),
    /// The server connection is lost, or was given up.
    ServerLost,
    /// What it has asked for is refused: nothing ran, or it does no harm.
    Rejected {
        /// How long the client should stay away, in milliseconds.
        retry_after_ms: u64,
    },
    /// What it has asked for has failed.
    RequestFailed,
    /// The client has gone.
    ClientDisconnected,
}

/// What a session says.
#[derive(Debug)]
pub enum Action {
    /// A transaction wants a server.
    RequestServer {
        /// It is one statement outside any transaction block, or the first one of a transaction that can change
        /// nothing, so that it may be sent again where its class allows.
        single_statement: bool,
    },
    /// To the server.
    ToServer(Bytes),
    /// To the client.
    ToClient(Bytes),
    /// Something of the transaction's answer goes to the client now: it must not be sent again.
    ResponseStarted,
    /// The transaction is over, and answered.
    TransactionDone,
    /// What the server was meant for has been sent before and may not be sent again.
    NotRetryable,
    /// The server connection is free for others, in this state.
    Release(ServerState),
    /// The server connection is of no further use to anybody.
    DiscardServer,
    /// The session ends; close the client's connection once all is written.
    End,
}

/// What a message does to the client's prepared statements once it is answered; the empty name is the unnamed one.
#[derive(Clone, Debug)]
enum Effect {
    Set(Bytes, StatementText),
    Remove(Bytes),
}

/// What a message sent to the server will be answered by.
#[derive(Debug)]
enum ExpectedResponse {
    /// `ParseComplete`.
    Parse {
        /// ServerStatements under a name of the node's: not there if it fails.
        text: Option<StatementText>,
        effect: Option<Effect>,
        /// The node sends it by itself.
        own: bool,
        /// The node's name, and the client's that is to stand in an error instead of it.
        named_here: Option<(Bytes, Bytes)>,
    },
    /// `BindComplete`.
    Bind,
    /// `CloseComplete`; of the node's own, if it is not the client's.
    Close { own: bool, effect: Option<Effect> },
    /// `RowDescription` or `NoData`.
    Describe,
    /// `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute,
    /// `ReadyForQuery` behind a `Query` or `FunctionCall`.
    Query,
    /// `ReadyForQuery` behind a `Sync`.
    Sync,
    /// All up to `ReadyForQuery` is the node's own: settings, or a BEGIN that has been answered.
    Setup,
    /// Nothing: the node answers it, when all before it are.
    Answered(Frame, Effect),
}

/// Messages that are answered by one `ReadyForQuery`.
#[derive(Debug, Default)]
struct MessageBatch {
    /// All of them: they are kept until the answer, for a server that may be another.
    frames: Vec<Frame>,
    /// The last one has come.
    closed: bool,
    /// All up to here is to be sent now (`Flush`).
    flushed: usize,
    /// So many of them have been sent.
    sent: usize,
    /// It has failed before its Sync came: all up to that is passed over.
    skips: bool,
    /// `CloseComplete`s of it that the client has had.
    closed_told: usize,
    /// What its statements are, as far as it has come when that was asked first.
    reading: Option<Rc<StatementEffects>>,
}

impl MessageBatch {
    /// Whether it closes statements and portals and does nothing else.
    fn only_closes(&self) -> bool {
        self.frames
            .iter()
            .all(|frame| matches!(frame.tag, b'C' | b'S' | b'H'))
    }

    /// How far it may be sent now.
    fn ready(&self) -> usize {
        if self.closed {
            self.frames.len()
        } else {
            self.flushed
        }
    }

    fn held(&self) -> usize {
        self.frames.iter().map(Frame::wire_len).sum()
    }
}

#[derive(Debug)]
struct Server {
    state: ServerState,
    expect: VecDeque<ExpectedResponse>,
    /// The client's unnamed statement stands here.
    unnamed: bool,
    /// The client is to send data to be copied, and has not ended it.
    copies: bool,
    /// A Sync was sent before that, which the server passes over: the one behind the data takes its place.
    swallowed_sync: bool,
    /// The client's settings are tried here first; nothing else is sent until they have been taken.
    proving: bool,
    /// What the node sent by itself was turned down.
    setup_failed: Option<Frame>,
    /// All up to a Sync that has not come yet is passed over.
    skipping: bool,
    /// The BEGIN that was answered here has gone out.
    begun: bool,
}

#[derive(Debug, Default)]
enum Unit {
    /// Nothing is wanted.
    #[default]
    None,
    /// A server is wanted; whether one had it before that was lost.
    Asked { lost: bool },
    /// A server has it.
    Attached(Box<Server>),
}

/// A BEGIN that was answered here and goes out with the statement behind it.
#[derive(Clone, Debug)]
struct Begun {
    sql: Bytes,
    read_only: bool,
}

/// One client's session, from its first `ReadyForQuery` on.
#[derive(Debug, Default)]
pub struct Session {
    status: TransactionStatus,
    groups: VecDeque<MessageBatch>,
    held: usize,
    unit: Unit,
    settings: ClientSettings,
    named: ClientStatements,
    /// The client's unnamed statement.
    unnamed: Option<StatementText>,
    /// Names as they will be when all of the group that is under way is done.
    ahead: BTreeMap<Bytes, Option<StatementText>>,
    pin: Option<StickyReason>,
    /// Something of the unit's answer has gone to the client.
    started: bool,
    /// A COMMIT has been sent that is not answered.
    commits: bool,
    /// The last `CommandComplete` of a batch outside a block, until its Sync has committed it: drivers take it for the
    /// commit.
    completion: Option<Bytes>,
    /// A part of a row has gone to the client, and the rest has not.
    cut_short: bool,
    /// The server was lost in a copy behind a Sync that it had passed over: the client sends another one.
    another_sync: bool,
    /// The group that is under way has had an error.
    failed: bool,
    /// A name that its DEALLOCATE lets go of.
    deallocates: Option<Bytes>,
    begun: Option<Begun>,
    /// The server of its transaction is lost; only the end of that is taken.
    orphaned: bool,
    /// Why, until the client has been told.
    news: Option<ErrorReason>,
    /// Why, also after that.
    cause: Option<ErrorReason>,
    ended: bool,
}

impl Session {
    /// A session whose client wants these settings.
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether more should be read from the client.
    pub fn wants_more(&self) -> bool {
        !self.ended && self.held < MAX_BUFFERED_BYTES && self.groups.len() < AHEAD
    }

    /// Bytes that are held for the client, and groups of its messages that wait.
    pub fn backlog(&self) -> (usize, usize) {
        (self.held, self.groups.len())
    }

    /// Where the transaction stands, as the client knows it.
    pub fn status(&self) -> TransactionStatus {
        self.status
    }

    /// Why it is pinned to its server.
    pub fn pin(&self) -> Option<StickyReason> {
        self.pin
    }

    /// It keeps the server connection that it has until it ends.
    pub fn keep_server(&mut self) {
        self.pin.get_or_insert(StickyReason::Pooling);
    }

    /// Whether it has nothing under way or open anywhere.
    pub fn is_idle(&self) -> bool {
        self.status == TransactionStatus::Idle && self.groups.is_empty()
    }

    /// What the client's settings are, by name in small letters.
    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Whether a statement is under way on its server, so that a cancel can be meant for it.
    pub fn runs(&self) -> bool {
        matches!(&self.unit, Unit::Attached(_))
            && self.groups.front().is_some_and(|group| group.sent > 0)
    }

    /// Takes an event in and adds what is to be done.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.ended {
            // A server that comes too late is free at once: nothing was sent to it.
            if let Event::Attached(state) = event {
                actions.push(Action::Release(state));
            }
            return;
        }
        match event {
            Event::Client(cut) => self.client(cut, actions),
            Event::Attached(state) => self.attached(state, actions),
            Event::Server(cut) => self.server(cut, actions),
            Event::ServerLost => self.server_lost(actions),
            Event::Rejected { retry_after_ms } => {
                // Where it may have run after all, it was safe to repeat; but to say it never ran would be wrong.
                let ran = matches!(self.unit, Unit::Asked { lost: true });
                let reason = if ran {
                    ErrorReason::MayHaveRun
                } else {
                    ErrorReason::Rejected { retry_after_ms }
                };
                self.give_up(reason, actions);
            }
            Event::RequestFailed => {
                let reason = match (self.commits, self.status) {
                    (true, _) => ErrorReason::CommitUnknown,
                    (false, TransactionStatus::Idle) => ErrorReason::MayHaveRun,
                    (false, _) => ErrorReason::TransactionLost,
                };
                self.give_up(reason, actions);
            }
            Event::ClientDisconnected => self.gone(actions),
        }
        self.pump(actions);
    }

    /// Sends on what is ready to go.
    fn pump(&mut self, actions: &mut Vec<Action>) {
        while !self.ended {
            if let Unit::Attached(server) = &self.unit
                && server.skipping
                && !self.skip()
            {
                return;
            }
            let Some(head) = self.groups.front() else {
                return;
            };
            if head.ready() == 0 {
                return;
            }
            if self.orphaned {
                // Nothing of it is at any server: its end is awaited, so that all of it is known.
                if !head.closed {
                    return;
                }
                self.answer_orphan(actions);
                continue;
            }
            match self.unit {
                Unit::None => {
                    if self.answer_here(actions) {
                        continue;
                    }
                    self.ask(actions);
                    return;
                }
                Unit::Asked { .. } => return,
                Unit::Attached(_) => {
                    self.forward(actions);
                    return;
                }
            }
        }
    }

    fn ask(&mut self, actions: &mut Vec<Action>) {
        let reading = self.reading_of_head();
        let closed = self.groups.front().is_some_and(|head| head.closed);
        let plain = matches!(
            reading.steps[..],
            [] | [crate::sql_analysis::TransactionStep::Other]
        ) && reading.pin.is_none();
        let first = self.begun.as_ref().is_some_and(|begun| begun.read_only);
        self.unit = Unit::Asked { lost: false };
        self.started = false;
        actions.push(Action::RequestServer {
            single_statement: closed && plain && (self.status == TransactionStatus::Idle || first),
        });
    }
}

fn send_frame(frame: &Frame, actions: &mut Vec<Action>) {
    let mut bytes = BytesMut::new();
    frame.write(&mut bytes);
    actions.push(Action::ToClient(bytes.freeze()));
}

#[cfg(test)]
mod tests;

//! One client's session: the messages that it has sent and that are not answered, the server connection that it has at
//! the moment, and what happens when that is lost.
//!
//! Batches of messages (up to a `Sync`, `Query` or `FunctionCall`) go to a server one after the other, so that it is
//! always known which of them may have run. The session's need for a server goes through these states:
//!
//! ```text
//!            a batch is ready               Attached
//!    None ---------------------> Requested ----------> Attached
//!     ^                           |    ^                |    |
//!     |   Rejected, RequestFailed |    |   ServerLost   |    |
//!     +---------------------------+    +----------------+    |
//!     +------------------------------------------------------+
//!            the transaction is over, the session not sticky
//! ```
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow".

mod client_messages;
mod event;
mod forwarding;
mod local_responses;
mod message_batch;
mod message_writer;
mod server_link;
mod server_loss;
mod server_responses;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

pub use self::event::{Action, Event, ServerState};
use self::message_batch::MessageBatch;
use self::server_link::{NameChange, ServerLink};
use crate::extended_query::StatementText;
use crate::frame::Frame;
use crate::prepared_statements::ClientStatements;
use crate::server_messages::{ErrorReason, TransactionStatus};
use crate::settings::ClientSettings;
use crate::sql_analysis::{AccessMode, StatementEffects, TransactionStep};
use crate::sticky::StickyReason;

/// With this many bytes buffered for a client no more are read from it. One message more than that may come.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// With this many batches of a client waiting no more are read from it.
pub const MAX_PENDING_BATCHES: usize = 64;
/// Most messages of a batch; more are a protocol violation, as none of them would be answered before its end.
const MAX_BATCH_MESSAGES: usize = 4096;

/// What a session has buffered for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Size of the messages on the wire, in bytes.
    pub bytes: usize,
    /// Batches that are not answered.
    pub batches: usize,
}

/// A BEGIN that was answered locally and is sent to the server together with the statement behind it.
#[derive(Clone, Debug)]
struct DeferredBegin {
    sql: Bytes,
    access_mode: AccessMode,
}

/// One client's session, from its first `ReadyForQuery` on.
#[derive(Debug, Default)]
pub struct Session {
    /// Status of the transaction, as the client knows it.
    status: TransactionStatus,
    /// Batches that are not answered, the one under way first.
    batches: VecDeque<MessageBatch>,
    /// Size of the batches' messages on the wire.
    buffered_bytes: usize,
    server_link: ServerLink,
    settings: ClientSettings,
    named_statements: ClientStatements,
    unnamed_statement: Option<StatementText>,
    /// Changes of the client's statements by messages of the batch under way that are not answered; `None` for a
    /// statement that is closed.
    pending_names: BTreeMap<Bytes, Option<StatementText>>,
    sticky_reason: Option<StickyReason>,
    /// A part of the transaction's response has gone to the client.
    response_started: bool,
    /// A COMMIT has been sent that is not answered.
    commit_in_flight: bool,
    /// The last `CommandComplete` of a batch outside a transaction block, held back until the batch's `Sync` has
    /// committed it: drivers take it for the commit.
    delayed_completion: Option<Bytes>,
    /// A part of a row has gone to the client, and the rest has not.
    is_row_incomplete: bool,
    /// The server was lost in a copy behind a `Sync` that it had ignored: the client sends another one.
    expects_second_sync: bool,
    /// The batch under way has had an error.
    batch_failed: bool,
    /// Name of the client's statement that the DEALLOCATE of the batch under way removes.
    deallocated_name: Option<Bytes>,
    deferred_begin: Option<DeferredBegin>,
    /// The server of the open transaction is lost; only the end of the transaction is accepted.
    transaction_lost: bool,
    /// Why the transaction is lost, until the client has got an error about it.
    unreported_loss: Option<ErrorReason>,
    /// Why the last request for a server came to nothing, also after the client knows.
    loss_reason: Option<ErrorReason>,
    ended: bool,
}

impl Session {
    /// A session whose client wants these settings.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether more should be read from the client.
    #[must_use]
    pub fn accepts_client_messages(&self) -> bool {
        !self.ended
            && self.buffered_bytes < MAX_BUFFERED_BYTES
            && self.batches.len() < MAX_PENDING_BATCHES
    }

    /// What is buffered for the client.
    #[must_use]
    pub fn backlog(&self) -> Backlog {
        Backlog {
            bytes: self.buffered_bytes,
            batches: self.batches.len(),
        }
    }

    /// Status of the transaction, as the client knows it.
    #[must_use]
    pub fn status(&self) -> TransactionStatus {
        self.status
    }

    /// Why the session keeps its server connection between transactions, if it does.
    #[must_use]
    pub fn sticky_reason(&self) -> Option<StickyReason> {
        self.sticky_reason
    }

    /// Makes the session keep the server connection that it has until it ends.
    pub fn keep_server(&mut self) {
        self.sticky_reason.get_or_insert(StickyReason::Pooling);
    }

    /// Whether no transaction is open and no message is unanswered.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.status == TransactionStatus::Idle && self.batches.is_empty()
    }

    /// The client's settings.
    #[must_use]
    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Whether the server has a message of the client's that is not answered, so that a cancel request may be meant
    /// for it.
    #[must_use]
    pub fn is_running(&self) -> bool {
        matches!(&self.server_link, ServerLink::Attached(_))
            && self
                .batches
                .front()
                .is_some_and(|batch| batch.sent_count > 0)
    }

    /// Handles an event and adds the actions that follow from it.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.ended {
            // A server connection that comes too late is free at once: nothing was sent to it.
            if let Event::Attached(state) = event {
                actions.push(Action::Release(state));
            }
            return;
        }
        match event {
            Event::Client(message) => self.on_client_message(message, actions),
            Event::Attached(state) => self.on_attached(state, actions),
            Event::Server(message) => self.on_server_message(message, actions),
            Event::ServerLost => self.on_server_lost(actions),
            Event::Rejected { retry_after_ms } => self.on_rejected(retry_after_ms, actions),
            Event::RequestFailed => self.on_request_failed(actions),
            Event::ClientDisconnected => self.end(actions),
        }
        self.advance(actions);
    }

    /// Goes on with the first batch, and with those behind it where it can be answered locally.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        while !self.ended && self.drop_ignored_messages() && self.first_batch_is_ready() {
            if self.transaction_lost {
                // The batch is at no server. All of it has to be known, so its end is awaited.
                if !self.batches.front().is_some_and(|batch| batch.is_complete) {
                    return;
                }
                self.respond_in_lost_transaction(actions);
                continue;
            }
            match self.server_link {
                ServerLink::None => {
                    if !self.respond_locally(actions) {
                        self.request_server(actions);
                        return;
                    }
                }
                ServerLink::Requested { .. } => return,
                ServerLink::Attached(_) => {
                    self.forward(actions);
                    return;
                }
            }
        }
    }

    /// Whether there is something of the first batch that may be sent.
    fn first_batch_is_ready(&self) -> bool {
        self.batches
            .front()
            .is_some_and(|batch| batch.ready_count() > 0)
    }

    fn request_server(&mut self, actions: &mut Vec<Action>) {
        let effects = self.first_batch_effects();
        let is_complete = self.batches.front().is_some_and(|batch| batch.is_complete);
        let is_single = matches!(effects.steps[..], [] | [TransactionStep::Other])
            && effects.sticky_reason.is_none();
        let is_first_of_read_only = self
            .deferred_begin
            .as_ref()
            .is_some_and(|begin| begin.access_mode == AccessMode::ReadOnly);
        let may_repeat = self.status == TransactionStatus::Idle || is_first_of_read_only;
        self.server_link = ServerLink::Requested {
            is_replacement: false,
        };
        self.response_started = false;
        actions.push(Action::RequestServer {
            single_statement: is_complete && is_single && may_repeat,
        });
    }

    /// What the statements of the first batch do, as far as their texts are known.
    fn first_batch_effects(&mut self) -> Rc<StatementEffects> {
        let Some(batch) = self.batches.front_mut() else {
            return Rc::default();
        };
        if let Some(effects) = &batch.effects {
            return effects.clone();
        }
        let effects = batch.analyze(&mut self.named_statements, self.unnamed_statement.as_ref());
        if batch.is_complete {
            batch.effects = Some(effects.clone());
        }
        effects
    }

    /// Removes the first batch; its messages are not buffered any more.
    fn remove_first_batch(&mut self) -> Option<MessageBatch> {
        let batch = self.batches.pop_front()?;
        self.buffered_bytes = self.buffered_bytes.saturating_sub(batch.wire_len());
        Some(batch)
    }

    /// Changes the client's statements once the message that does so is answered.
    fn apply_name_change(&mut self, change: NameChange) {
        match change {
            NameChange::Set { name, text } if name.is_empty() => {
                self.unnamed_statement = Some(text);
            }
            NameChange::Remove(name) if name.is_empty() => self.unnamed_statement = None,
            // The limit was checked when the message was sent.
            NameChange::Set { name, text } => drop(self.named_statements.insert(name, text)),
            NameChange::Remove(name) => self.named_statements.remove(&name),
        }
    }

    /// Ends the session. A server connection with anything left on it is dropped, and with it what was not committed.
    fn end(&mut self, actions: &mut Vec<Action>) {
        self.ended = true;
        if let ServerLink::Attached(server) = std::mem::take(&mut self.server_link) {
            let is_clean = self.status == TransactionStatus::Idle
                && server.expected.is_empty()
                && self.sticky_reason.is_none()
                && !server.skips_to_sync;
            actions.push(if is_clean {
                Action::Release(server.state)
            } else {
                Action::DiscardServer
            });
        }
        self.batches.clear();
        self.buffered_bytes = 0;
        actions.push(Action::End);
    }
}

/// The bytes of a message on the wire.
fn encode(frame: &Frame) -> Bytes {
    let mut buffer = BytesMut::new();
    frame.write(&mut buffer);
    buffer.freeze()
}

fn send_to_client(frame: &Frame, actions: &mut Vec<Action>) {
    actions.push(Action::ToClient(encode(frame)));
}

#[cfg(test)]
mod tests;

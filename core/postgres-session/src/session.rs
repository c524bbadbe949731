//! One client's session: the client's unanswered messages, the server connection that the session currently uses, and
//! the handling of a lost server connection.
//!
//! A batch is all messages up to a `Sync`, `Query` or `FunctionCall`. Batches are sent to a server one at a time, so
//! that the session can always tell which of them may have run. `ServerLink` goes through these states:
//!
//! ```text
//!            a batch is ready               Attached
//!    None ---------------------> Requested ----------> Attached
//!     ^                           |    ^                |    |
//!     |   Rejected, RequestFailed |    |   ServerLost   |    |
//!     +---------------------------+    +----------------+    |
//!     +------------------------------------------------------+
//!            the transaction has ended and the session is not sticky
//! ```
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow".

mod batch_effects;
mod buffering;
mod client_messages;
mod event;
mod forwarding;
mod local_responses;
mod lost_transaction;
mod message_batch;
mod message_writer;
mod server_link;
mod server_loss;
mod server_responses;
mod statement_names;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use self::batch_effects::KnownStatements;
pub use self::buffering::{Backlog, BufferLimits, HeldMessages, MAX_PENDING_BATCHES};
pub use self::event::{Action, Event, ServerState};
use self::lost_transaction::BoundEnd;
use self::message_batch::MessageBatch;
use self::server_link::{NameChange, ServerLink};
use crate::extended_query::StatementText;
use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::prepared_statements::ClientStatements;
use crate::server_messages::{ErrorReason, TransactionStatus};
use crate::settings::ClientSettings;
use crate::sql_analysis::{AccessMode, StatementEffects, TransactionStep};
use crate::sticky::StickyReason;

/// A BEGIN that was answered locally and is sent to the server together with the next statement.
#[derive(Clone, Debug)]
struct DeferredBegin {
    sql: Bytes,
    access_mode: AccessMode,
}

/// One client's session, starting with the first `ReadyForQuery`.
#[derive(Debug, Default)]
pub struct Session {
    /// Transaction status from the client's point of view.
    status: TransactionStatus,
    /// Unanswered batches, oldest first; only the first one is sent to a server.
    batches: VecDeque<MessageBatch>,
    /// Wire size of all messages in `batches`, in bytes.
    buffered_bytes: usize,
    buffer_limits: BufferLimits,
    server_link: ServerLink,
    settings: ClientSettings,
    named_statements: ClientStatements,
    unnamed_statement: Option<StatementText>,
    /// Changes to the client's statements by unanswered messages of the current batch, by statement name; `None` for a
    /// closed statement.
    pending_names: BTreeMap<Bytes, Option<StatementText>>,
    sticky_reason: Option<StickyReason>,
    /// Part of the transaction's response has been sent to the client.
    response_started: bool,
    /// A COMMIT has been sent and not answered.
    commit_in_flight: bool,
    /// The last `CommandComplete` of a batch outside a transaction block, delayed until the batch's `Sync` has
    /// committed the batch, because drivers treat `CommandComplete` as the commit.
    delayed_completion: Option<Bytes>,
    /// Only part of a streamed message (`DataRow` or `CopyData`) has been sent to the client.
    is_row_incomplete: bool,
    /// Only part of a `CopyData` message has been received from the client.
    is_copy_message_incomplete: bool,
    /// The server was lost during a copy, after ignoring a `Sync`; the client sends a second `Sync` after the data.
    expects_second_sync: bool,
    /// The current batch received an `ErrorResponse`.
    batch_failed: bool,
    /// Name of the client's statement that a DEALLOCATE in the current batch removes.
    deallocated_name: Option<Bytes>,
    deferred_begin: Option<DeferredBegin>,
    /// The BEGIN of the open transaction block; `None` if the block's modes are not known, or no block is open. A chained
    /// end begins a block with the same modes.
    block_begin: Option<DeferredBegin>,
    /// The server of the open transaction is lost; only the end of the transaction is accepted.
    transaction_lost: bool,
    /// The portal that ends the lost transaction, if one is bound.
    bound_end: Option<BoundEnd>,
    /// Why the open transaction was lost; set until the client has received that error.
    unreported_loss: Option<ErrorReason>,
    /// Reason of the last failed request for a server; kept after the client has received the error.
    loss_reason: Option<ErrorReason>,
    ended: bool,
}

impl Session {
    /// Creates an idle session without a server connection. `settings` come from the client's start-up message.
    #[must_use]
    pub fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Like [`Self::new`], with other limits than the default.
    #[must_use]
    pub fn with_buffer_limits(settings: ClientSettings, buffer_limits: BufferLimits) -> Self {
        Self {
            buffer_limits,
            ..Self::new(settings)
        }
    }

    /// Transaction status from the client's point of view.
    #[must_use]
    pub fn status(&self) -> TransactionStatus {
        self.status
    }

    /// Why the session keeps its server connection between transactions; `None` if it releases the connection.
    #[must_use]
    pub fn sticky_reason(&self) -> Option<StickyReason> {
        self.sticky_reason
    }

    /// Makes the session keep its server connection until the session ends.
    pub fn keep_server(&mut self) {
        self.sticky_reason.get_or_insert(StickyReason::Pooling);
    }

    /// Whether no transaction is open and every message is answered.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.status == TransactionStatus::Idle && self.batches.is_empty()
    }

    /// The settings that server connections get for this client.
    #[must_use]
    pub fn settings(&self) -> &ClientSettings {
        &self.settings
    }

    /// Whether a client message is unanswered at the server, so that a cancel request can apply to it.
    #[must_use]
    pub fn is_running(&self) -> bool {
        matches!(&self.server_link, ServerLink::Attached(_))
            && self.batches.front().is_some_and(MessageBatch::is_started)
    }

    /// Handles an event and appends the resulting actions, in the order in which the caller must perform them.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.ended {
            // A server connection attached after the end is released unused.
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

    /// Forwards or answers the first batch, and the following ones as long as batches are answered locally.
    fn advance(&mut self, actions: &mut Vec<Action>) {
        while !self.ended && self.drop_ignored_messages() {
            self.flush_full_batch();
            if !self.first_batch_is_ready() {
                return;
            }
            if self.transaction_lost || self.continues_local_responses() {
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

    /// Whether the first batch has messages that may be sent.
    fn first_batch_is_ready(&self) -> bool {
        self.batches
            .front()
            .is_some_and(|batch| batch.ready_count() > 0)
    }

    /// Whether the next message of the first batch is a `Sync` or `Flush` behind messages that were answered without a
    /// server.
    fn continues_local_responses(&self) -> bool {
        self.batches.front().is_some_and(|batch| {
            let next = batch.frames.first().map(|frame| frame.tag);
            batch.has_local_responses && matches!(next, Some(frontend::SYNC | frontend::FLUSH))
        })
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

    /// Effects of the first batch's statements whose texts are known.
    fn first_batch_effects(&mut self) -> Rc<StatementEffects> {
        let Some(batch) = self.batches.front_mut() else {
            return Rc::default();
        };
        batch.analyze(&mut KnownStatements {
            named: &mut self.named_statements,
            unnamed: self.unnamed_statement.as_ref(),
            pending: &self.pending_names,
        })
    }

    /// Removes the first batch and subtracts its size from `buffered_bytes`.
    fn remove_first_batch(&mut self) -> Option<MessageBatch> {
        let batch = self.batches.pop_front()?;
        self.buffered_bytes = self.buffered_bytes.saturating_sub(batch.wire_len());
        Some(batch)
    }

    /// Applies a change to the client's statements after its message has been answered.
    fn apply_name_change(&mut self, change: NameChange) {
        match change {
            NameChange::Set { name, text } if name.is_empty() => {
                self.unnamed_statement = Some(text);
            }
            NameChange::Remove(name) if name.is_empty() => self.unnamed_statement = None,
            // The limit was checked before the `Parse` was sent.
            NameChange::Set { name, text } => drop(self.named_statements.insert(name, text)),
            NameChange::Remove(name) => self.named_statements.remove(&name),
        }
    }

    /// Gives up the server connection, if there is one. A connection with an open transaction, an unfinished batch or
    /// session state is discarded instead of released, which rolls back uncommitted changes.
    fn detach_server(&mut self, actions: &mut Vec<Action>) {
        let ServerLink::Attached(server) = std::mem::take(&mut self.server_link) else {
            return;
        };
        let is_reusable = self.status == TransactionStatus::Idle
            && self.sticky_reason.is_none()
            && server.is_reusable();
        actions.push(if is_reusable {
            Action::Release(server.state)
        } else {
            Action::DiscardServer
        });
    }

    /// Ends the session.
    fn end(&mut self, actions: &mut Vec<Action>) {
        self.ended = true;
        self.detach_server(actions);
        self.batches.clear();
        self.buffered_bytes = 0;
        actions.push(Action::End);
    }
}

/// Encodes a message for the wire.
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

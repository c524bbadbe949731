//! Sends the client's settings and batches to the server connection.

use bytes::{Bytes, BytesMut};

use super::message_writer::{MessageWriter, query_frame};
use super::server_link::{ExpectedResponse, ServerConnection, ServerLink};
use super::statement_names::StatementNames;
use super::{Action, ServerState, Session, encode};
use crate::extended_query::MalformedMessage;
use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::server_messages::TransactionStatus;
use crate::sql_analysis::StatementEffects;

impl Session {
    /// Handles an attached server connection: applies the client's settings before any batch is sent.
    pub(super) fn on_attached(&mut self, state: ServerState, actions: &mut Vec<Action>) {
        let ServerLink::Requested { is_replacement } = self.server_link else {
            // The connection was not requested or is no longer needed.
            actions.push(Action::Release(state));
            return;
        };
        if is_replacement && !self.may_retry() {
            actions.push(Action::Release(state));
            actions.push(Action::NotRetryable);
            return;
        }
        let mut server = ServerConnection::new(state);
        if let Some(sql) = server.state.settings.sql_to_apply(&self.settings) {
            server.is_checking_settings = !self.settings.is_accepted_by_server();
            server.expected.push_back(ExpectedResponse::Setup);
            let setup = query_frame(sql.as_bytes());
            actions.push(Action::ToServer(encode(&setup)));
        }
        self.server_link = ServerLink::Attached(Box::new(server));
        for batch in &mut self.batches {
            batch.sent_count = 0;
        }
    }

    /// Whether the current batch may be sent to a second server: all of its messages are still there, the client has
    /// received no part of the response, the first server had no open transaction, and no COMMIT is unanswered.
    fn may_retry(&self) -> bool {
        let is_open_at_server =
            self.status != TransactionStatus::Idle && self.deferred_begin.is_none();
        let is_streamed = self.batches.front().is_some_and(|batch| batch.is_streamed);
        !self.response_started && !is_open_at_server && !self.commit_in_flight && !is_streamed
    }

    /// Sends the messages of the first batch that are ready and unsent.
    pub(super) fn forward(&mut self, actions: &mut Vec<Action>) {
        let Some(frames) = self.unsent_frames() else {
            return;
        };
        let effects = self.first_batch_effects();
        self.record_sent_effects(&effects);
        let mut buffer = BytesMut::new();
        self.write_deferred_begin(&mut buffer);
        let Some(batch) = self.batches.front_mut() else {
            return;
        };
        batch.sent_count = batch.ready_count();
        let is_alone = batch.sent_count == 1 && !batch.is_streamed;
        let awaits_more = !batch.is_complete && !batch.ends_with(frontend::FLUSH);
        for frame in &frames {
            if self.write_message(frame, is_alone, &mut buffer).is_err() {
                return self.reject_violation(None, actions);
            }
        }
        if awaits_more {
            // Otherwise the server could keep its responses until the end of the batch, for which the session has to
            // wait once too many messages are unanswered.
            Frame::new(frontend::FLUSH, Bytes::new()).write(&mut buffer);
        }
        if !buffer.is_empty() {
            actions.push(Action::ToServer(buffer.freeze()));
            if let ServerLink::Attached(server) = &mut self.server_link {
                server.has_open_batch = true;
            }
        }
        self.drop_sent_messages();
        self.send_local_responses(actions);
    }

    /// Returns the messages of the first batch to send now; `None` if there are none or the server is still checking
    /// the client's settings.
    fn unsent_frames(&mut self) -> Option<Vec<Frame>> {
        let ServerLink::Attached(server) = &self.server_link else {
            return None;
        };
        let batch = self.batches.front()?;
        let unsent = batch.sent_count..batch.ready_count();
        if server.is_checking_settings || unsent.is_empty() {
            return None;
        }
        let frames = batch.frames[unsent].to_vec();
        if !batch.is_started() {
            self.pending_names.clear();
            self.batch_failed = false;
            self.deallocated_name = None;
        }
        Some(frames)
    }

    /// Updates the session and the server connection for statements that are about to be sent.
    fn record_sent_effects(&mut self, effects: &StatementEffects) {
        self.commit_in_flight |= effects.commits();
        if effects.may_change_transaction_modes {
            self.block_begin = None;
        }
        self.sticky_reason = self.sticky_reason.or(effects.sticky_reason);
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        if effects.deallocates_all {
            server.state.prepared.clear();
        }
        if effects.resets_all_settings {
            server.state.settings.forget_unreported();
        }
    }

    /// Writes the deferred BEGIN, once per server connection.
    fn write_deferred_begin(&mut self, buffer: &mut BytesMut) {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        let Some(begin) = &self.deferred_begin else {
            return;
        };
        if server.begin_sent {
            return;
        }
        server.begin_sent = true;
        server.expected.push_back(ExpectedResponse::Setup);
        query_frame(&begin.sql).write(buffer);
    }

    fn write_message(
        &mut self,
        frame: &Frame,
        is_alone: bool,
        buffer: &mut BytesMut,
    ) -> Result<(), MalformedMessage> {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return Ok(());
        };
        let mut writer = MessageWriter {
            server,
            names: StatementNames {
                named: &self.named_statements,
                unnamed: self.unnamed_statement.as_ref(),
                pending: &mut self.pending_names,
            },
            status: self.status,
            deallocated_name: &mut self.deallocated_name,
            buffer,
        };
        writer.write(frame, is_alone)
    }

    /// After an error, drops the messages that the server ignores, up to but excluding the next `Sync`. Returns false
    /// if that `Sync` has not been received yet.
    pub(super) fn drop_ignored_messages(&mut self) -> bool {
        let is_skipping = matches!(
            &self.server_link,
            ServerLink::Attached(server) if server.skips_to_sync
        );
        if !is_skipping {
            return true;
        }
        while let Some(batch) = self.batches.front_mut() {
            self.buffered_bytes = self.buffered_bytes.saturating_sub(batch.wire_len());
            if !batch.is_complete {
                batch.drop_ignored(0);
                return false;
            }
            if batch.ends_with(frontend::SYNC) {
                self.keep_only_sync();
                return true;
            }
            // An ignored `Query` gets no response.
            self.batches.pop_front();
        }
        false
    }

    /// Reduces the first batch to its `Sync`, after which the server handles messages again. The batch's size must
    /// already be subtracted from `buffered_bytes`.
    fn keep_only_sync(&mut self) {
        let Some(batch) = self.batches.front_mut() else {
            return;
        };
        batch.drop_ignored(1);
        self.buffered_bytes += batch.wire_len();
        if let ServerLink::Attached(server) = &mut self.server_link {
            server.skips_to_sync = false;
        }
    }
}

//! Error responses to the client after a lost server connection or a failed request for a server.

use super::message_batch::MessageBatch;
use super::server_link::ServerLink;
use super::{Action, Session, send_to_client};
use crate::message_tags::frontend;
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::sql_analysis::TransactionStep;

impl Session {
    /// Handles a lost or unusable server connection: waits for a replacement or ends the session.
    pub(super) fn on_server_lost(&mut self, actions: &mut Vec<Action>) {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        let setup_error = server.setup_error.take();
        let settings_error = setup_error.filter(|_| server.is_checking_settings);
        self.expects_second_sync = server.has_ignored_sync;
        actions.push(Action::DiscardServer);
        self.pending_names.clear();
        self.delayed_completion = None;
        self.server_link = ServerLink::Requested {
            is_replacement: true,
        };
        if self.is_row_incomplete {
            // The client cannot read any message after a partial one.
            self.end_without_server(actions);
        } else if let Some(error) = settings_error {
            // The server rejected the client's settings: forward the server's error.
            send_to_client(&server_messages::with_fatal_severity(&error), actions);
            self.end_without_server(actions);
        } else if self.sticky_reason.is_some() {
            self.end_sticky_session(actions);
        }
    }

    /// Ends a sticky session, because its state on the lost server cannot be restored on another one.
    fn end_sticky_session(&mut self, actions: &mut Vec<Action>) {
        let reason = if self.commit_in_flight {
            ErrorReason::CommitUnknown
        } else {
            ErrorReason::MayHaveRun
        };
        let detail = "the session was bound to the lost server connection and ends";
        send_to_client(
            &server_messages::error_response(reason, Some(detail)),
            actions,
        );
        self.end_without_server(actions);
    }

    fn end_without_server(&mut self, actions: &mut Vec<Action>) {
        self.server_link = ServerLink::None;
        self.end(actions);
    }

    /// Handles the rejection of a request for a server.
    pub(super) fn on_rejected(&mut self, retry_after_ms: u64, actions: &mut Vec<Action>) {
        // A lost server may already have run the transaction, so the error must not claim that nothing ran.
        let may_have_run = matches!(
            self.server_link,
            ServerLink::Requested {
                is_replacement: true
            }
        );
        let reason = if may_have_run {
            ErrorReason::MayHaveRun
        } else {
            ErrorReason::Rejected { retry_after_ms }
        };
        self.fail_request(reason, actions);
    }

    /// Handles the failure of a request for a server.
    pub(super) fn on_request_failed(&mut self, actions: &mut Vec<Action>) {
        let reason = match (self.commit_in_flight, self.status) {
            (true, _) => ErrorReason::CommitUnknown,
            (false, TransactionStatus::Idle) => ErrorReason::MayHaveRun,
            (false, _) => ErrorReason::TransactionLost,
        };
        self.fail_request(reason, actions);
    }

    /// Answers the batches that a server was requested for with an error.
    fn fail_request(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        if !matches!(self.server_link, ServerLink::Requested { .. }) {
            return;
        }
        let is_block_open = self.status != TransactionStatus::Idle;
        // What the client sends behind a chained end belongs to the block that the chained end begins.
        let leaves_chained_block = self
            .first_batch_effects()
            .leaves_chained_block(is_block_open);
        self.server_link = ServerLink::None;
        self.deferred_begin = None;
        self.loss_reason = Some(if leaves_chained_block {
            ErrorReason::TransactionLost
        } else {
            reason
        });
        // The client must end the lost transaction with COMMIT or ROLLBACK, as after a failed statement.
        self.transaction_lost =
            leaves_chained_block || (is_block_open && reason != ErrorReason::CommitUnknown);
        self.status = if self.transaction_lost {
            TransactionStatus::Failed
        } else {
            self.block_begin = None;
            TransactionStatus::Idle
        };
        if self.is_between_statements() {
            // Report the error to the next statement, unless that statement rolls back.
            self.unreported_loss = self.transaction_lost.then_some(reason);
            if let Some(batch) = self.batches.front_mut() {
                batch.sent_count = 0;
            }
            return;
        }
        let count = self.count_batches_to_fail();
        self.commit_in_flight = false;
        let expects_second_sync = std::mem::take(&mut self.expects_second_sync);
        for _ in 0..count {
            if !self.fail_batch(reason, expects_second_sync, actions) {
                return;
            }
        }
    }

    /// Whether the server was lost between two statements: no batch is pending, or the transaction is lost and the
    /// first batch has not been sent or only closes statements. Drivers ignore errors in batches that only close
    /// statements.
    fn is_between_statements(&self) -> bool {
        self.batches.front().is_none_or(|batch| {
            self.transaction_lost && (!batch.is_started() || batch.only_closes())
        })
    }

    /// Returns the number of batches to answer with the error. If the first batch begins a transaction, the batches
    /// after it belong to that transaction and must not run outside it. In a lost transaction they are answered as such.
    fn count_batches_to_fail(&mut self) -> usize {
        if self.transaction_lost {
            return 1;
        }
        let effects = self.first_batch_effects();
        let begins_transaction = effects
            .steps
            .iter()
            .any(|step| matches!(step, TransactionStep::Begin(_)));
        if !begins_transaction {
            return 1;
        }
        let complete = self.batches.iter().filter(|batch| batch.is_complete);
        complete.count().max(1)
    }

    /// Answers the first batch with an error. Returns whether the batch has ended; otherwise its remaining messages are
    /// skipped, and its last `Sync` is answered when that arrives.
    fn fail_batch(
        &mut self,
        reason: ErrorReason,
        expects_second_sync: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let is_complete = self.batches.front().is_none_or(|batch| batch.is_complete);
        if is_complete && !expects_second_sync {
            self.reject_first_batch(reason, actions);
            return true;
        }
        send_to_client(&server_messages::error_response(reason, None), actions);
        if let Some(batch) = self.batches.front_mut() {
            self.buffered_bytes = self.buffered_bytes.saturating_sub(batch.wire_len());
            *batch = MessageBatch::skipped();
        }
        false
    }

    /// Answers the first batch, which must be complete, with an error.
    fn reject_first_batch(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        send_to_client(&server_messages::error_response(reason, None), actions);
        let is_unfinished = self
            .batches
            .front()
            .is_some_and(|batch| batch.frames.len() > 1 && !batch.ends_with(frontend::SYNC));
        if !is_unfinished || !self.skip_to_sync() {
            self.finish_first_batch(actions);
        }
    }

    /// Drops all messages up to the next `Sync`, as a server does after an error. Returns whether that `Sync` has not been
    /// received yet.
    pub(super) fn skip_to_sync(&mut self) -> bool {
        while let Some(batch) = self.remove_first_batch() {
            if !batch.is_complete {
                break;
            }
            if batch.ends_with(frontend::SYNC) {
                self.batches.push_front(MessageBatch::dropped());
                return false;
            }
        }
        self.batches.push_front(MessageBatch::skipped());
        true
    }
}

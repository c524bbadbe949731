//! What a client gets when its server is lost, or when none can be had.

use super::message_batch::MessageBatch;
use super::server_link::ServerLink;
use super::{Action, Session, send_to_client};
use crate::extended_query::ParseMessage;
use crate::message_tags::frontend;
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::sql_analysis::TransactionStep;

impl Session {
    /// The server connection is lost or can't be used: another one is awaited, or the session ends.
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
            // The client could not read anything behind a part of a row.
            self.end_without_server(actions);
        } else if let Some(error) = settings_error {
            // No server would accept its settings: the client gets the server's own error.
            send_to_client(&server_messages::with_fatal_severity(&error), actions);
            self.end_without_server(actions);
        } else if self.sticky_reason.is_some() {
            self.end_sticky_session(actions);
        }
    }

    /// Ends a session whose state on its server is lost, of which the client would not know.
    fn end_sticky_session(&mut self, actions: &mut Vec<Action>) {
        let reason = if self.commit_in_flight {
            ErrorReason::CommitUnknown
        } else {
            ErrorReason::MayHaveRun
        };
        let detail = "the session was pinned to that server and ends";
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

    /// The request for a server is rejected.
    pub(super) fn on_rejected(&mut self, retry_after_ms: u64, actions: &mut Vec<Action>) {
        // After a loss the first server may have run the transaction, and it would be wrong to say that it never ran.
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

    /// The request for a server has failed.
    pub(super) fn on_request_failed(&mut self, actions: &mut Vec<Action>) {
        let reason = match (self.commit_in_flight, self.status) {
            (true, _) => ErrorReason::CommitUnknown,
            (false, TransactionStatus::Idle) => ErrorReason::MayHaveRun,
            (false, _) => ErrorReason::TransactionLost,
        };
        self.fail_request(reason, actions);
    }

    /// Answers what a server was requested for with an error.
    fn fail_request(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        if !matches!(self.server_link, ServerLink::Requested { .. }) {
            return;
        }
        self.server_link = ServerLink::None;
        self.deferred_begin = None;
        self.loss_reason = Some(reason);
        // The client has to learn that a transaction has ended that it has neither committed nor rolled back.
        self.transaction_lost =
            self.status != TransactionStatus::Idle && reason != ErrorReason::CommitUnknown;
        self.status = if self.transaction_lost {
            TransactionStatus::Failed
        } else {
            TransactionStatus::Idle
        };
        if self.is_between_statements() {
            // The next statement gets the error, unless it ends the transaction.
            self.unreported_loss = self.transaction_lost.then_some(reason);
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

    /// Whether the server was lost between two statements: no batch is under way, or in a lost transaction one that
    /// only closes statements, as drivers do in passing and without a look at the response.
    fn is_between_statements(&self) -> bool {
        self.batches.front().is_none_or(|batch| {
            self.transaction_lost && (batch.sent_count == 0 || batch.only_closes())
        })
    }

    /// How many batches the loss of a server fails. What was sent behind the BEGIN of a transaction belongs to it and
    /// must not run outside of it.
    fn count_batches_to_fail(&mut self) -> usize {
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

    /// Answers the first batch with an error. Returns whether its end has come; otherwise its `Sync` is answered when
    /// it comes.
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

    /// Answers the first batch, of which all has come, with an error.
    fn reject_first_batch(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        send_to_client(&server_messages::error_response(reason, None), actions);
        if !self.skip_unfinished_batch() {
            self.finish_first_batch(actions);
        }
    }

    /// Drops a batch that ends in a `Query` behind other messages, with all up to a `Sync`, as a server ignores these
    /// after an error. Returns whether the first batch is such a one and its `Sync` has not come.
    fn skip_unfinished_batch(&mut self) -> bool {
        let is_unfinished = self
            .batches
            .front()
            .is_some_and(|batch| batch.frames.len() > 1 && !batch.ends_with(frontend::SYNC));
        if !is_unfinished {
            return false;
        }
        while let Some(batch) = self.remove_first_batch() {
            if !batch.is_complete {
                break;
            }
            if batch.ends_with(frontend::SYNC) {
                self.batches.push_front(MessageBatch {
                    is_complete: true,
                    ..MessageBatch::default()
                });
                return false;
            }
        }
        self.batches.push_front(MessageBatch::skipped());
        true
    }

    /// Answers the first batch in a transaction whose server is lost, as in a failed transaction: its end is accepted,
    /// all else is an error.
    pub(super) fn respond_in_lost_transaction(&mut self, actions: &mut Vec<Action>) {
        let effects = self.first_batch_effects();
        let Some(batch) = self.batches.front() else {
            return;
        };
        let ends_transaction = only_ends_transaction(&effects.steps);
        let prepares_end = effects.steps.is_empty() && only_ends_transaction(&parsed_steps(batch));
        if !ends_transaction && !prepares_end && !batch.only_closes() {
            let reason = self
                .unreported_loss
                .take()
                .unwrap_or(ErrorReason::InFailedTransaction);
            self.reject_first_batch(reason, actions);
            return;
        }
        if ends_transaction {
            self.transaction_lost = false;
            self.status = TransactionStatus::Idle;
            self.unreported_loss = None;
        }
        if effects.steps.contains(&TransactionStep::Commit) {
            // A client must not take the end of a lost transaction for its commit: drivers look for an error, not
            // for the command tag ROLLBACK, and may have ignored an earlier error.
            let reason = self.loss_reason.unwrap_or(ErrorReason::TransactionLost);
            self.reject_first_batch(reason, actions);
            return;
        }
        self.respond_to_first_batch("ROLLBACK", actions);
    }
}

/// Whether these statements end a transaction and do nothing else.
fn only_ends_transaction(steps: &[TransactionStep]) -> bool {
    !steps.is_empty() && steps.iter().all(|step| step.is_end())
}

/// What the statements that a batch prepares do to their transaction, whether it executes them or not.
fn parsed_steps(batch: &MessageBatch) -> Vec<TransactionStep> {
    batch
        .frames
        .iter()
        .filter(|frame| frame.tag == frontend::PARSE)
        .filter_map(|frame| ParseMessage::read(frame).ok())
        .flat_map(|parse| parse.text.analyze().steps)
        .collect()
}

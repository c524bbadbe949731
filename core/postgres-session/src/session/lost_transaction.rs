//! Answers a client in a transaction whose server is lost. As a server in a failed transaction, the session accepts only
//! the end of the transaction, and answers one message after the other, so that a `Flush` gets its responses.

use bytes::Bytes;

use super::local_responses::{TOO_MANY_STATEMENTS, describe_locally, send_empty};
use super::server_link::NameChange;
use super::{Action, Session, send_to_client};
use crate::extended_query::{
    self, MalformedMessage, ParseMessage, StatementText, Target, TargetKind,
};
use crate::frame::Frame;
use crate::message_tags::{backend, frontend};
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::sql_analysis::{self, StatementEffects, TransactionStep};

/// A portal that was bound while the transaction was lost, and the end of the transaction that it runs.
#[derive(Clone, Debug)]
pub(super) struct BoundEnd {
    portal: Bytes,
    step: TransactionStep,
}

/// How a message is answered.
enum LostResponse {
    /// The response was sent.
    Answered,
    /// The message is rejected with this reason; the messages behind it are ignored up to the next `Sync`.
    Rejected(ErrorReason),
}

impl Session {
    /// Answers the messages of the first batch that are ready. If one of them ends the transaction, a message behind it
    /// that needs a server is left.
    pub(super) fn respond_in_lost_transaction(&mut self, actions: &mut Vec<Action>) {
        while !self.ended
            && let Some(frame) = self.take_locally_answered()
        {
            match self.respond_to_lost(&frame, actions) {
                Ok(LostResponse::Answered) => {}
                Ok(LostResponse::Rejected(reason)) => {
                    return self.reject_message(&frame, reason, actions);
                }
                Err(MalformedMessage) => return self.reject_violation(None, actions),
            }
            if matches!(frame.tag, frontend::SYNC | frontend::QUERY) {
                return;
            }
        }
    }

    /// Takes the first message of the first batch if it is ready and answered without a server.
    fn take_locally_answered(&mut self) -> Option<Frame> {
        let is_lost = self.transaction_lost;
        let batch = self.batches.front_mut()?;
        let first = batch.frames.first().filter(|_| batch.ready_count() > 0)?;
        let needs_no_server = matches!(first.tag, frontend::SYNC | frontend::FLUSH);
        if !is_lost && !needs_no_server {
            return None;
        }
        let frame = batch.take_first_for_local_response()?;
        self.buffered_bytes = self.buffered_bytes.saturating_sub(frame.wire_len());
        Some(frame)
    }

    fn respond_to_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        match frame.tag {
            frontend::SYNC => {
                self.finish_first_batch(actions);
                Ok(LostResponse::Answered)
            }
            frontend::FLUSH => Ok(LostResponse::Answered),
            frontend::QUERY => self.query_in_lost(frame, actions),
            frontend::PARSE => self.parse_in_lost(frame, actions),
            frontend::BIND => self.bind_in_lost(frame, actions),
            frontend::DESCRIBE => self.describe_in_lost(frame, actions),
            frontend::EXECUTE => self.execute_in_lost(frame, actions),
            frontend::CLOSE => self.close_in_lost(frame, actions),
            _ => Ok(self.rejected()),
        }
    }

    /// Rejects a message with the error of the loss, or, once that is reported, of a failed transaction.
    fn rejected(&mut self) -> LostResponse {
        let loss = self.unreported_loss.take();
        LostResponse::Rejected(loss.unwrap_or(ErrorReason::InFailedTransaction))
    }

    fn query_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let sql = frame.first_string().ok_or(MalformedMessage)?;
        let Some(step) = block_end(&sql_analysis::analyze_bytes(sql)) else {
            return Ok(self.rejected());
        };
        self.apply_name_change(NameChange::Remove(Bytes::new()));
        let response = self.end_lost_transaction(step, actions);
        if matches!(response, LostResponse::Answered) {
            self.finish_first_batch(actions);
        }
        Ok(response)
    }

    fn parse_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let parse = ParseMessage::read(frame)?;
        if block_end(&parse.text.analyze()).is_none() {
            return Ok(self.rejected());
        }
        if !self.prepare_locally(frame) {
            self.reject_violation(Some(TOO_MANY_STATEMENTS), actions);
            return Ok(LostResponse::Answered);
        }
        send_empty(backend::PARSE_COMPLETE, actions);
        Ok(LostResponse::Answered)
    }

    fn bind_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let name = extended_query::bind_statement(frame)?;
        let Some(step) = self.prepared_block_end(&name) else {
            return Ok(self.rejected());
        };
        let portal = frame.first_string().ok_or(MalformedMessage)?;
        self.bound_end = Some(BoundEnd {
            portal: Bytes::copy_from_slice(portal),
            step,
        });
        send_empty(backend::BIND_COMPLETE, actions);
        Ok(LostResponse::Answered)
    }

    fn describe_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let target = Target::read(frame)?;
        let is_known = match target.kind {
            TargetKind::Statement => self.prepared_block_end(&target.name).is_some(),
            TargetKind::Portal => self.bound_step(&target.name).is_some(),
        };
        if !is_known {
            return Ok(self.rejected());
        }
        describe_locally(frame, actions);
        Ok(LostResponse::Answered)
    }

    fn execute_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let portal = frame.first_string().ok_or(MalformedMessage)?;
        match self.bound_step(portal) {
            Some(step) => Ok(self.end_lost_transaction(step, actions)),
            None => Ok(self.rejected()),
        }
    }

    fn close_in_lost(
        &mut self,
        frame: &Frame,
        actions: &mut Vec<Action>,
    ) -> Result<LostResponse, MalformedMessage> {
        let target = Target::read(frame)?;
        match target.kind {
            TargetKind::Statement => self.apply_name_change(NameChange::Remove(target.name)),
            TargetKind::Portal if self.bound_step(&target.name).is_some() => self.bound_end = None,
            TargetKind::Portal => {}
        }
        // The lost server may already have sent the first `CloseComplete` messages.
        match self.batches.front_mut() {
            Some(batch) if batch.close_completes_sent > 0 => batch.close_completes_sent -= 1,
            _ => send_empty(backend::CLOSE_COMPLETE, actions),
        }
        Ok(LostResponse::Answered)
    }

    /// The end of the transaction that the client's statement of this name runs; `None` for any other statement.
    fn prepared_block_end(&self, name: &Bytes) -> Option<TransactionStep> {
        let text = if name.is_empty() {
            self.unnamed_statement.as_ref()
        } else {
            self.named_statements.get(name)
        };
        block_end(&text.map(StatementText::analyze)?)
    }

    fn bound_step(&self, portal: &[u8]) -> Option<TransactionStep> {
        let bound = self.bound_end.as_ref()?;
        (bound.portal == portal).then_some(bound.step)
    }

    /// Ends the lost transaction. ROLLBACK AND CHAIN begins one with the same modes, if they are known.
    fn end_lost_transaction(
        &mut self,
        step: TransactionStep,
        actions: &mut Vec<Action>,
    ) -> LostResponse {
        self.bound_end = None;
        match step {
            TransactionStep::Rollback => self.leave_lost_transaction(TransactionStatus::Idle),
            TransactionStep::RollbackAndChain if self.block_begin.is_some() => {
                self.deferred_begin = self.block_begin.clone();
                self.leave_lost_transaction(TransactionStatus::InBlock);
            }
            // Answer COMMIT with an error: drivers do not check for the command tag ROLLBACK and may have ignored an
            // earlier error, so any success would look like a commit.
            TransactionStep::Commit => {
                self.leave_lost_transaction(TransactionStatus::Idle);
                return LostResponse::Rejected(self.commit_error());
            }
            // The transaction stays lost, so that nothing that the client sends behind the error runs outside a
            // transaction.
            TransactionStep::CommitAndChain => {
                self.unreported_loss = None;
                return LostResponse::Rejected(self.commit_error());
            }
            _ => return self.rejected(),
        }
        send_to_client(&server_messages::command_complete("ROLLBACK"), actions);
        LostResponse::Answered
    }

    fn commit_error(&self) -> ErrorReason {
        self.loss_reason.unwrap_or(ErrorReason::TransactionLost)
    }

    /// `status` is the client's transaction status from now on.
    fn leave_lost_transaction(&mut self, status: TransactionStatus) {
        self.transaction_lost = false;
        self.unreported_loss = None;
        self.status = status;
        if status == TransactionStatus::Idle {
            self.block_begin = None;
        }
    }

    /// Answers a message with an error. As at a server, a `Query` gets its `ReadyForQuery`; behind another message, all
    /// messages up to the next `Sync` are ignored.
    fn reject_message(&mut self, frame: &Frame, reason: ErrorReason, actions: &mut Vec<Action>) {
        send_to_client(&server_messages::error_response(reason, None), actions);
        let ends_batch = matches!(frame.tag, frontend::QUERY | frontend::FUNCTION_CALL);
        if ends_batch || !self.skip_to_sync() {
            self.finish_first_batch(actions);
        }
    }
}

/// The end of the transaction that a text consists of; `None` for any other text. Several plain ends count as the last.
fn block_end(effects: &StatementEffects) -> Option<TransactionStep> {
    let last = effects.steps.last().copied()?;
    let is_end = match effects.steps[..] {
        [only] => only.is_plain_end() || only.is_chained_end(),
        ref steps => steps.iter().all(|step| step.is_plain_end()),
    };
    is_end.then_some(last)
}

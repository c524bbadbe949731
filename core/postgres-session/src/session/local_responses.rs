//! Responses without a server: to a BEGIN, which is deferred and sent with the next statement, and to the end of a
//! transaction that was never sent to a server.

use bytes::Bytes;

use super::message_batch::MessageBatch;
use super::server_link::NameChange;
use super::{Action, DeferredBegin, Session, send_to_client};
use crate::extended_query::{self, ParseMessage, Target, TargetKind};
use crate::frame::Frame;
use crate::message_tags::{backend, frontend};
use crate::server_messages::{self, TransactionStatus};
use crate::sql_analysis::TransactionEnd;

/// Detail of the error for a client that has as many statements as it may have.
pub(super) const TOO_MANY_STATEMENTS: &str = "too many prepared statements";
/// Body of a `ParameterDescription` of a statement without parameters.
const NO_PARAMETERS: &[u8] = &[0, 0];

/// Messages of a batch that runs one statement, in the order in which a server accepts them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum BatchStep {
    Parse,
    Bind,
    Execute,
    Sync,
}

impl Session {
    /// Answers the first batch without a server if possible. Returns whether the batch was answered.
    pub(super) fn respond_locally(&mut self, actions: &mut Vec<Action>) -> bool {
        let is_candidate = self
            .batches
            .front()
            .is_some_and(|batch| batch.is_complete && has_only_statement_messages(batch));
        if !is_candidate {
            return false;
        }
        match (self.status, &self.deferred_begin) {
            (TransactionStatus::Idle, None) => self.defer_begin(actions),
            (TransactionStatus::InBlock, Some(_)) => self.end_deferred_transaction(actions),
            _ => false,
        }
    }

    /// Answers a batch that only begins a transaction. Returns whether the batch was answered.
    fn defer_begin(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(access_mode) = self.first_batch_effects().transaction_begin() else {
            return false;
        };
        let Some(sql) = self.only_statement_sql() else {
            return false;
        };
        if !self.would_succeed() {
            return false;
        }
        let begin = DeferredBegin { sql, access_mode };
        self.block_begin = Some(begin.clone());
        self.deferred_begin = Some(begin);
        self.status = TransactionStatus::InBlock;
        self.respond_to_first_batch("BEGIN", actions);
        true
    }

    /// Answers a batch that only ends a transaction whose BEGIN was never sent. Returns whether the batch was answered.
    fn end_deferred_transaction(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(end) = self.first_batch_effects().transaction_end() else {
            return false;
        };
        if !self.would_succeed() {
            return false;
        }
        self.deferred_begin = None;
        self.block_begin = None;
        self.status = TransactionStatus::Idle;
        let command_tag = match end {
            TransactionEnd::Commit => "COMMIT",
            TransactionEnd::Rollback => "ROLLBACK",
        };
        self.respond_to_first_batch(command_tag, actions);
        true
    }

    /// Returns the SQL of the first batch's only statement.
    fn only_statement_sql(&self) -> Option<Bytes> {
        let batch = self.batches.front()?;
        if let Some(query) = batch.first(frontend::QUERY) {
            return Some(Bytes::copy_from_slice(query.first_string()?));
        }
        let bind = batch.first(frontend::BIND)?;
        let name = extended_query::bind_statement(bind).ok()?;
        let text = match batch.parsed_text(&name) {
            Some(text) => text,
            None if name.is_empty() => self.unnamed_statement.clone()?,
            None => self.named_statements.get(&name).cloned()?,
        };
        Some(Bytes::copy_from_slice(text.sql()))
    }

    /// Whether a server would answer the first batch without an error: the batch has one statement, which is parsed at
    /// most once under an unused name, then bound, described and executed, in this order.
    fn would_succeed(&self) -> bool {
        let Some(batch) = self.batches.front() else {
            return false;
        };
        if let [frame] = &batch.frames[..]
            && frame.tag == frontend::QUERY
        {
            return true;
        }
        let mut last_step = None;
        let mut is_executed = false;
        for frame in &batch.frames {
            let step = match frame.tag {
                frontend::FLUSH => continue,
                // Only a server can tell whether another portal or statement exists.
                frontend::DESCRIBE if last_step.is_some() && describes_bound(batch, frame) => {
                    continue;
                }
                frontend::PARSE if self.can_prepare(frame) => BatchStep::Parse,
                frontend::BIND if extended_query::bind_statement(frame).is_ok() => BatchStep::Bind,
                frontend::EXECUTE => BatchStep::Execute,
                frontend::SYNC => BatchStep::Sync,
                _ => return false,
            };
            if last_step.is_some_and(|last| step <= last) {
                return false;
            }
            is_executed |= step == BatchStep::Execute;
            last_step = Some(step);
        }
        is_executed
    }

    /// Whether a `Parse` uses the unnamed statement or an unused name within the client's limit.
    fn can_prepare(&self, frame: &Frame) -> bool {
        let Ok(parse) = ParseMessage::read(frame) else {
            return false;
        };
        parse.name.is_empty()
            || (self.named_statements.get(&parse.name).is_none()
                && self.named_statements.has_capacity(&parse.name))
    }

    /// Answers and removes the first batch as a server would for a statement that returns no rows and has this command
    /// tag.
    fn respond_to_first_batch(&mut self, command_tag: &str, actions: &mut Vec<Action>) {
        let Some(batch) = self.batches.front() else {
            return;
        };
        let frames = batch.frames.clone();
        for frame in &frames {
            match frame.tag {
                frontend::QUERY => {
                    self.apply_name_change(NameChange::Remove(Bytes::new()));
                    send_to_client(&server_messages::command_complete(command_tag), actions);
                }
                frontend::PARSE => {
                    if !self.prepare_locally(frame) {
                        return self.reject_violation(Some(TOO_MANY_STATEMENTS), actions);
                    }
                    send_empty(backend::PARSE_COMPLETE, actions);
                }
                frontend::BIND => send_empty(backend::BIND_COMPLETE, actions),
                frontend::DESCRIBE => describe_locally(frame, actions),
                frontend::EXECUTE => {
                    send_to_client(&server_messages::command_complete(command_tag), actions);
                }
                _ => {}
            }
        }
        self.finish_first_batch(actions);
    }

    /// Adds the statement of a `Parse` to the client's statements. Returns false if the client has too many statements.
    pub(super) fn prepare_locally(&mut self, frame: &Frame) -> bool {
        if let Ok(ParseMessage { name, text }) = ParseMessage::read_to_keep(frame) {
            if !self.named_statements.has_capacity(&name) {
                return false;
            }
            self.apply_name_change(NameChange::Set { name, text });
        }
        true
    }

    /// Removes the first batch and sends `ReadyForQuery` with the current status.
    pub(super) fn finish_first_batch(&mut self, actions: &mut Vec<Action>) {
        self.remove_first_batch();
        send_to_client(&self.status.ready_for_query(), actions);
    }
}

fn has_only_statement_messages(batch: &MessageBatch) -> bool {
    batch.frames.iter().all(|frame| {
        matches!(
            frame.tag,
            frontend::QUERY
                | frontend::PARSE
                | frontend::BIND
                | frontend::DESCRIBE
                | frontend::EXECUTE
                | frontend::CLOSE
                | frontend::SYNC
                | frontend::FLUSH
        )
    })
}

/// Whether a `Describe` targets the portal or the statement of the batch's first `Bind`.
fn describes_bound(batch: &MessageBatch, describe: &Frame) -> bool {
    let Ok(target) = Target::read(describe) else {
        return false;
    };
    let Some(bind) = batch.first(frontend::BIND) else {
        return false;
    };
    match target.kind {
        TargetKind::Statement => {
            extended_query::bind_statement(bind).is_ok_and(|statement| statement == target.name)
        }
        TargetKind::Portal => bind
            .first_string()
            .is_some_and(|portal| portal == &target.name[..]),
    }
}

pub(super) fn describe_locally(frame: &Frame, actions: &mut Vec<Action>) {
    if extended_query::targets_statement(frame) {
        send_to_client(
            &Frame::new(backend::PARAMETER_DESCRIPTION, NO_PARAMETERS),
            actions,
        );
    }
    send_empty(backend::NO_DATA, actions);
}

pub(super) fn send_empty(tag: u8, actions: &mut Vec<Action>) {
    send_to_client(&Frame::new(tag, Bytes::new()), actions);
}

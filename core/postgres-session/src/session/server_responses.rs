//! Handles messages from the server: forwards responses to the client and updates the session's state.

use bytes::{Bytes, BytesMut};

use super::message_batch::MessageBatch;
use super::server_link::{
    ExpectedParse, ExpectedResponse, LocalResponse, NameChange, Origin, ServerLink,
};
use super::{Action, Session, encode, send_to_client};
use crate::frame::{DecodeResult, Frame};
use crate::message_tags::{backend, frontend};
use crate::server_messages::{self, ParameterStatus, TransactionStatus};
use crate::sql_analysis::StatementEffects;
use crate::sticky::StickyReason;

impl Session {
    pub(super) fn on_server_message(&mut self, message: DecodeResult, actions: &mut Vec<Action>) {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        let is_setup = matches!(server.expected.front(), Some(ExpectedResponse::Setup));
        let frame = match message {
            DecodeResult::Chunk { .. } if is_setup => return,
            DecodeResult::Chunk { bytes, last, .. } => {
                self.is_row_incomplete = !last;
                return self.send_response(bytes, actions);
            }
            DecodeResult::Frame(frame) => frame,
        };
        match frame.tag {
            backend::PARAMETER_STATUS => self.on_parameter_status(&frame, actions),
            backend::READY_FOR_QUERY => self.on_ready_for_query(&frame, actions),
            // A fatal error closes the server connection; the session can continue on another one.
            backend::ERROR_RESPONSE
                if server_messages::is_fatal(&frame) && !server.is_checking_settings =>
            {
                self.on_server_lost(actions);
            }
            backend::ERROR_RESPONSE if is_setup => server.setup_error = Some(frame),
            // Notifications are asynchronous and can arrive during setup.
            backend::NOTIFICATION_RESPONSE => self.on_response(frame, actions),
            _ if is_setup => {}
            _ => self.on_response(frame, actions),
        }
    }

    /// Handles a message in the response to the client's messages.
    fn on_response(&mut self, frame: Frame, actions: &mut Vec<Action>) {
        let client_frame = match frame.tag {
            backend::PARSE_COMPLETE
            | backend::BIND_COMPLETE
            | backend::CLOSE_COMPLETE
            | backend::ROW_DESCRIPTION
            | backend::NO_DATA
            | backend::COMMAND_COMPLETE
            | backend::EMPTY_QUERY_RESPONSE
            | backend::PORTAL_SUSPENDED => self.on_completion(frame),
            backend::COPY_IN_RESPONSE => {
                self.on_copy_in();
                Some(frame)
            }
            backend::ERROR_RESPONSE => Some(self.on_error(frame)),
            _ => Some(frame),
        };
        if let Some(for_client) = client_frame {
            let bytes = encode(&for_client);
            if for_client.tag == backend::COMMAND_COMPLETE && self.commits_at_sync() {
                self.delayed_completion = Some(bytes);
            } else {
                self.send_response(bytes, actions);
            }
        }
        self.send_local_responses(actions);
    }

    /// Handles a message that may complete the first expected response. Returns the message if the client must receive
    /// it.
    fn on_completion(&mut self, frame: Frame) -> Option<Frame> {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return Some(frame);
        };
        let first = server.expected.front();
        if !first.is_some_and(|expected| completes(frame.tag, expected)) {
            // The message is part of the response to a `Query`.
            return Some(frame);
        }
        let (origin, name_change) = match server.expected.pop_front() {
            Some(ExpectedResponse::Parse(ExpectedParse {
                origin,
                name_change,
                ..
            })) => (origin, name_change),
            Some(ExpectedResponse::Close {
                origin,
                name_change,
            }) => (origin, name_change),
            _ => (Origin::Client, None),
        };
        if let Some(change) = name_change {
            self.apply_name_change(change);
        }
        (origin == Origin::Client).then_some(frame)
    }

    /// Handles `CopyInResponse`. In the extended query protocol the server ignores a `Sync` that arrives before the end
    /// of the copy.
    fn on_copy_in(&mut self) {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        server.is_copying_in = true;
        let is_extended_query = matches!(server.expected.front(), Some(ExpectedResponse::Execute));
        server.has_ignored_sync = is_extended_query
            && server
                .expected
                .iter()
                .any(|expected| matches!(expected, ExpectedResponse::Sync));
    }

    /// Handles `ErrorResponse`. Returns the error in the form in which the client must receive it.
    fn on_error(&mut self, frame: Frame) -> Frame {
        self.batch_failed = true;
        self.delayed_completion = None;
        let ServerLink::Attached(server) = &mut self.server_link else {
            return frame;
        };
        server.is_copying_in = false;
        let mut client_frame = frame;
        if let Some(ExpectedResponse::Parse(parse)) = server.expected.front() {
            if let Some(alias) = &parse.alias {
                client_frame = server_messages::with_statement_name(
                    &client_frame,
                    &alias.server_name,
                    &alias.client_name,
                );
            } else if sets_unnamed_statement(parse) {
                // A failed `Parse` of the unnamed statement still destroys the previous unnamed statement.
                self.unnamed_statement = None;
            }
        }
        if server.skip_failed_batch() {
            self.pending_names.clear();
        }
        // A `Query` that ends the failed batch is ignored by the server and gets no response.
        if server.skips_to_sync && self.batches.front().is_some_and(|batch| batch.is_complete) {
            self.remove_first_batch();
        }
        client_frame
    }

    /// Whether the statement that has just completed is committed by a `Sync` that was already sent, so that the next
    /// expected response is the one to that `Sync`.
    fn commits_at_sync(&self) -> bool {
        let ServerLink::Attached(server) = &self.server_link else {
            return false;
        };
        let next_is_sync = matches!(server.expected.front(), Some(ExpectedResponse::Sync));
        self.status == TransactionStatus::Idle && next_is_sync && !server.has_ignored_sync
    }

    /// Records a `ParameterStatus` for the connection and the client, and forwards it if the client's value changes.
    fn on_parameter_status(&mut self, frame: &Frame, actions: &mut Vec<Action>) {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        let Some(ParameterStatus { name, value }) = ParameterStatus::read(frame) else {
            return;
        };
        server.state.settings.record_report(&name, &value);
        if self.settings.record_report(&name, &value) {
            send_to_client(frame, actions);
        }
    }

    /// Sends part of the transaction's response to the client.
    fn send_response(&mut self, bytes: Bytes, actions: &mut Vec<Action>) {
        if bytes.first() == Some(&backend::CLOSE_COMPLETE)
            && let Some(batch) = self.batches.front_mut()
        {
            batch.close_completes_sent += 1;
        }
        if !self.response_started {
            self.response_started = true;
            actions.push(Action::ResponseStarted);
        }
        actions.push(Action::ToClient(bytes));
    }

    /// Sends the local responses at the front of the expected responses.
    pub(super) fn send_local_responses(&mut self, actions: &mut Vec<Action>) {
        while let Some(LocalResponse { frame, name_change }) = self.next_local_response() {
            self.apply_name_change(name_change);
            self.send_response(encode(&frame), actions);
        }
        self.forget_answered_names();
    }

    /// Once all sent messages are answered, the client's statements include their changes.
    fn forget_answered_names(&mut self) {
        if let ServerLink::Attached(server) = &self.server_link
            && server.expected.is_empty()
        {
            self.pending_names.clear();
        }
    }

    fn next_local_response(&mut self) -> Option<LocalResponse> {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return None;
        };
        let first = server
            .expected
            .pop_front_if(|expected| matches!(expected, ExpectedResponse::Local(_)))?;
        match first {
            ExpectedResponse::Local(response) => Some(response),
            _ => None,
        }
    }

    /// Handles `ReadyForQuery`, which ends either a setup by the proxy or the first batch.
    fn on_ready_for_query(&mut self, frame: &Frame, actions: &mut Vec<Action>) {
        let status = frame
            .body
            .first()
            .copied()
            .and_then(TransactionStatus::read);
        let ServerLink::Attached(server) = &mut self.server_link else {
            return;
        };
        let expected = server.expected.pop_front();
        let is_setup = matches!(expected, Some(ExpectedResponse::Setup));
        if is_setup && status.is_some() && server.setup_error.is_none() {
            self.finish_setup(actions);
            return;
        }
        let answers_query = matches!(expected, Some(ExpectedResponse::Query));
        let answers_sync = matches!(expected, Some(ExpectedResponse::Sync));
        let is_expected = (answers_query || answers_sync) && !server.skips_to_sync;
        let (true, Some(status)) = (is_expected, status) else {
            // The setup failed, or the server sent an unexpected `ReadyForQuery`: the connection is unusable.
            return self.on_server_lost(actions);
        };
        server.has_open_batch = false;
        let Some(batch) = self.remove_first_batch() else {
            return self.on_server_lost(actions);
        };
        if answers_query && batch.ends_with(frontend::QUERY) {
            self.unnamed_statement = None;
        }
        self.finish_batch(&batch, status);
        self.send_batch_end(frame, actions);
        if status == TransactionStatus::Idle {
            self.finish_transaction(actions);
        }
    }

    /// Handles the server's acceptance of the client's settings or of a deferred BEGIN.
    fn finish_setup(&mut self, actions: &mut Vec<Action>) {
        if let ServerLink::Attached(server) = &mut self.server_link
            && std::mem::take(&mut server.is_checking_settings)
        {
            self.settings.set_accepted_by_server();
        }
        self.send_local_responses(actions);
    }

    /// Updates the session after the server has answered a batch with this transaction status.
    fn finish_batch(&mut self, batch: &MessageBatch, status: TransactionStatus) {
        self.pending_names.clear();
        self.status = status;
        self.commit_in_flight = false;
        self.deferred_begin = None;
        if status == TransactionStatus::Idle {
            self.block_begin = None;
        }
        if !self.batch_failed {
            match &batch.effects {
                Some(effects) => self.apply_effects(effects),
                None => self.apply_effects(&StatementEffects::default()),
            }
        }
    }

    /// Sends the `ReadyForQuery` of a batch, preceded by the delayed `CommandComplete`, if any.
    fn send_batch_end(&mut self, ready: &Frame, actions: &mut Vec<Action>) {
        let mut buffer = BytesMut::new();
        if let Some(completion) = self.delayed_completion.take() {
            buffer.extend_from_slice(&completion);
        }
        ready.write(&mut buffer);
        self.send_response(buffer.freeze(), actions);
    }

    fn finish_transaction(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::TransactionDone);
        self.response_started = false;
        if self.sticky_reason.is_none() {
            self.detach_server(actions);
        }
    }

    /// Updates the session's statements, settings and stickiness after a batch that completed without an error.
    fn apply_effects(&mut self, effects: &StatementEffects) {
        if effects.discards_all && self.sticky_reason != Some(StickyReason::Pooling) {
            self.sticky_reason = None;
        }
        if effects.deallocates_all {
            self.named_statements.clear();
        }
        if let Some(name) = self.deallocated_name.take() {
            self.named_statements.remove(&name);
        }
        // A setting that is set in the same text as a RESET ALL keeps its new value.
        let resets_all = effects.resets_all_settings && effects.set_settings.is_empty();
        self.settings.reset(&effects.reset_settings, resets_all);
    }
}

/// Whether a message with this tag is the last message of the expected response.
fn completes(tag: u8, expected: &ExpectedResponse) -> bool {
    match expected {
        ExpectedResponse::Parse(_) => tag == backend::PARSE_COMPLETE,
        ExpectedResponse::Bind => tag == backend::BIND_COMPLETE,
        ExpectedResponse::Close { .. } => tag == backend::CLOSE_COMPLETE,
        ExpectedResponse::Describe => matches!(tag, backend::ROW_DESCRIPTION | backend::NO_DATA),
        ExpectedResponse::Execute => matches!(
            tag,
            backend::COMMAND_COMPLETE | backend::EMPTY_QUERY_RESPONSE | backend::PORTAL_SUSPENDED
        ),
        ExpectedResponse::Query
        | ExpectedResponse::Sync
        | ExpectedResponse::Setup
        | ExpectedResponse::Local(_) => false,
    }
}

/// Whether the `Parse` replaces the client's unnamed statement.
fn sets_unnamed_statement(parse: &ExpectedParse) -> bool {
    matches!(&parse.name_change, Some(NameChange::Set { name, .. }) if name.is_empty())
}

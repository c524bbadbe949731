//! The server side of the frontend/backend protocol on one connection, without the socket: handles messages and
//! produces output bytes.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Message Flow" and "Message Formats".

mod copy;
mod extended;
mod reader;
mod rows;
mod simple;

use std::collections::BTreeMap;
use std::sync::Arc;

use sqlparser::ast::Statement;

use super::catalogue::CatalogueQuery;
use super::connection_id::ConnectionId;
use super::error::{SqlError, SqlState};
use super::faults::InjectedFault;
use super::result::StatementResult;
use super::server_state::ServerState;
use super::session::Session;
use super::value::Value;
use copy::CopyIn;
use reader::MessageReader;

pub(super) use reader::read_startup_parameters;

/// More buffered output than this is sent before the next message is read.
const MAX_BUFFERED_OUTPUT_BYTES: usize = 64 * 1024;

/// The severity of an error after which the connection stays open.
const SEVERITY_ERROR: &str = "ERROR";

/// The severity of an error that ends the connection.
pub(super) const SEVERITY_FATAL: &str = "FATAL";

/// Returned for the message at which the server closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed")]
pub struct ConnectionClosed;

/// Why handling a message failed.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    /// The error is sent to the client; the connection stays open.
    #[error(transparent)]
    Rejected(#[from] SqlError),
    /// The connection is closed without an error message.
    #[error(transparent)]
    ConnectionClosed(#[from] ConnectionClosed),
}

/// The server side of one connection, without the socket.
pub struct Backend {
    pub(super) session: Session,
    output: Vec<u8>,
    /// Set after an error in the extended query protocol: messages are ignored up to the next Sync.
    skip_until_sync: bool,
    copy_in_progress: Option<CopyIn>,
    /// Set when the output has to be sent before the next message is read.
    flush_requested: bool,
}

impl Backend {
    pub(super) fn new(server: Arc<ServerState>, connection_id: ConnectionId) -> Self {
        Self {
            session: Session::new(server, connection_id),
            output: Vec::new(),
            skip_until_sync: false,
            copy_in_progress: None,
            flush_requested: false,
        }
    }

    /// Removes and returns the buffered output.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.flush_requested = false;
        std::mem::take(&mut self.output)
    }

    /// The transaction status byte of `ReadyForQuery`.
    pub fn transaction_status(&self) -> u8 {
        self.session.transaction_status()
    }

    /// Whether a COPY FROM STDIN is in progress and the server expects copy data.
    pub fn is_copying(&self) -> bool {
        self.copy_in_progress.is_some()
    }

    /// Whether the buffered output has to be sent before the next message is read.
    pub fn needs_flush(&self) -> bool {
        self.flush_requested || self.output.len() > MAX_BUFFERED_OUTPUT_BYTES
    }

    /// Handles one message from the client. `body` excludes the message's type byte and length.
    pub fn handle_message(
        &mut self,
        message_type: u8,
        body: &[u8],
    ) -> Result<(), ConnectionClosed> {
        if self.copy_in_progress.is_some() {
            return self.handle_copy_message(message_type, body);
        }
        if self.skip_until_sync && !matches!(message_type, b'S' | b'X') {
            return Ok(());
        }
        let mut body = MessageReader::new(body);
        match message_type {
            b'Q' => self.handle_simple_query(&body.string()?),
            b'S' => {
                self.handle_sync();
                Ok(())
            }
            b'H' => {
                self.flush_requested = true;
                Ok(())
            }
            // Sent by the client before it noticed that the COPY had failed.
            b'd' | b'c' | b'f' => Ok(()),
            b'X' => Err(ConnectionClosed),
            b'F' => {
                self.reject_function_call();
                Ok(())
            }
            b'P' | b'B' | b'D' | b'E' | b'C' => {
                self.handle_extended_query_message(message_type, &mut body)
            }
            _ => {
                let message = format!("invalid frontend message type {message_type}");
                let error = SqlError::new(SqlState::PROTOCOL_VIOLATION, message);
                self.write_error(SEVERITY_FATAL, &error);
                Err(ConnectionClosed)
            }
        }
    }

    /// Handles a message of the extended query protocol. After an error, messages are ignored up to the next Sync.
    fn handle_extended_query_message(
        &mut self,
        message_type: u8,
        body: &mut MessageReader<'_>,
    ) -> Result<(), ConnectionClosed> {
        let handled = match message_type {
            b'P' => self.handle_parse(body),
            b'B' => self.handle_bind(body),
            b'D' => self.handle_describe(body),
            b'E' => self.handle_execute(body),
            _ => self.handle_close(body),
        };
        match handled {
            Ok(()) => Ok(()),
            Err(MessageError::ConnectionClosed(closed)) => Err(closed),
            Err(MessageError::Rejected(error)) => {
                self.write_error(SEVERITY_ERROR, &error);
                self.session.fail_transaction();
                self.skip_until_sync = true;
                self.flush_requested = true;
                Ok(())
            }
        }
    }

    fn handle_sync(&mut self) {
        self.skip_until_sync = false;
        if let Err(error) = self.session.end_implicit_transaction() {
            self.write_error(SEVERITY_ERROR, &error);
        }
        self.write_ready_for_query();
    }

    fn reject_function_call(&mut self) {
        let error = SqlError::new(
            SqlState::FEATURE_NOT_SUPPORTED,
            "the fake PostgreSQL server does not support FunctionCall messages",
        );
        self.write_error(SEVERITY_ERROR, &error);
        self.session.fail_transaction();
        self.write_ready_for_query();
    }

    /// Executes a statement and triggers the fault armed for it, if any.
    fn execute_statement(
        &mut self,
        statement: &Statement,
        values: &[Value],
        sql: &str,
    ) -> Result<StatementResult, MessageError> {
        let fault = self.session.server.take_fault(sql);
        match fault {
            Some(InjectedFault::CrashBeforeExecution) => {
                self.session.server.crash();
                return Err(ConnectionClosed.into());
            }
            Some(InjectedFault::Hang) => {
                self.session.server.hang_until_down();
                return Err(ConnectionClosed.into());
            }
            Some(InjectedFault::Reject) => return Err(SqlError::too_many_connections().into()),
            Some(InjectedFault::CrashAfterExecution) | None => {}
        }
        let result = match CatalogueQuery::recognize(sql) {
            Some(query) => Ok(query.execute(values)),
            None => self.session.execute(statement, values),
        };
        if fault == Some(InjectedFault::CrashAfterExecution) {
            if !matches!(statement, Statement::Commit { .. }) {
                let _ = self.session.end_implicit_transaction();
            }
            self.session.server.crash();
            return Err(ConnectionClosed.into());
        }
        match result {
            Err(error) if error.state == SqlState::ADMIN_SHUTDOWN => Err(ConnectionClosed.into()),
            result => Ok(result?),
        }
    }

    /// Appends a message to the output: type byte, length, body.
    pub(super) fn write_message(&mut self, message_type: u8, body: &[u8]) {
        let length = u32::try_from(body.len() + 4).unwrap_or(u32::MAX);
        self.output.push(message_type);
        self.output.extend_from_slice(&length.to_be_bytes());
        self.output.extend_from_slice(body);
    }

    /// Writes the messages that complete a login, from `AuthenticationOk` to `ReadyForQuery`.
    pub(super) fn write_login_complete(&mut self) {
        let id = self.session.connection_id;
        self.write_message(b'R', &0_u32.to_be_bytes());
        self.write_changed_settings();
        let key = [id.process_id().to_be_bytes(), id.secret_key().to_be_bytes()].concat();
        self.write_message(b'K', &key);
        self.write_ready_for_query();
    }

    fn write_changed_settings(&mut self) {
        for setting in self.session.take_changed_settings() {
            let body = format!("{}\0{}\0", setting.name, setting.value);
            self.write_message(b'S', body.as_bytes());
        }
    }

    fn write_notifications(&mut self) {
        let notifications = self
            .session
            .server
            .take_notifications(self.session.connection_id, &self.session.listening_channels);
        for notification in notifications {
            let process_id = notification.sender.process_id().to_be_bytes();
            let text = format!("{}\0{}\0", notification.channel, notification.payload);
            self.write_message(b'A', &[&process_id[..], text.as_bytes()].concat());
        }
    }

    /// Writes changed settings (`ParameterStatus`), pending notifications and `ReadyForQuery`.
    fn write_ready_for_query(&mut self) {
        self.write_changed_settings();
        self.write_notifications();
        let status = self.session.transaction_status();
        self.write_message(b'Z', &[status]);
        self.flush_requested = true;
    }

    /// Writes an `ErrorResponse`.
    pub(super) fn write_error(&mut self, severity: &str, error: &SqlError) {
        let body = format!(
            "S{severity}\0V{severity}\0C{}\0M{}\0\0",
            error.state.0, error.message
        );
        self.write_message(b'E', body.as_bytes());
    }
}

/// The parameters of a `StartupMessage`, by name.
pub(super) type StartupParameters = BTreeMap<String, String>;

//! The server side of the protocol on one connection, without its socket: messages in, bytes out.
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

pub(super) use reader::read_parameters;

/// Output beyond this many bytes goes out before the next message is read.
const MAX_BUFFERED_OUTPUT: usize = 64 * 1024;

/// The severity of an error after which the connection goes on.
const SEVERITY_ERROR: &str = "ERROR";

/// The severity of an error that ends the connection.
pub(super) const SEVERITY_FATAL: &str = "FATAL";

/// The connection ends with this message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed")]
pub struct ConnectionClosed;

/// Why a message was not carried out.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    /// The client receives an error; the connection goes on.
    #[error(transparent)]
    Rejected(#[from] SqlError),
    /// The connection ends without another word to the client.
    #[error(transparent)]
    ConnectionClosed(#[from] ConnectionClosed),
}

/// One connection's server side, without its socket.
pub struct Backend {
    pub(super) session: Session,
    output: Vec<u8>,
    /// After an error in the extended protocol, messages are skipped up to the next Sync.
    skip_until_sync: bool,
    copy_in_progress: Option<CopyIn>,
    /// The output goes out before the next message is read.
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

    /// Takes the output written so far.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.flush_requested = false;
        std::mem::take(&mut self.output)
    }

    /// The transaction status as in `ReadyForQuery`.
    pub fn transaction_status(&self) -> u8 {
        self.session.transaction_status()
    }

    /// Whether the client is to send the data of a COPY.
    pub fn is_copying(&self) -> bool {
        self.copy_in_progress.is_some()
    }

    /// Whether the output has to go out before the next message is read.
    pub fn needs_flush(&self) -> bool {
        self.flush_requested || self.output.len() > MAX_BUFFERED_OUTPUT
    }

    /// Handles one message of the client's: its type byte and its body.
    pub fn handle_message(&mut self, tag: u8, body: &[u8]) -> Result<(), ConnectionClosed> {
        if self.copy_in_progress.is_some() {
            return self.copy_message(tag, body);
        }
        if self.skip_until_sync && !matches!(tag, b'S' | b'X') {
            return Ok(());
        }
        let mut body = MessageReader::new(body);
        match tag {
            b'Q' => self.simple_query(&body.string()?),
            b'S' => {
                self.sync();
                Ok(())
            }
            b'H' => {
                self.flush_requested = true;
                Ok(())
            }
            // The rest of a COPY that has failed.
            b'd' | b'c' | b'f' => Ok(()),
            b'X' => Err(ConnectionClosed),
            b'F' => {
                self.reject_function_call();
                Ok(())
            }
            b'P' | b'B' | b'D' | b'E' | b'C' => self.extended_message(tag, &mut body),
            _ => {
                let message = format!("invalid frontend message type {tag}");
                let error = SqlError::new(SqlState::PROTOCOL_VIOLATION, message);
                self.write_error(SEVERITY_FATAL, &error);
                Err(ConnectionClosed)
            }
        }
    }

    /// Handles a message of the extended protocol. After an error, messages are skipped up to the next Sync.
    fn extended_message(
        &mut self,
        tag: u8,
        body: &mut MessageReader<'_>,
    ) -> Result<(), ConnectionClosed> {
        let handled = match tag {
            b'P' => self.parse_message(body),
            b'B' => self.bind_message(body),
            b'D' => self.describe_message(body),
            b'E' => self.execute_message(body),
            _ => self.close_message(body),
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

    fn sync(&mut self) {
        self.skip_until_sync = false;
        if let Err(error) = self.session.end_implicit_transaction() {
            self.write_error(SEVERITY_ERROR, &error);
        }
        self.write_ready_for_query();
    }

    fn reject_function_call(&mut self) {
        let error = SqlError::new(
            SqlState::FEATURE_NOT_SUPPORTED,
            "function calls are not spoken by the stand-in",
        );
        self.write_error(SEVERITY_ERROR, &error);
        self.session.fail_transaction();
        self.write_ready_for_query();
    }

    /// Executes a statement, or lets the fault happen that is armed for it.
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

    /// Writes a message: its type byte, its length and its body.
    pub(super) fn write_message(&mut self, tag: u8, body: &[u8]) {
        let length = u32::try_from(body.len() + 4).unwrap_or(u32::MAX);
        self.output.push(tag);
        self.output.extend_from_slice(&length.to_be_bytes());
        self.output.extend_from_slice(body);
    }

    /// Writes what follows a successful login, up to the first `ReadyForQuery`.
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

    /// Writes `ReadyForQuery`, preceded by changed settings and notifications.
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

/// The parameters of a start-up message, by name.
pub(super) type StartupParameters = BTreeMap<String, String>;

//! COPY FROM STDIN and COPY TO STDOUT in text format.
//!
//! Source: PostgreSQL documentation, "COPY Operations" and the text format of COPY.

use sqlparser::ast::{CopySource, CopyTarget, Ident, ObjectName};

use super::reader::MessageReader;
use super::{Backend, ConnectionClosed, MessageError, SEVERITY_ERROR};
use crate::database::error::{SqlError, SqlState};
use crate::database::faults::InjectedFault;
use crate::database::parse::parse_single_statement;
use crate::database::result::{ResultColumn, StatementResult};
use crate::database::value::Value;

/// The query protocol of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryProtocol {
    /// A Query message: `ReadyForQuery` follows at the end of the COPY.
    Simple,
    /// Parse, Bind and Execute: the client sends a Sync.
    Extended,
}

/// The progress of a COPY after its statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyProgress {
    /// The COPY is complete.
    Complete,
    /// The server expects copy data from the client.
    AwaitsData,
}

/// A COPY FROM STDIN in progress.
pub(super) struct CopyIn {
    table: String,
    columns: Vec<String>,
    /// The copy data received so far.
    data: Vec<u8>,
    protocol: QueryProtocol,
}

impl Backend {
    /// Executes a COPY TO, or begins a COPY FROM.
    pub(super) fn execute_copy(
        &mut self,
        source: &CopySource,
        to: bool,
        target: &CopyTarget,
        protocol: QueryProtocol,
    ) -> Result<CopyProgress, SqlError> {
        if to {
            self.copy_out(source)?;
            return Ok(CopyProgress::Complete);
        }
        let (
            CopySource::Table {
                table_name,
                columns,
            },
            CopyTarget::Stdin,
        ) = (source, target)
        else {
            return Err(SqlError::new(
                SqlState::FEATURE_NOT_SUPPORTED,
                "the fake PostgreSQL server supports COPY FROM only with STDIN",
            ));
        };
        self.begin_copy_in(table_name, columns, protocol)?;
        Ok(CopyProgress::AwaitsData)
    }

    /// COPY TO: writes the rows of a table or query as copy data.
    fn copy_out(&mut self, source: &CopySource) -> Result<(), SqlError> {
        let Some(statement) = parse_single_statement(&copied_query(source))? else {
            return Ok(());
        };
        let result = self.session.execute(&statement, &[])?;
        self.write_copy_response(b'H', result.columns.len());
        let count = self.write_copy_data(&result);
        self.write_message(b'c', b"");
        self.write_copy_complete(count);
        Ok(())
    }

    fn write_copy_data(&mut self, result: &StatementResult) -> u64 {
        let mut count = 0;
        for row in result.expand_rows() {
            let line = copy_line(&row, &result.columns);
            self.write_message(b'd', line.as_bytes());
            count += 1;
        }
        count
    }

    fn write_copy_complete(&mut self, count: u64) {
        self.write_message(b'C', format!("COPY {count}\0").as_bytes());
    }

    /// COPY FROM: requests copy data from the client. Fails if the table does not exist.
    fn begin_copy_in(
        &mut self,
        table_name: &ObjectName,
        columns: &[Ident],
        protocol: QueryProtocol,
    ) -> Result<(), SqlError> {
        if self.session.transaction_failed {
            return Err(SqlError::failed_transaction());
        }
        let table = table_name.to_string();
        let prepared = self
            .session
            .prepare(&format!("SELECT * FROM {table}"), &[])?;
        let columns: Vec<String> = columns.iter().map(|ident| ident.value.clone()).collect();
        let count = if columns.is_empty() {
            prepared.columns.len()
        } else {
            columns.len()
        };
        self.write_copy_response(b'G', count);
        self.flush_requested = true;
        self.copy_in_progress = Some(CopyIn {
            table,
            columns,
            data: Vec::new(),
            protocol,
        });
        Ok(())
    }

    /// Writes a `CopyInResponse` or `CopyOutResponse` with text format for all columns.
    fn write_copy_response(&mut self, message_type: u8, columns: usize) {
        let mut body = vec![0];
        body.extend_from_slice(&u16::try_from(columns).unwrap_or(0).to_be_bytes());
        body.extend(std::iter::repeat_n(0, columns * 2));
        self.write_message(message_type, &body);
    }

    /// Handles a message from the client during a COPY FROM.
    pub(super) fn handle_copy_message(
        &mut self,
        message_type: u8,
        body: &[u8],
    ) -> Result<(), ConnectionClosed> {
        match message_type {
            b'd' => self.handle_copy_data(body),
            // Flush and Sync are ignored: a client may send them before it notices that a COPY has begun.
            b'H' | b'S' => Ok(()),
            _ => self.end_copy_in(message_type, body),
        }
    }

    /// Appends copy data, or crashes if a crash fault is armed for this data.
    fn handle_copy_data(&mut self, data: &[u8]) -> Result<(), ConnectionClosed> {
        if let Some(copy_in) = &mut self.copy_in_progress {
            copy_in.data.extend_from_slice(data);
        }
        let text = String::from_utf8_lossy(data);
        match self.session.server.take_fault(&text) {
            Some(InjectedFault::CrashBeforeExecution | InjectedFault::CrashAfterExecution) => {
                self.session.server.crash();
                Err(ConnectionClosed)
            }
            _ => Ok(()),
        }
    }

    /// Ends a COPY FROM at `CopyDone` or `CopyFail`; any other message makes the COPY fail.
    fn end_copy_in(&mut self, message_type: u8, body: &[u8]) -> Result<(), ConnectionClosed> {
        let Some(copy_in) = self.copy_in_progress.take() else {
            return Ok(());
        };
        let is_simple = copy_in.protocol == QueryProtocol::Simple;
        match self.finish_copy_in(&copy_in, message_type, body) {
            Ok(()) => {}
            Err(MessageError::ConnectionClosed(closed)) => return Err(closed),
            Err(MessageError::Rejected(error)) => {
                self.write_error(SEVERITY_ERROR, &error);
                self.session.fail_transaction();
                self.skip_until_sync = !is_simple;
            }
        }
        if is_simple {
            self.write_ready_for_query();
        }
        Ok(())
    }

    fn finish_copy_in(
        &mut self,
        copy_in: &CopyIn,
        message_type: u8,
        body: &[u8],
    ) -> Result<(), MessageError> {
        match message_type {
            b'c' => {
                let data = String::from_utf8_lossy(&copy_in.data);
                let count = self
                    .session
                    .copy_in(&copy_in.table, &copy_in.columns, &data)?;
                self.write_copy_complete(count);
            }
            b'f' => {
                let reason = MessageReader::new(body).string()?;
                return Err(SqlError::new(
                    SqlState::QUERY_CANCELED,
                    format!("COPY from stdin failed: {reason}"),
                )
                .into());
            }
            _ => {
                return Err(SqlError::new(
                    SqlState::PROTOCOL_VIOLATION,
                    "unexpected message type during COPY from stdin",
                )
                .into());
            }
        }
        if copy_in.protocol == QueryProtocol::Simple {
            self.session.end_implicit_transaction()?;
        }
        Ok(())
    }
}

/// The text of the query whose rows a COPY TO writes.
fn copied_query(source: &CopySource) -> String {
    match source {
        CopySource::Query(query) => query.to_string(),
        CopySource::Table {
            table_name,
            columns,
        } if columns.is_empty() => format!("SELECT * FROM {table_name}"),
        CopySource::Table {
            table_name,
            columns,
        } => {
            let names: Vec<String> = columns.iter().map(ToString::to_string).collect();
            format!("SELECT {} FROM {table_name}", names.join(", "))
        }
    }
}

/// Formats a row as a line of COPY's text format.
fn copy_line(row: &[Value], columns: &[ResultColumn]) -> String {
    let values = row.iter().zip(columns);
    let fields: Vec<String> = values
        .map(|(value, column)| match value {
            Value::Null => "\\N".to_owned(),
            value => escape(&value.text(column.data_type)),
        })
        .collect();
    format!("{}\n", fields.join("\t"))
}

/// Escapes a field for COPY's text format.
fn escape(text: &str) -> String {
    text.replace('\\', "\\\\")
        .replace('\t', "\\t")
        .replace('\n', "\\n")
        .replace('\r', "\\r")
}

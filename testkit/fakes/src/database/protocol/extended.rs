//! The extended query protocol: Parse, Bind, Describe, Execute and Close.

use std::sync::Arc;

use sqlparser::ast::Statement;

use super::copy::QueryProtocol;
use super::reader::MessageReader;
use super::rows::{BINARY_FORMAT, column_format};
use super::{Backend, MessageError};
use crate::database::error::{SqlError, SqlState};
use crate::database::prepared::{PendingRows, Portal, PreparedStatement};
use crate::database::result::StatementResult;
use crate::database::session::ends_transaction;
use crate::database::value::{Type, Value};

/// The byte in Describe and Close that selects a prepared statement rather than a portal.
const TARGET_STATEMENT: u8 = b'S';

/// The fields of a Bind message.
struct Bind<'a> {
    portal: String,
    statement: String,
    parameter_formats: Vec<u16>,
    parameters: Vec<Option<&'a [u8]>>,
    result_formats: Vec<u16>,
}

impl<'a> Bind<'a> {
    fn read(body: &mut MessageReader<'a>) -> Result<Self, MessageError> {
        let portal = body.string()?;
        let statement = body.string()?;
        let parameter_formats = body.u16_array()?;
        let count = body.u16()?;
        let parameters = (0..count).map(|_| body.nullable_bytes());
        let parameters = parameters.collect::<Result<_, _>>()?;
        Ok(Self {
            portal,
            statement,
            parameter_formats,
            parameters,
            result_formats: body.u16_array()?,
        })
    }

    /// Decodes the parameter values by the parameter types of the statement.
    fn values(&self, statement: &PreparedStatement) -> Result<Vec<Value>, SqlError> {
        let parameters = self.parameters.iter().zip(&statement.parameters);
        let values = parameters
            .enumerate()
            .map(|(position, (bytes, data_type))| match bytes {
                None => Ok(Value::Null),
                Some(bytes)
                    if column_format(&self.parameter_formats, position) == BINARY_FORMAT =>
                {
                    Value::read_binary(*data_type, bytes)
                }
                Some(bytes) => Value::read_text(*data_type, &String::from_utf8_lossy(bytes)),
            });
        values.collect()
    }
}

impl Backend {
    pub(super) fn handle_parse(
        &mut self,
        body: &mut MessageReader<'_>,
    ) -> Result<(), MessageError> {
        let name = body.string()?;
        let sql = body.string()?;
        let count = body.u16()?;
        let types = (0..count).map(|_| body.u32().map(Type));
        let types = types.collect::<Result<Vec<_>, _>>()?;
        if name.is_empty() {
            self.session.prepared.remove("");
        }
        let prepared = self.session.prepare(&sql, &types)?;
        if self.session.prepared.contains_key(&name) {
            return Err(SqlError::new(
                SqlState::DUPLICATE_PREPARED_STATEMENT,
                format!("prepared statement \"{name}\" already exists"),
            )
            .into());
        }
        self.session.prepared.insert(name, Arc::new(prepared));
        self.write_message(b'1', b"");
        Ok(())
    }

    fn prepared_statement(&self, name: &str) -> Result<Arc<PreparedStatement>, SqlError> {
        let statement = self.session.prepared.get(name).cloned();
        statement.ok_or_else(|| {
            if name.is_empty() {
                SqlError::undefined_unnamed_statement()
            } else {
                SqlError::undefined_statement(name)
            }
        })
    }

    pub(super) fn handle_bind(&mut self, body: &mut MessageReader<'_>) -> Result<(), MessageError> {
        let bind = Bind::read(body)?;
        let statement = self.prepared_statement(&bind.statement)?;
        let ends_transaction = statement.statement.as_ref().is_some_and(ends_transaction);
        if self.session.transaction_failed && !ends_transaction {
            return Err(SqlError::failed_transaction().into());
        }
        self.check_bind(&bind, &statement)?;
        let values = bind.values(&statement)?;
        if !ends_transaction {
            self.session.begin_if_needed();
        }
        let portal = Portal {
            statement,
            values,
            result_formats: bind.result_formats,
            pending: None,
            is_finished: false,
        };
        self.session.portals.insert(bind.portal, portal);
        self.write_message(b'2', b"");
        Ok(())
    }

    fn check_bind(&self, bind: &Bind<'_>, statement: &PreparedStatement) -> Result<(), SqlError> {
        let supplied = bind.parameters.len();
        let required = statement.parameters.len();
        if supplied != required {
            let message = format!(
                "bind message supplies {supplied} parameters, but prepared statement \"{}\" requires {required}",
                bind.statement
            );
            return Err(SqlError::new(SqlState::PROTOCOL_VIOLATION, message));
        }
        if !bind.portal.is_empty() && self.session.portals.contains_key(&bind.portal) {
            return Err(SqlError::new(
                SqlState::DUPLICATE_CURSOR,
                format!("cursor \"{}\" already exists", bind.portal),
            ));
        }
        Ok(())
    }

    pub(super) fn handle_describe(
        &mut self,
        body: &mut MessageReader<'_>,
    ) -> Result<(), MessageError> {
        let target = body.u8()?;
        let name = body.string()?;
        if target == TARGET_STATEMENT {
            let statement = self.prepared_statement(&name)?;
            if self.session.transaction_failed && !statement.columns.is_empty() {
                return Err(SqlError::failed_transaction().into());
            }
            self.write_parameter_description(&statement.parameters);
            self.write_result_description(&statement, &[]);
        } else {
            let portal = self.portal(&name)?;
            let statement = portal.statement.clone();
            let formats = portal.result_formats.clone();
            self.write_result_description(&statement, &formats);
        }
        Ok(())
    }

    fn portal(&self, name: &str) -> Result<&Portal, SqlError> {
        self.session.portals.get(name).ok_or_else(|| {
            SqlError::new(
                SqlState::INVALID_CURSOR_NAME,
                format!("portal \"{name}\" does not exist"),
            )
        })
    }

    fn write_parameter_description(&mut self, parameters: &[Type]) {
        let count = u16::try_from(parameters.len()).unwrap_or(0);
        let mut body = count.to_be_bytes().to_vec();
        for parameter in parameters {
            body.extend_from_slice(&parameter.0.to_be_bytes());
        }
        self.write_message(b't', &body);
    }

    fn write_result_description(&mut self, statement: &PreparedStatement, formats: &[u16]) {
        if statement.columns.is_empty() {
            self.write_message(b'n', b"");
        } else {
            self.write_row_description(&statement.columns, formats);
        }
    }

    pub(super) fn handle_execute(
        &mut self,
        body: &mut MessageReader<'_>,
    ) -> Result<(), MessageError> {
        let name = body.string()?;
        let row_limit = match body.u32()? {
            0 => None,
            limit => Some(limit as usize),
        };
        let portal = self.portal(&name)?.clone();
        let Some(statement) = &portal.statement.statement else {
            self.write_message(b'I', b"");
            return Ok(());
        };
        if portal.is_finished {
            return Err(SqlError::new(
                SqlState::OBJECT_NOT_IN_PREREQUISITE_STATE,
                format!("portal \"{name}\" cannot be run"),
            )
            .into());
        }
        let returns_rows = !portal.statement.columns.is_empty();
        self.update_portal(&name, |stored| stored.is_finished = !returns_rows);
        if let Statement::Copy {
            source, to, target, ..
        } = statement
        {
            self.execute_copy(source, *to, target, QueryProtocol::Extended)?;
            return Ok(());
        }
        let pending = match portal.pending {
            Some(pending) => pending,
            None => {
                let result =
                    self.execute_statement(statement, &portal.values, &portal.statement.sql)?;
                if row_limit.is_none() || result.columns.is_empty() {
                    self.finish_portal(&name, result, &portal.result_formats);
                    return Ok(());
                }
                PendingRows::all(result)
            }
        };
        self.fetch_from_portal(&name, pending, row_limit, &portal.result_formats);
        Ok(())
    }

    /// Writes all rows and the completion of a portal executed without a row limit.
    fn finish_portal(&mut self, name: &str, result: StatementResult, formats: &[u16]) {
        let count = self.write_rows(&result, formats);
        self.write_command_complete(&result, count);
        let is_begin = result.command_tag == "BEGIN";
        if !result.columns.is_empty() {
            self.update_portal(name, |portal| {
                portal.pending = Some(PendingRows::none(result));
            });
        }
        if is_begin {
            // PostgreSQL keeps the portal of a BEGIN, but no client executes that portal again.
            self.session.portals.remove(name);
        }
    }

    /// Writes the next rows of a portal: up to `row_limit`, or all remaining rows if `None`.
    fn fetch_from_portal(
        &mut self,
        name: &str,
        mut pending: PendingRows,
        row_limit: Option<usize>,
        formats: &[u16],
    ) {
        let available = pending.rows.len();
        let count = row_limit.map_or(available, |limit| limit.min(available));
        for row in pending.rows.drain(..count) {
            self.write_row(&row, &pending.result.columns, formats);
        }
        let limit_reached = row_limit.is_some_and(|limit| count >= limit);
        if pending.rows.is_empty() && !limit_reached {
            self.write_command_complete(&pending.result, count as u64);
        } else {
            self.write_message(b's', b"");
        }
        self.update_portal(name, |portal| portal.pending = Some(pending));
    }

    /// Updates a portal, if open.
    fn update_portal(&mut self, name: &str, update: impl FnOnce(&mut Portal)) {
        if let Some(portal) = self.session.portals.get_mut(name) {
            update(portal);
        }
    }

    pub(super) fn handle_close(
        &mut self,
        body: &mut MessageReader<'_>,
    ) -> Result<(), MessageError> {
        let target = body.u8()?;
        let name = body.string()?;
        if target == TARGET_STATEMENT {
            self.session.prepared.remove(&name);
        } else {
            self.session.portals.remove(&name);
        }
        self.write_message(b'3', b"");
        Ok(())
    }
}

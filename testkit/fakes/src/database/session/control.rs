//! Statements on the session rather than on tables: transaction control, settings, PREPARE, cursors, notifications.

use std::sync::Arc;

use sqlparser::ast::{DataType, DiscardObject, Expr, Ident, Statement};

use super::Session;
use crate::database::error::{SqlError, SqlState};
use crate::database::expression::{EvaluationScope, resolve_type};
use crate::database::result::StatementResult;
use crate::database::sync::lock;

impl Session {
    /// Executes a statement on the session or its transaction; `None` if it is a statement on tables.
    pub(super) fn execute_session_statement(
        &mut self,
        statement: &Statement,
    ) -> Result<Option<StatementResult>, SqlError> {
        let result = match statement {
            Statement::StartTransaction { modes, .. } => Ok(self.start_transaction(modes)),
            Statement::Commit { chain, .. } => self.commit_statement(*chain),
            Statement::Rollback {
                savepoint: None,
                chain,
            } => Ok(self.rollback_statement(*chain)),
            Statement::Rollback {
                savepoint: Some(name),
                ..
            } => self.rollback_to_savepoint(&name.value),
            Statement::Savepoint { name } => self.set_savepoint(&name.value),
            Statement::ReleaseSavepoint { name } => self.release_savepoint(&name.value),
            Statement::Set(set) => self.set_statement(set),
            Statement::ShowVariable { variable } => self.show(variable),
            Statement::Discard { object_type } => self.discard(*object_type),
            Statement::Deallocate { name, .. } => self.deallocate(name),
            Statement::Prepare {
                name,
                data_types,
                statement: prepared,
            } => self.prepare_statement(name, data_types, prepared),
            Statement::Execute {
                name: Some(name),
                parameters,
                ..
            } => self.execute_prepared(&name.to_string(), parameters),
            Statement::Declare { stmts } => return self.declare_cursor(stmts),
            Statement::Fetch {
                name, direction, ..
            } => self.fetch(&name.value, direction),
            Statement::Close { cursor } => self.close_cursor(cursor),
            Statement::LISTEN { channel } => Ok(self.listen(channel)),
            Statement::UNLISTEN { channel } => Ok(self.unlisten(channel)),
            Statement::NOTIFY { channel, payload } => Ok(self.notify(channel, payload.as_deref())),
            _ => return Ok(None),
        };
        result.map(Some)
    }

    /// DISCARD ALL; all other forms of DISCARD have no effect.
    fn discard(&mut self, object: DiscardObject) -> Result<StatementResult, SqlError> {
        if object == DiscardObject::ALL {
            if self.in_transaction_block {
                return Err(SqlError::new(
                    SqlState::ACTIVE_SQL_TRANSACTION,
                    "DISCARD ALL cannot run inside a transaction block",
                ));
            }
            self.prepared.clear();
            self.holdable_cursors.clear();
            self.listening_channels.clear();
            self.reset_all();
            lock(&self.server.advisory_locks).release_all(self.connection_id);
            lock(&self.server.store).drop_temporary_tables(&self.temporary_table_prefix());
        }
        Ok(StatementResult::command("DISCARD ALL"))
    }

    fn deallocate(&mut self, name: &Ident) -> Result<StatementResult, SqlError> {
        if name.value.eq_ignore_ascii_case("all") && name.quote_style.is_none() {
            self.prepared
                .retain(|prepared_name, _| prepared_name.is_empty());
            return Ok(StatementResult::command("DEALLOCATE ALL"));
        }
        self.prepared
            .remove(&name.value)
            .ok_or_else(|| SqlError::undefined_statement(&name.value))?;
        Ok(StatementResult::command("DEALLOCATE"))
    }

    fn prepare_statement(
        &mut self,
        name: &Ident,
        data_types: &[DataType],
        statement: &Statement,
    ) -> Result<StatementResult, SqlError> {
        let parameter_types = data_types
            .iter()
            .map(resolve_type)
            .collect::<Result<Vec<_>, _>>()?;
        let prepared = self.prepare(&statement.to_string(), &parameter_types)?;
        self.prepared.insert(name.value.clone(), Arc::new(prepared));
        Ok(StatementResult::command("PREPARE"))
    }

    fn execute_prepared(
        &mut self,
        name: &str,
        arguments: &[Expr],
    ) -> Result<StatementResult, SqlError> {
        let prepared = self
            .prepared
            .get(name)
            .cloned()
            .ok_or_else(|| SqlError::undefined_statement(name))?;
        let scope = EvaluationScope {
            columns: &[],
            row: &[],
            values: &[],
            context: &*self,
        };
        let mut values = Vec::with_capacity(arguments.len());
        for (argument, data_type) in arguments.iter().zip(&prepared.parameters) {
            values.push(scope.value(argument)?.cast(*data_type)?);
        }
        match &prepared.statement {
            Some(statement) => self.execute(statement, &values),
            None => Ok(StatementResult::command("")),
        }
    }

    fn listen(&mut self, channel: &Ident) -> StatementResult {
        self.listening_channels.push(channel.value.clone());
        StatementResult::command("LISTEN")
    }

    fn unlisten(&mut self, channel: &Ident) -> StatementResult {
        let is_wildcard = channel.value == "*";
        self.listening_channels
            .retain(|listening| !is_wildcard && *listening != channel.value);
        StatementResult::command("UNLISTEN")
    }

    fn notify(&mut self, channel: &Ident, payload: Option<&str>) -> StatementResult {
        self.server.notify(
            self.connection_id,
            &channel.value,
            payload.unwrap_or_default(),
        );
        StatementResult::command("NOTIFY")
    }
}

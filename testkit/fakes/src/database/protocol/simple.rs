//! The simple query protocol: executes all statements of a query string.

use sqlparser::ast::Statement;

use super::copy::{CopyProgress, QueryProtocol};
use super::{Backend, ConnectionClosed, MessageError, SEVERITY_ERROR};
use crate::database::catalogue::CatalogueQuery;
use crate::database::error::SqlError;
use crate::database::parse::parse_statements;

/// What follows a statement of a query string.
enum NextStep {
    /// The next statement is executed, or the query ends.
    Continue,
    /// The server waits for copy data; the statements after the COPY are not executed.
    AwaitCopyData,
}

impl Backend {
    /// Handles a Query message. An error skips the remaining statements.
    pub(super) fn handle_simple_query(&mut self, sql: &str) -> Result<(), ConnectionClosed> {
        self.session.prepared.remove("");
        match self.execute_query_string(sql) {
            Ok(NextStep::AwaitCopyData) => {}
            Ok(NextStep::Continue) => self.write_ready_for_query(),
            Err(MessageError::ConnectionClosed(closed)) => return Err(closed),
            Err(MessageError::Rejected(error)) => {
                self.write_error(SEVERITY_ERROR, &error);
                self.session.fail_transaction();
                self.write_ready_for_query();
            }
        }
        Ok(())
    }

    fn execute_query_string(&mut self, sql: &str) -> Result<NextStep, MessageError> {
        let statements = parse_query_string(sql)?;
        if statements.is_empty() {
            self.write_message(b'I', b"");
        }
        let last = statements.len().saturating_sub(1);
        for (position, statement) in statements.iter().enumerate() {
            let next_step = self.execute_simple_statement(statement, sql, position == last)?;
            if matches!(next_step, NextStep::AwaitCopyData) {
                return Ok(next_step);
            }
        }
        self.session.end_implicit_transaction()?;
        Ok(NextStep::Continue)
    }

    fn execute_simple_statement(
        &mut self,
        statement: &Statement,
        sql: &str,
        is_last: bool,
    ) -> Result<NextStep, MessageError> {
        if let Statement::Copy {
            source, to, target, ..
        } = statement
        {
            return match self.execute_copy(source, *to, target, QueryProtocol::Simple)? {
                CopyProgress::AwaitsData => Ok(NextStep::AwaitCopyData),
                CopyProgress::Complete => Ok(NextStep::Continue),
            };
        }
        let result = self.execute_statement(statement, &[], sql)?;
        if !result.columns.is_empty() {
            self.write_row_description(&result.columns, &[]);
        }
        let count = self.write_rows(&result, &[]);
        self.write_command_complete(&result, count);
        if is_last {
            // Outside a transaction block, all statements of a query string form one transaction.
            self.session.end_implicit_transaction()?;
        }
        Ok(NextStep::Continue)
    }
}

fn parse_query_string(sql: &str) -> Result<Vec<Statement>, SqlError> {
    if CatalogueQuery::recognize(sql).is_some() {
        // A placeholder: the parser may not support the query, which `execute_statement` recognizes by its text.
        parse_statements("SELECT 1")
    } else {
        parse_statements(sql)
    }
}

//! The simple query protocol: all statements of one text.

use sqlparser::ast::Statement;

use super::copy::{CopyProgress, QueryProtocol};
use super::{Backend, ConnectionClosed, MessageError, SEVERITY_ERROR};
use crate::database::catalogue::CatalogueQuery;
use crate::database::error::SqlError;
use crate::database::parse::parse_statements;

/// What happens after a statement of a text.
enum Progress {
    /// The next statement is executed.
    Next,
    /// The client sends the data of a COPY; the statements after it are not executed.
    AwaitsCopyData,
}

impl Backend {
    /// Executes the statements of a Query message; an error ends it.
    pub(super) fn simple_query(&mut self, sql: &str) -> Result<(), ConnectionClosed> {
        self.session.prepared.remove("");
        match self.execute_text(sql) {
            Ok(Progress::AwaitsCopyData) => {}
            Ok(Progress::Next) => self.write_ready_for_query(),
            Err(MessageError::ConnectionClosed(closed)) => return Err(closed),
            Err(MessageError::Rejected(error)) => {
                self.write_error(SEVERITY_ERROR, &error);
                self.session.fail_transaction();
                self.write_ready_for_query();
            }
        }
        Ok(())
    }

    fn execute_text(&mut self, sql: &str) -> Result<Progress, MessageError> {
        let statements = parse_text(sql)?;
        if statements.is_empty() {
            self.write_message(b'I', b"");
        }
        let last = statements.len().saturating_sub(1);
        for (position, statement) in statements.iter().enumerate() {
            let progress = self.execute_simple(statement, sql, position == last)?;
            if matches!(progress, Progress::AwaitsCopyData) {
                return Ok(progress);
            }
        }
        self.session.end_implicit_transaction()?;
        Ok(Progress::Next)
    }

    fn execute_simple(
        &mut self,
        statement: &Statement,
        sql: &str,
        is_last: bool,
    ) -> Result<Progress, MessageError> {
        if let Statement::Copy {
            source, to, target, ..
        } = statement
        {
            return match self.copy(source, *to, target, QueryProtocol::Simple)? {
                CopyProgress::AwaitsData => Ok(Progress::AwaitsCopyData),
                CopyProgress::Complete => Ok(Progress::Next),
            };
        }
        let result = self.execute_statement(statement, &[], sql)?;
        if !result.columns.is_empty() {
            self.write_row_description(&result.columns, &[]);
        }
        let count = self.write_rows(&result, &[]);
        self.write_command_complete(&result, count);
        if is_last {
            // The statements of one text are one transaction.
            self.session.end_implicit_transaction()?;
        }
        Ok(Progress::Next)
    }
}

fn parse_text(sql: &str) -> Result<Vec<Statement>, SqlError> {
    if CatalogueQuery::recognize(sql).is_some() {
        // Stands for the query, which the parser need not know.
        parse_statements("SELECT 1")
    } else {
        parse_statements(sql)
    }
}

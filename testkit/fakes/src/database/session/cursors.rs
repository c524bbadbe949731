//! SQL cursors: DECLARE, FETCH and CLOSE.

use std::sync::Arc;

use sqlparser::ast::{CloseCursor, Declare, FetchDirection, Statement};

use super::Session;
use crate::database::error::{SqlError, SqlState};
use crate::database::prepared::{PendingRows, Portal, PreparedStatement};
use crate::database::result::StatementResult;

impl Session {
    /// DECLARE CURSOR; `None` if the statement declares no cursor with a query.
    pub(super) fn declare_cursor(
        &mut self,
        declarations: &[Declare],
    ) -> Result<Option<StatementResult>, SqlError> {
        let Some(declaration) = declarations.first() else {
            return Ok(None);
        };
        let (Some(name), Some(query)) = (declaration.names.first(), &declaration.for_query) else {
            return Ok(None);
        };
        let is_holdable = declaration.hold == Some(true);
        if !is_holdable {
            self.require_transaction_block("DECLARE CURSOR")?;
        }
        let result = self.execute(&Statement::Query(query.clone()), &[])?;
        let cursors = if is_holdable {
            &mut self.holdable_cursors
        } else {
            &mut self.portals
        };
        cursors.insert(name.value.clone(), cursor_over(result));
        Ok(Some(StatementResult::command("DECLARE CURSOR")))
    }

    pub(super) fn fetch(
        &mut self,
        name: &str,
        direction: &FetchDirection,
    ) -> Result<StatementResult, SqlError> {
        let portal = self
            .portals
            .get_mut(name)
            .or_else(|| self.holdable_cursors.get_mut(name));
        let pending = portal
            .and_then(|portal| portal.pending.as_mut())
            .ok_or_else(|| undefined_cursor(name))?;
        let count = fetch_count(direction).min(pending.rows.len());
        Ok(StatementResult {
            columns: pending.result.columns.clone(),
            rows: pending.rows.drain(..count).collect(),
            command_tag: "FETCH",
            ..StatementResult::default()
        })
    }

    pub(super) fn close_cursor(
        &mut self,
        cursor: &CloseCursor,
    ) -> Result<StatementResult, SqlError> {
        match cursor {
            CloseCursor::All => {
                self.portals.clear();
                self.holdable_cursors.clear();
            }
            CloseCursor::Specific { name } => {
                let closed = self
                    .portals
                    .remove(&name.value)
                    .or_else(|| self.holdable_cursors.remove(&name.value));
                closed.ok_or_else(|| undefined_cursor(&name.value))?;
            }
        }
        Ok(StatementResult::command("CLOSE CURSOR"))
    }
}

/// A cursor positioned before the first row of a result.
fn cursor_over(result: StatementResult) -> Portal {
    let statement = PreparedStatement {
        sql: String::new(),
        statement: None,
        parameters: Vec::new(),
        columns: result.columns.clone(),
    };
    Portal {
        statement: Arc::new(statement),
        values: Vec::new(),
        result_formats: Vec::new(),
        pending: Some(PendingRows::all(result)),
        is_finished: false,
    }
}

/// The maximum number of rows that a FETCH returns.
fn fetch_count(direction: &FetchDirection) -> usize {
    match direction {
        FetchDirection::Count { limit } | FetchDirection::Forward { limit: Some(limit) } => {
            limit.to_string().parse().unwrap_or(1)
        }
        FetchDirection::All | FetchDirection::ForwardAll => usize::MAX,
        _ => 1,
    }
}

fn undefined_cursor(name: &str) -> SqlError {
    SqlError::new(
        SqlState::INVALID_CURSOR_NAME,
        format!("cursor \"{name}\" does not exist"),
    )
}

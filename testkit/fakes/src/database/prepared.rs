//! Prepared statements, and the portals (cursors) that execute them.

use std::collections::VecDeque;
use std::sync::Arc;

use sqlparser::ast::Statement;

use super::result::{ResultColumn, StatementResult};
use super::value::{Type, Value};

/// A prepared statement.
#[derive(Debug)]
pub(super) struct PreparedStatement {
    pub(super) sql: String,
    /// `None` for an empty query string.
    pub(super) statement: Option<Statement>,
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Vec<ResultColumn>,
}

/// A result with the rows that have not been fetched yet.
#[derive(Clone)]
pub(super) struct PendingRows {
    /// The result without its rows.
    pub(super) result: StatementResult,
    pub(super) rows: VecDeque<Vec<Value>>,
}

impl PendingRows {
    /// A result of which no rows have been fetched.
    pub(super) fn all(result: StatementResult) -> Self {
        let rows = result.expand_rows();
        Self {
            rows,
            ..Self::none(result)
        }
    }

    /// A result of which all rows have been fetched.
    pub(super) fn none(result: StatementResult) -> Self {
        Self {
            result: StatementResult {
                rows: Vec::new(),
                extra_copies: 0,
                ..result
            },
            rows: VecDeque::new(),
        }
    }
}

/// A portal or cursor: a prepared statement with its parameter values, and the rows that have not been fetched yet.
#[derive(Clone)]
pub(super) struct Portal {
    pub(super) statement: Arc<PreparedStatement>,
    pub(super) values: Vec<Value>,
    /// The result-column format codes of the Bind message.
    pub(super) result_formats: Vec<u16>,
    /// `None` until the portal is executed.
    pub(super) pending: Option<PendingRows>,
    /// Whether a statement that returns no rows has been executed; the portal cannot be executed again.
    pub(super) is_finished: bool,
}

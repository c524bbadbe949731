//! Prepared statements, and portals (cursors) over their results.

use std::collections::VecDeque;
use std::sync::Arc;

use sqlparser::ast::Statement;

use super::result::{ResultColumn, StatementResult};
use super::value::{Type, Value};

/// A statement that is prepared.
#[derive(Debug)]
pub(super) struct PreparedStatement {
    pub(super) sql: String,
    /// `None` for an empty text.
    pub(super) statement: Option<Statement>,
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Vec<ResultColumn>,
}

/// The rows of a result that were not fetched yet.
#[derive(Clone)]
pub(super) struct PendingRows {
    /// The result without its rows.
    pub(super) result: StatementResult,
    pub(super) rows: VecDeque<Vec<Value>>,
}

impl PendingRows {
    /// All rows of a result.
    pub(super) fn all(result: StatementResult) -> Self {
        let rows = result.expand_rows();
        Self {
            rows,
            ..Self::none(result)
        }
    }

    /// None of the rows of a result, for all were fetched.
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

/// A portal or cursor: a prepared statement with the values of its parameters, and what is left of its result.
#[derive(Clone)]
pub(super) struct Portal {
    pub(super) statement: Arc<PreparedStatement>,
    pub(super) values: Vec<Value>,
    /// The formats of the result's columns, as in Bind.
    pub(super) result_formats: Vec<u16>,
    /// `None` until it is executed.
    pub(super) pending: Option<PendingRows>,
    /// It was executed and returns no rows: it can't be executed again.
    pub(super) is_finished: bool,
}

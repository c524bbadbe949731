//! The result of a statement.

use std::collections::VecDeque;

use super::value::{Type, Value};

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ResultColumn {
    pub(super) name: String,
    pub(super) data_type: Type,
}

impl ResultColumn {
    pub(super) fn new(name: impl Into<String>, data_type: Type) -> Self {
        Self {
            name: name.into(),
            data_type,
        }
    }
}

/// The rows that a statement returns, and the data for its command tag.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementResult {
    /// Empty for a statement that returns no rows.
    pub(super) columns: Vec<ResultColumn>,
    pub(super) rows: Vec<Vec<Value>>,
    /// How many more times each row is returned; a large result of equal rows is stored as one row.
    pub(super) extra_copies: u64,
    /// The command tag in `CommandComplete`, without the row count.
    pub(super) command_tag: &'static str,
    /// The number of rows that the statement inserted, updated or deleted.
    pub(super) affected_rows: u64,
}

impl StatementResult {
    /// The result of a command that returns no rows.
    pub(super) fn command(command_tag: &'static str) -> Self {
        Self {
            command_tag,
            ..Self::default()
        }
    }

    /// All rows, with the extra copies.
    pub(super) fn expand_rows(&self) -> VecDeque<Vec<Value>> {
        let copies = usize::try_from(self.extra_copies).unwrap_or(0) + 1;
        self.rows
            .iter()
            .flat_map(|row| std::iter::repeat_n(row.clone(), copies))
            .collect()
    }
}

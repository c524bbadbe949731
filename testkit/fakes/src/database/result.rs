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

/// The rows that a statement returns, and how its completion is reported.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementResult {
    /// Empty for a statement that returns no rows.
    pub(super) columns: Vec<ResultColumn>,
    pub(super) rows: Vec<Vec<Value>>,
    /// Each row is returned this many times more, so that a large uniform result takes no memory.
    pub(super) extra_copies: u64,
    /// The first word or words of the command tag in `CommandComplete`.
    pub(super) command_tag: &'static str,
    /// Rows that the statement changed.
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

    /// All rows, each as often as it is returned.
    pub(super) fn expand_rows(&self) -> VecDeque<Vec<Value>> {
        let copies = usize::try_from(self.extra_copies).unwrap_or(0) + 1;
        self.rows
            .iter()
            .flat_map(|row| std::iter::repeat_n(row.clone(), copies))
            .collect()
    }
}

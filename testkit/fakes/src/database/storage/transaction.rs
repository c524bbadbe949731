//! An open transaction: its changes with what undoes them, and its savepoints.

use super::Table;
use crate::database::error::{SqlError, SqlState};

/// The number of a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::database) struct TransactionId(pub(in crate::database) u64);

/// A change, with what undoes it.
pub(super) enum Change {
    Inserted { table: String, row_id: u64 },
    Deleted { table: String, row_id: u64 },
    TableCreated { name: String },
    TableDropped { name: String, table: Box<Table> },
}

/// A named point of a transaction to which it can be rolled back.
pub(super) struct Savepoint {
    pub(super) name: String,
    /// How many changes the transaction had made.
    pub(super) change_count: usize,
}

/// A transaction that has not ended. It is ended by [`super::Store::commit`] or [`super::Store::rollback`].
pub(in crate::database) struct Transaction {
    pub(in crate::database) id: TransactionId,
    pub(super) changes: Vec<Change>,
    pub(super) savepoints: Vec<Savepoint>,
}

impl Transaction {
    /// The position of the last savepoint of this name.
    pub(super) fn savepoint_position(&self, name: &str) -> Result<usize, SqlError> {
        let position = self
            .savepoints
            .iter()
            .rposition(|savepoint| savepoint.name == name);
        position.ok_or_else(|| {
            SqlError::new(
                SqlState::INVALID_SAVEPOINT_SPECIFICATION,
                format!("savepoint \"{name}\" does not exist"),
            )
        })
    }
}

//! An open transaction: its changes, with the data to undo them, and its savepoints.

use super::Table;
use crate::database::error::{SqlError, SqlState};

/// The id of a transaction; ids are assigned in ascending order from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::database) struct TransactionId(pub(in crate::database) u64);

/// A change made by a transaction, with the data to undo it.
pub(super) enum Change {
    Inserted { table: String, row_id: u64 },
    Deleted { table: String, row_id: u64 },
    TableCreated { name: String },
    TableDropped { name: String, table: Box<Table> },
}

/// A named point in a transaction that the transaction can be rolled back to.
pub(super) struct Savepoint {
    pub(super) name: String,
    /// The number of changes that the transaction had made when the savepoint was set.
    pub(super) change_count: usize,
}

/// An open transaction, which [`super::Store::commit`] or [`super::Store::rollback`] ends.
pub(in crate::database) struct Transaction {
    pub(in crate::database) id: TransactionId,
    pub(super) changes: Vec<Change>,
    pub(super) savepoints: Vec<Savepoint>,
}

impl Transaction {
    /// The position of the latest savepoint with this name.
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

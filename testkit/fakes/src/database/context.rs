//! The interface of a session that statement execution depends on.

use super::error::SqlError;
use super::storage::Store;
use super::value::Value;

/// Functions, table name resolution and settings of a session.
pub(super) trait ExecutionContext {
    /// Calls a function by its lower-case name.
    fn call(&self, name: &str, arguments: &[Value]) -> Result<Value, SqlError>;

    /// Resolves a table name by the session's search path. Returns the name under which the table is stored.
    fn resolve_table(&self, store: &Store, name: &str) -> Result<String, SqlError>;

    /// The name under which a new table is to be stored.
    fn new_table_name(&self, name: &str, temporary: bool) -> String;

    /// The name of a setting in PostgreSQL's spelling.
    fn canonical_setting_name(&self, name: &str) -> String;
}

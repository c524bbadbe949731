//! What the execution of a statement needs of the session that it runs in.

use super::error::SqlError;
use super::storage::Store;
use super::value::Value;

/// Functions, names and settings as one session sees them.
pub(super) trait ExecutionContext {
    /// Calls a function by its name in lower case.
    fn call(&self, name: &str, arguments: &[Value]) -> Result<Value, SqlError>;

    /// The stored name of the table that a statement names, found by the session's search path.
    fn resolve_table(&self, store: &Store, name: &str) -> Result<String, SqlError>;

    /// The stored name of a table that a statement is about to create.
    fn new_table_name(&self, name: &str, temporary: bool) -> String;

    /// A setting's name in its usual spelling.
    fn canonical_setting_name(&self, name: &str) -> String;
}

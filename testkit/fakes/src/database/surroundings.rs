//! What a statement needs of the session that it runs in.

use super::Refusal;
use super::storage::Store;
use super::value::Value;

/// What a statement needs to know of its session.
pub(super) trait Surroundings {
    /// The value of a function.
    fn call(&self, name: &str, args: Vec<Value>) -> Result<Value, Refusal>;
    /// The name under which a table stands.
    fn table(&self, store: &Store, name: &str) -> Result<String, Refusal>;
    /// The name under which a new one will.
    fn new_table(&self, name: &str, temporary: bool) -> String;
    /// A setting's name as it is usually written.
    fn setting_name(&self, name: &str) -> String;
}

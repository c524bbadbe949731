//! Prepared statements of clients and of server connections. Each client has its own statement names. On a server
//! connection, the proxy assigns one name to each statement text and prepares the statement at the first use.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use bytes::Bytes;

use crate::extended_query::{StatementText, close_statement, parse};
use crate::frame::Frame;
use crate::sql_analysis::StatementEffects;

/// Maximum number of named statements of one client.
pub const MAX_NAMED_STATEMENTS: usize = 256;
/// Maximum number of statements prepared on one server connection; at the limit, the least recently used statement is
/// closed before a new one is prepared.
pub const MAX_SERVER_STATEMENTS: usize = 256;
/// Maximum size of the texts prepared on one server connection, in bytes; a single text may exceed it. At the limit, the
/// least recently used statements are closed before a new one is prepared.
pub const MAX_SERVER_STATEMENT_BYTES: usize = 512 * 1024;

/// Approximate memory for a client's statement in addition to its name and text, in bytes.
const STATEMENT_OVERHEAD_BYTES: usize = 512;
/// Prefix of statement names on server connections; a number follows.
const SERVER_NAME_PREFIX: &str = "bp";

/// The named statements of one client.
#[derive(Debug, Default)]
pub struct ClientStatements {
    texts: BTreeMap<Bytes, StatementText>,
    /// Cached effects of the texts, by statement name.
    effects: BTreeMap<Bytes, Rc<StatementEffects>>,
    /// Size of the names and texts, in bytes.
    bytes: usize,
}

/// A client exceeds [`MAX_NAMED_STATEMENTS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_NAMED_STATEMENTS} prepared statements")]
pub struct TooManyStatements;

impl ClientStatements {
    /// Adds or replaces a statement.
    ///
    /// # Errors
    /// [`TooManyStatements`] if the name is new and the client already has [`MAX_NAMED_STATEMENTS`] statements.
    pub fn insert(&mut self, name: Bytes, text: StatementText) -> Result<(), TooManyStatements> {
        if !self.has_capacity(&name) {
            return Err(TooManyStatements);
        }
        self.remove(&name);
        self.bytes += statement_bytes(&name, &text);
        self.texts.insert(name, text);
        Ok(())
    }

    /// Returns the effects of a statement's SQL; `None` if the client has no statement with this name.
    pub fn effects(&mut self, name: &Bytes) -> Option<Rc<StatementEffects>> {
        let text = self.texts.get(name)?;
        let effects = self
            .effects
            .entry(name.clone())
            .or_insert_with(|| Rc::new(text.analyze()));
        Some(effects.clone())
    }

    /// Whether [`Self::insert`] accepts this name: the name exists or the limit is not reached.
    #[must_use]
    pub fn has_capacity(&self, name: &[u8]) -> bool {
        self.texts.len() < MAX_NAMED_STATEMENTS || self.texts.contains_key(name)
    }

    /// Returns a statement's text; `None` if the client has no statement with this name.
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<&StatementText> {
        self.texts.get(name)
    }

    /// Size of the statements, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.texts.len()
    }

    /// Whether there are no statements.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.texts.is_empty()
    }

    /// Removes a statement, if it exists.
    pub fn remove(&mut self, name: &[u8]) {
        if let Some(text) = self.texts.remove(name) {
            self.bytes -= statement_bytes(name, &text);
        }
        self.effects.remove(name);
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.texts.clear();
        self.effects.clear();
        self.bytes = 0;
    }
}

/// Approximate memory for a client's statement, in bytes.
fn statement_bytes(name: &[u8], text: &StatementText) -> usize {
    STATEMENT_OVERHEAD_BYTES + name.len() + text.len()
}

/// A statement prepared on a server connection.
#[derive(Debug)]
struct ServerStatement {
    /// Number in the statement's name on the server connection.
    number: u64,
    /// Value of [`ServerStatements::uses`] at the last use.
    last_use: u64,
}

/// The statements prepared on one server connection.
#[derive(Debug, Default)]
pub struct ServerStatements {
    statements: HashMap<StatementText, ServerStatement>,
    /// Size of the texts, in bytes.
    bytes: usize,
    next_number: u64,
    /// Number of uses of all statements so far.
    uses: u64,
}

/// Name of a statement on a server connection and the messages that prepare the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementUse {
    /// The statement's name on the server connection.
    pub name: Bytes,
    /// Messages to send before the statement is used: empty if the statement is prepared, otherwise a `Parse`, preceded
    /// by a `Close` for each evicted statement. The responses must not be forwarded to the client.
    pub preparation: Vec<Frame>,
}

fn server_name(number: u64) -> Bytes {
    Bytes::from(format!("{SERVER_NAME_PREFIX}{number}"))
}

impl ServerStatements {
    /// Records a use of a statement and marks the statement as prepared.
    pub fn use_statement(&mut self, text: &StatementText) -> StatementUse {
        self.uses += 1;
        if let Some(statement) = self.statements.get_mut(text) {
            statement.last_use = self.uses;
            return StatementUse {
                name: server_name(statement.number),
                preparation: Vec::new(),
            };
        }
        let mut preparation = Vec::new();
        while self.needs_eviction(text)
            && let Some(evicted) = self.evict_least_recently_used()
        {
            preparation.push(close_statement(&server_name(evicted.number)));
        }
        let name = self.add(text);
        preparation.push(parse(&name, text));
        StatementUse { name, preparation }
    }

    /// Whether a statement has to be closed before this one is prepared.
    fn needs_eviction(&self, text: &StatementText) -> bool {
        self.statements.len() >= MAX_SERVER_STATEMENTS
            || self.bytes + text.len() > MAX_SERVER_STATEMENT_BYTES
    }

    /// Searches all statements, because evictions are rare compared with uses.
    fn evict_least_recently_used(&mut self) -> Option<ServerStatement> {
        let (oldest, _) = self
            .statements
            .iter()
            .min_by_key(|(_, statement)| statement.last_use)?;
        let oldest = oldest.clone();
        self.bytes -= oldest.len();
        self.statements.remove(&oldest)
    }

    /// Adds a statement under the next unused name. Returns the name.
    fn add(&mut self, text: &StatementText) -> Bytes {
        let statement = ServerStatement {
            number: self.next_number,
            last_use: self.uses,
        };
        self.next_number += 1;
        self.bytes += text.len();
        let name = server_name(statement.number);
        self.statements.insert(text.clone(), statement);
        name
    }

    /// Whether a statement is prepared on the connection.
    #[must_use]
    pub fn contains(&self, text: &StatementText) -> bool {
        self.statements.contains_key(text)
    }

    /// Removes a statement that could not be prepared or was deallocated.
    pub fn remove(&mut self, text: &StatementText) {
        if self.statements.remove(text).is_some() {
            self.bytes -= text.len();
        }
    }

    /// Removes all statements after they were deallocated.
    pub fn clear(&mut self) {
        self.statements.clear();
        self.bytes = 0;
    }
}

/// Whether a name has the format of the proxy's statement names on server connections.
#[must_use]
pub fn is_server_name(name: &[u8]) -> bool {
    name.strip_prefix(SERVER_NAME_PREFIX.as_bytes())
        .is_some_and(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit))
}

#[cfg(test)]
mod tests;

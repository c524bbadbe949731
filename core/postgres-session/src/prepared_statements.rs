//! Prepared statements that follow a client from one server connection to another. A client's names are its own; on a
//! server connection a statement has a name that this process gives it by its text, and is prepared there when it is
//! first needed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use bytes::Bytes;

use crate::extended_query::{StatementText, close_statement, parse};
use crate::frame::Frame;
use crate::sql_analysis::StatementEffects;

/// Most named statements of one client; one more is an error of the client's.
pub const MAX_NAMED_STATEMENTS: usize = 256;
/// Most statements that stay prepared on one server connection; the least recently used one is closed for a new one.
pub const MAX_SERVER_STATEMENTS: usize = 256;

/// What names of this process's own statements begin with; a number follows.
const SERVER_NAME_PREFIX: &str = "bp";

/// The named statements of one client.
#[derive(Debug, Default)]
pub struct ClientStatements {
    texts: BTreeMap<Bytes, StatementText>,
    /// Effects of the texts, so that each is analyzed once.
    effects: BTreeMap<Bytes, Rc<StatementEffects>>,
}

/// A client has more named statements than [`MAX_NAMED_STATEMENTS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_NAMED_STATEMENTS} prepared statements")]
pub struct TooManyStatements;

impl ClientStatements {
    /// Adds or replaces the statement of this name.
    ///
    /// # Errors
    /// [`TooManyStatements`] if the name is new and there are too many already.
    pub fn insert(&mut self, name: Bytes, text: StatementText) -> Result<(), TooManyStatements> {
        if !self.has_capacity(&name) {
            return Err(TooManyStatements);
        }
        self.effects.remove(&name);
        self.texts.insert(name, text);
        Ok(())
    }

    /// What the SQL of a named statement does.
    pub fn effects(&mut self, name: &Bytes) -> Option<Rc<StatementEffects>> {
        let text = self.texts.get(name)?;
        let effects = self
            .effects
            .entry(name.clone())
            .or_insert_with(|| Rc::new(text.analyze()));
        Some(effects.clone())
    }

    /// Whether a statement of this name can be inserted.
    #[must_use]
    pub fn has_capacity(&self, name: &[u8]) -> bool {
        self.texts.len() < MAX_NAMED_STATEMENTS || self.texts.contains_key(name)
    }

    /// The text of a named statement.
    #[must_use]
    pub fn get(&self, name: &[u8]) -> Option<&StatementText> {
        self.texts.get(name)
    }

    /// Removes the statement of this name.
    pub fn remove(&mut self, name: &[u8]) {
        self.texts.remove(name);
        self.effects.remove(name);
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        self.texts.clear();
        self.effects.clear();
    }
}

/// A statement that is prepared on a server connection.
#[derive(Debug)]
struct ServerStatement {
    /// The number in its name.
    number: u64,
    /// The value of [`ServerStatements::uses`] when it was used last.
    last_use: u64,
}

/// The statements that are prepared on one server connection.
#[derive(Debug, Default)]
pub struct ServerStatements {
    statements: HashMap<StatementText, ServerStatement>,
    next_number: u64,
    /// Uses of any statement so far.
    uses: u64,
}

/// How a statement can be used on a server connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatementUse {
    /// The statement's name there.
    pub name: Bytes,
    /// What must be sent first: nothing, or a `Close` of an evicted statement, if any, and the `Parse`. The client
    /// must not get the responses.
    pub preparation: Vec<Frame>,
}

fn server_name(number: u64) -> Bytes {
    Bytes::from(format!("{SERVER_NAME_PREFIX}{number}"))
}

impl ServerStatements {
    /// Uses a statement, which counts as prepared from here on.
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
        if self.statements.len() >= MAX_SERVER_STATEMENTS
            && let Some(evicted) = self.evict_least_recently_used()
        {
            preparation.push(close_statement(&server_name(evicted.number)));
        }
        let name = self.add(text);
        preparation.push(parse(&name, text));
        StatementUse { name, preparation }
    }

    /// Evictions are rare beside uses, so a search through all statements is cheap enough.
    fn evict_least_recently_used(&mut self) -> Option<ServerStatement> {
        let (oldest, _) = self
            .statements
            .iter()
            .min_by_key(|(_, statement)| statement.last_use)?;
        let oldest = oldest.clone();
        self.statements.remove(&oldest)
    }

    /// Adds a statement under the next name, which is returned.
    fn add(&mut self, text: &StatementText) -> Bytes {
        let statement = ServerStatement {
            number: self.next_number,
            last_use: self.uses,
        };
        self.next_number += 1;
        let name = server_name(statement.number);
        self.statements.insert(text.clone(), statement);
        name
    }

    /// Whether a statement is prepared here.
    #[must_use]
    pub fn contains(&self, text: &StatementText) -> bool {
        self.statements.contains_key(text)
    }

    /// A statement could not be prepared here, or is deallocated.
    pub fn remove(&mut self, text: &StatementText) {
        self.statements.remove(text);
    }

    /// All statements are deallocated.
    pub fn clear(&mut self) {
        self.statements.clear();
    }
}

/// Whether a name has the form of the names that this process gives to statements on server connections.
#[must_use]
pub fn is_server_name(name: &[u8]) -> bool {
    name.strip_prefix(SERVER_NAME_PREFIX.as_bytes())
        .is_some_and(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit))
}

#[cfg(test)]
mod tests;

//! The names of a client's prepared statements, as changed by messages that are not answered yet.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::extended_query::StatementText;
use crate::prepared_statements::{ClientStatements, MAX_NAMED_STATEMENTS};

/// The client's prepared statements after all messages sent so far, including unanswered ones.
pub(super) struct StatementNames<'a> {
    /// Named statements after the last answered message.
    pub(super) named: &'a ClientStatements,
    /// The unnamed statement after the last answered message.
    pub(super) unnamed: Option<&'a StatementText>,
    /// Changes by unanswered messages; `None` for a closed statement.
    pub(super) pending: &'a mut BTreeMap<Bytes, Option<StatementText>>,
}

impl StatementNames<'_> {
    pub(super) fn get(&self, name: &Bytes) -> Option<StatementText> {
        match self.pending.get(name) {
            Some(text) => text.clone(),
            None if name.is_empty() => self.unnamed.cloned(),
            None => self.named.get(name).cloned(),
        }
    }

    /// Whether the client may prepare a statement under this new name.
    pub(super) fn has_capacity(&self, name: &Bytes) -> bool {
        let prepares_new = |(name, text): (&Bytes, &Option<StatementText>)| {
            !name.is_empty() && text.is_some() && self.named.get(name).is_none()
        };
        let added = self.pending.iter().filter(|change| prepares_new(*change));
        let closed = self
            .pending
            .iter()
            .filter(|(name, text)| text.is_none() && self.named.get(name).is_some());
        self.named.get(name).is_some()
            || self.named.len() + added.count() < MAX_NAMED_STATEMENTS + closed.count()
    }

    pub(super) fn set(&mut self, name: Bytes, text: StatementText) {
        self.pending.insert(name, Some(text));
    }

    pub(super) fn remove(&mut self, name: Bytes) {
        self.pending.insert(name, None);
    }
}

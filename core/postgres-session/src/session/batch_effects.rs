//! Effects of a batch's statements, determined message by message, so that messages can be dropped once they are sent.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;

use crate::extended_query::{self, ParseMessage, StatementText};
use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::prepared_statements::ClientStatements;
use crate::sql_analysis::{self, StatementEffects};

/// The client's prepared statements when a batch is analyzed.
pub(super) struct KnownStatements<'a> {
    /// Named statements after the last answered message.
    pub(super) named: &'a mut ClientStatements,
    /// The unnamed statement after the last answered message.
    pub(super) unnamed: Option<&'a StatementText>,
    /// Changes by messages of the batch that are sent and unanswered; `None` for a closed statement.
    pub(super) pending: &'a BTreeMap<Bytes, Option<StatementText>>,
}

impl KnownStatements<'_> {
    fn unnamed(&self) -> Option<StatementText> {
        match self.pending.get(&b""[..]) {
            Some(text) => text.clone(),
            None => self.unnamed.cloned(),
        }
    }

    fn effects(&mut self, name: &Bytes) -> Option<Rc<StatementEffects>> {
        match self.pending.get(name) {
            Some(text) => text.as_ref().map(|text| Rc::new(text.analyze())),
            None => self.named.effects(name),
        }
    }
}

/// Effects of the messages of a batch that have been analyzed so far.
#[derive(Debug, Default)]
pub(super) struct BatchEffects {
    /// Effects of all statements, as if each bound statement were executed.
    merged: StatementEffects,
    /// Effects of the only statement; `None` if there is none or more than one.
    only: Option<Rc<StatementEffects>>,
    statements: usize,
    binds: usize,
    executes: usize,
    has_query: bool,
}

impl BatchEffects {
    /// Adds the effects of `frames[start..]`. The messages before `start` have been added already. Statements whose
    /// text is unknown have no effects.
    pub(super) fn add(&mut self, frames: &[Frame], start: usize, known: &mut KnownStatements<'_>) {
        let (analyzed, added) = frames.split_at(start);
        let mut unnamed = last_unnamed_text(analyzed).or_else(|| known.unnamed());
        for frame in added {
            match frame.tag {
                frontend::QUERY => {
                    self.has_query = true;
                    let sql = frame.first_string().unwrap_or_default();
                    self.add_statement(Rc::new(sql_analysis::analyze_bytes(sql)));
                }
                // The message identifies the function by object ID, so its effects are unknown.
                frontend::FUNCTION_CALL => {
                    self.add_statement(Rc::new(StatementEffects::unknown()));
                }
                frontend::PARSE => unnamed = unnamed_text(frame).or(unnamed),
                frontend::BIND => {
                    self.binds += 1;
                    let name = extended_query::bind_statement(frame).unwrap_or_default();
                    if let Some(effects) = bound_effects(&name, unnamed.as_ref(), frames, known) {
                        self.add_statement(effects);
                    }
                }
                frontend::EXECUTE => self.executes += 1,
                _ => {}
            }
        }
    }

    fn add_statement(&mut self, one: Rc<StatementEffects>) {
        let merged = &mut self.merged;
        merged.steps.extend(&one.steps);
        merged.sticky_reason = merged.sticky_reason.or(one.sticky_reason);
        merged.discards_all = one.discards_all;
        merged.deallocates_all |= one.deallocates_all;
        merged.resets_all_settings |= one.resets_all_settings;
        merged.may_change_transaction_modes |= one.may_change_transaction_modes;
        merged.is_standalone = one.is_standalone && merged.steps.len() == 1;
        merged
            .reset_settings
            .retain(|name| !one.set_settings.contains(name));
        merged
            .reset_settings
            .extend(one.reset_settings.iter().cloned());
        self.statements += 1;
        self.only = (self.statements == 1).then_some(one);
    }

    /// The combined effects. Resets of settings are included only if every bound statement is executed.
    pub(super) fn combined(&self) -> Rc<StatementEffects> {
        let executes_all = self.binds == 0 || (self.binds == self.executes && !self.has_query);
        if executes_all && let Some(only) = &self.only {
            // Shared with the cached effects of a prepared statement.
            return only.clone();
        }
        let mut merged = self.merged.clone();
        if !executes_all {
            merged.reset_settings.clear();
        }
        Rc::new(merged)
    }

    /// Reduces the memory for statements whose messages are sent: of equal steps only the last one is kept. A batch
    /// that is sent in parts is never answered without a server, so the exact sequence is not needed.
    pub(super) fn compact(&mut self) {
        for step in std::mem::take(&mut self.merged.steps) {
            self.merged.steps.retain(|known| *known != step);
            self.merged.steps.push(step);
        }
        self.merged.reset_settings.sort_unstable();
        self.merged.reset_settings.dedup();
    }
}

/// Returns the text of the first `Parse` for this statement name.
pub(super) fn parsed_text(frames: &[Frame], name: &Bytes) -> Option<StatementText> {
    frames
        .iter()
        .filter(|frame| frame.tag == frontend::PARSE)
        .filter_map(|frame| ParseMessage::read(frame).ok())
        .find(|parse| parse.name == *name)
        .map(|parse| parse.text)
}

/// Returns the text of a `Parse` of the unnamed statement; `None` for other messages.
fn unnamed_text(frame: &Frame) -> Option<StatementText> {
    if frame.tag != frontend::PARSE {
        return None;
    }
    let parse = ParseMessage::read(frame).ok()?;
    parse.name.is_empty().then_some(parse.text)
}

fn last_unnamed_text(frames: &[Frame]) -> Option<StatementText> {
    frames.iter().rev().find_map(unnamed_text)
}

/// Returns the effects of the statement named by a `Bind`; `None` if its text is unknown.
fn bound_effects(
    name: &Bytes,
    unnamed: Option<&StatementText>,
    frames: &[Frame],
    known: &mut KnownStatements<'_>,
) -> Option<Rc<StatementEffects>> {
    // A statement prepared by this batch is not among the known ones before its `Parse` is answered.
    let text = if name.is_empty() {
        unnamed.cloned()
    } else {
        parsed_text(frames, name)
    };
    match text {
        Some(text) => Some(Rc::new(text.analyze())),
        None => known.effects(name),
    }
}

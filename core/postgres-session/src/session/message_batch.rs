//! A batch: the messages of a client that are answered by one `ReadyForQuery`.

use std::rc::Rc;

use bytes::Bytes;

use crate::extended_query::{self, ParseMessage, StatementText};
use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::prepared_statements::ClientStatements;
use crate::sql_analysis::{self, StatementEffects};

/// Messages up to a `Sync`, `Query` or `FunctionCall`, which are answered by one `ReadyForQuery`.
#[derive(Debug, Default)]
pub(super) struct MessageBatch {
    /// All messages so far. They are kept until the response is complete, as another server may have to get them.
    pub(super) frames: Vec<Frame>,
    /// The last message has come.
    pub(super) is_complete: bool,
    /// How many messages are followed by a `Flush`, and so must be sent before the batch is complete.
    pub(super) flushed_count: usize,
    /// How many messages have been sent to the server.
    pub(super) sent_count: usize,
    /// The batch has failed before its `Sync` came: all up to that is dropped.
    pub(super) is_skipped: bool,
    /// How many `CloseComplete`s of the batch the client has got.
    pub(super) close_completes_sent: usize,
    /// What its statements do, as far as it had come when that was first determined.
    pub(super) effects: Option<Rc<StatementEffects>>,
}

impl MessageBatch {
    /// A batch of which all up to its `Sync` is dropped.
    pub(super) fn skipped() -> Self {
        Self {
            is_skipped: true,
            ..Self::default()
        }
    }

    /// Whether it closes statements and portals and does nothing else.
    pub(super) fn only_closes(&self) -> bool {
        self.frames.iter().all(|frame| {
            matches!(
                frame.tag,
                frontend::CLOSE | frontend::SYNC | frontend::FLUSH
            )
        })
    }

    /// How many messages may be sent to a server by now.
    pub(super) fn ready_count(&self) -> usize {
        if self.is_complete {
            self.frames.len()
        } else {
            self.flushed_count
        }
    }

    /// Size of the messages on the wire, in bytes.
    pub(super) fn wire_len(&self) -> usize {
        self.frames.iter().map(Frame::wire_len).sum()
    }

    /// Whether the last message so far has this tag.
    pub(super) fn ends_with(&self, tag: u8) -> bool {
        self.frames.last().is_some_and(|last| last.tag == tag)
    }

    /// The first message with this tag.
    pub(super) fn first(&self, tag: u8) -> Option<&Frame> {
        self.frames.iter().find(|frame| frame.tag == tag)
    }

    /// The text that the batch prepares under this name.
    pub(super) fn parsed_text(&self, name: &Bytes) -> Option<StatementText> {
        self.frames
            .iter()
            .filter(|frame| frame.tag == frontend::PARSE)
            .filter_map(|frame| ParseMessage::read(frame).ok())
            .find(|parse| parse.name == *name)
            .map(|parse| parse.text)
    }

    /// What the statements of the batch do, as far as it has come and their texts are known.
    pub(super) fn analyze(
        &self,
        statements: &mut ClientStatements,
        unnamed_statement: Option<&StatementText>,
    ) -> Rc<StatementEffects> {
        let mut effects = self.statement_effects(statements, unnamed_statement);
        let executes_all = self.executes_all_bound();
        if executes_all && effects.len() == 1 {
            // The usual batch uses one statement, which has been analyzed before.
            return effects.pop().unwrap_or_default();
        }
        Rc::new(merge_effects(&effects, executes_all))
    }

    /// The effects of each statement that the batch runs or binds, in order.
    fn statement_effects(
        &self,
        statements: &mut ClientStatements,
        unnamed_statement: Option<&StatementText>,
    ) -> Vec<Rc<StatementEffects>> {
        let mut unnamed_statement = unnamed_statement.cloned();
        let mut effects = Vec::new();
        for frame in &self.frames {
            match frame.tag {
                frontend::QUERY => {
                    let sql = frame.first_string().unwrap_or_default();
                    effects.push(Rc::new(sql_analysis::analyze_bytes(sql)));
                }
                // The message names the function by its number, which does not tell what it does.
                frontend::FUNCTION_CALL => effects.push(Rc::new(StatementEffects::unknown())),
                frontend::PARSE => {
                    if let Ok(parse) = ParseMessage::read(frame)
                        && parse.name.is_empty()
                    {
                        unnamed_statement = Some(parse.text);
                    }
                }
                frontend::BIND => {
                    let name = extended_query::bind_statement(frame).unwrap_or_default();
                    effects.extend(self.bound_effects(
                        &name,
                        unnamed_statement.as_ref(),
                        statements,
                    ));
                }
                _ => {}
            }
        }
        effects
    }

    /// The effects of the statement that a `Bind` names, if its text is known.
    fn bound_effects(
        &self,
        name: &Bytes,
        unnamed_statement: Option<&StatementText>,
        statements: &mut ClientStatements,
    ) -> Option<Rc<StatementEffects>> {
        // A statement that this batch prepares is not among the client's statements yet.
        let text = if name.is_empty() {
            unnamed_statement.cloned()
        } else {
            self.parsed_text(name)
        };
        match text {
            Some(text) => Some(Rc::new(text.analyze())),
            None => statements.effects(name),
        }
    }

    /// Whether all that is bound is executed, so that its resets of settings can be relied on: there are as many
    /// `Execute`s as `Bind`s and no `Query` among them.
    fn executes_all_bound(&self) -> bool {
        let binds = self.count(frontend::BIND);
        binds == 0 || (binds == self.count(frontend::EXECUTE) && self.count(frontend::QUERY) == 0)
    }

    fn count(&self, tag: u8) -> usize {
        self.frames.iter().filter(|frame| frame.tag == tag).count()
    }
}

/// The effects of several statements that run one after the other. Resets of settings count only if it is known that
/// the statements are executed.
fn merge_effects(effects: &[Rc<StatementEffects>], executes_all: bool) -> StatementEffects {
    let mut merged = StatementEffects::default();
    for one in effects {
        merged.steps.extend(&one.steps);
        merged.sticky_reason = merged.sticky_reason.or(one.sticky_reason);
        merged.discards_all = one.discards_all;
        merged.deallocates_all |= one.deallocates_all;
        merged.resets_all_settings |= one.resets_all_settings;
        merged.is_standalone = one.is_standalone && merged.steps.len() == 1;
        merged
            .reset_settings
            .retain(|name| !one.set_settings.contains(name));
        if executes_all {
            merged
                .reset_settings
                .extend(one.reset_settings.iter().cloned());
        }
    }
    merged
}

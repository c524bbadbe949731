//! Batches of client messages and their effects on the transaction and the session.

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
    /// Messages received so far, kept until the response is complete so that they can be sent to another server.
    pub(super) frames: Vec<Frame>,
    /// The `Sync`, `Query` or `FunctionCall` that ends the batch was received.
    pub(super) is_complete: bool,
    /// Number of messages up to the last `Flush`, which are sent before the batch is complete.
    pub(super) flushed_count: usize,
    /// Number of messages sent to the server.
    pub(super) sent_count: usize,
    /// The batch failed before its `Sync` was received; all messages up to the `Sync` are dropped.
    pub(super) is_skipped: bool,
    /// Number of `CloseComplete` messages of the batch that were sent to the client.
    pub(super) close_completes_sent: usize,
    /// Cached effects of the statements; `None` until the effects of the complete batch are determined.
    pub(super) effects: Option<Rc<StatementEffects>>,
}

impl MessageBatch {
    /// Creates a batch whose messages up to its `Sync` are dropped.
    pub(super) fn skipped() -> Self {
        Self {
            is_skipped: true,
            ..Self::default()
        }
    }

    /// Whether the batch only closes statements and portals.
    pub(super) fn only_closes(&self) -> bool {
        self.frames.iter().all(|frame| {
            matches!(
                frame.tag,
                frontend::CLOSE | frontend::SYNC | frontend::FLUSH
            )
        })
    }

    /// Number of messages that may be sent to a server.
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

    /// Whether the last received message has this tag.
    pub(super) fn ends_with(&self, tag: u8) -> bool {
        self.frames.last().is_some_and(|last| last.tag == tag)
    }

    /// Returns the first message with this tag.
    pub(super) fn first(&self, tag: u8) -> Option<&Frame> {
        self.frames.iter().find(|frame| frame.tag == tag)
    }

    /// Returns the text of the batch's first `Parse` for this statement name.
    pub(super) fn parsed_text(&self, name: &Bytes) -> Option<StatementText> {
        self.frames
            .iter()
            .filter(|frame| frame.tag == frontend::PARSE)
            .filter_map(|frame| ParseMessage::read(frame).ok())
            .find(|parse| parse.name == *name)
            .map(|parse| parse.text)
    }

    /// Determines the combined effects of the received messages. Statements whose text is unknown have no effects.
    pub(super) fn analyze(
        &self,
        statements: &mut ClientStatements,
        unnamed_statement: Option<&StatementText>,
    ) -> Rc<StatementEffects> {
        let mut effects = self.statement_effects(statements, unnamed_statement);
        let executes_all = self.executes_all_bound();
        if executes_all && effects.len() == 1 {
            // Share the cached effects of a single statement.
            return effects.pop().unwrap_or_default();
        }
        Rc::new(merge_effects(&effects, executes_all))
    }

    /// Returns the effects of each statement that the batch runs or binds, in order.
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
                // The message identifies the function by object ID, so its effects are unknown.
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

    /// Returns the effects of the statement named by a `Bind`; `None` if its text is unknown.
    fn bound_effects(
        &self,
        name: &Bytes,
        unnamed_statement: Option<&StatementText>,
        statements: &mut ClientStatements,
    ) -> Option<Rc<StatementEffects>> {
        // A statement prepared by this batch is not in `statements` yet.
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

    /// Whether every bound statement is executed, so that its resets of settings take effect: the batch has as many
    /// `Execute` as `Bind` messages and no `Query`.
    fn executes_all_bound(&self) -> bool {
        let binds = self.count(frontend::BIND);
        binds == 0 || (binds == self.count(frontend::EXECUTE) && self.count(frontend::QUERY) == 0)
    }

    fn count(&self, tag: u8) -> usize {
        self.frames.iter().filter(|frame| frame.tag == tag).count()
    }
}

/// Combines the effects of statements that run one after another. Resets of settings are included only if
/// `executes_all` is set.
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

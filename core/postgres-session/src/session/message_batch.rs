//! Batches of client messages.

use std::rc::Rc;

use bytes::Bytes;

use super::batch_effects::{self, BatchEffects, KnownStatements};
use crate::extended_query::StatementText;
use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::sql_analysis::StatementEffects;

/// Messages up to a `Sync`, `Query` or `FunctionCall`, which are answered by one `ReadyForQuery`.
#[derive(Debug, Default)]
pub(super) struct MessageBatch {
    /// Messages received so far, kept until the response is complete so that they can be sent to another server. If the
    /// batch is streamed, only the messages that are not sent yet.
    pub(super) frames: Vec<Frame>,
    /// The `Sync`, `Query` or `FunctionCall` that ends the batch was received.
    pub(super) is_complete: bool,
    /// Number of messages up to the last `Flush`, or up to the last one that was received when the buffer was full.
    /// They are sent before the batch is complete.
    pub(super) flushed_count: usize,
    /// Number of messages in `frames` that are sent to the server.
    pub(super) sent_count: usize,
    /// Messages were dropped after they were sent, because the batch is larger than the buffer. The batch cannot be
    /// sent to another server.
    pub(super) is_streamed: bool,
    /// Messages of the batch were answered without a server.
    pub(super) has_local_responses: bool,
    /// The batch failed before its `Sync` was received; all messages up to the `Sync` are dropped.
    pub(super) is_skipped: bool,
    /// Number of `CloseComplete` messages of the batch that were sent to the client.
    pub(super) close_completes_sent: usize,
    /// Effects of the statements; `None` until the batch is complete and analyzed.
    pub(super) effects: Option<Rc<StatementEffects>>,
    /// Effects of the first `analyzed_count` messages of an incomplete batch, and of dropped ones.
    partial_effects: Option<Box<BatchEffects>>,
    analyzed_count: usize,
}

impl MessageBatch {
    /// Creates a batch whose messages up to its `Sync` are dropped.
    pub(super) fn skipped() -> Self {
        Self {
            is_skipped: true,
            ..Self::default()
        }
    }

    /// Creates a complete batch whose messages were dropped, and whose `Sync` is to be answered.
    pub(super) fn dropped() -> Self {
        Self {
            is_complete: true,
            ..Self::default()
        }
    }

    /// Whether a part of the batch was sent to the server.
    pub(super) fn is_started(&self) -> bool {
        self.sent_count > 0 || self.is_streamed
    }

    /// Whether the batch only closes statements and portals.
    pub(super) fn only_closes(&self) -> bool {
        !self.is_streamed
            && self.frames.iter().all(|frame| {
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
        batch_effects::parsed_text(&self.frames, name)
    }

    /// Determines the combined effects of all messages received so far.
    pub(super) fn analyze(&mut self, known: &mut KnownStatements<'_>) -> Rc<StatementEffects> {
        if let Some(effects) = &self.effects {
            return effects.clone();
        }
        let mut effects = self.partial_effects.take().unwrap_or_default();
        effects.add(&self.frames, self.analyzed_count, known);
        let combined = effects.combined();
        if self.is_complete {
            self.effects = Some(combined.clone());
        } else {
            self.analyzed_count = self.frames.len();
            self.partial_effects = Some(effects);
        }
        combined
    }

    /// Drops the sent messages, which must be analyzed. Returns their size on the wire, in bytes.
    pub(super) fn drop_sent(&mut self) -> usize {
        let sent = self.frames.drain(..self.sent_count);
        let bytes = sent.map(|frame| frame.wire_len()).sum();
        self.flushed_count -= self.sent_count;
        self.analyzed_count -= self.sent_count;
        self.sent_count = 0;
        self.is_streamed = true;
        if let Some(effects) = &mut self.partial_effects {
            effects.compact();
        }
        bytes
    }

    /// Takes the first message, which is answered without a server. None of the messages may have been sent.
    pub(super) fn take_first_for_local_response(&mut self) -> Option<Frame> {
        if self.frames.is_empty() {
            return None;
        }
        let first = self.frames.remove(0);
        self.flushed_count = self.flushed_count.saturating_sub(1);
        self.has_local_responses = true;
        self.effects = None;
        self.partial_effects = None;
        self.analyzed_count = 0;
        Some(first)
    }

    /// Drops all messages but the last `kept` ones, because the server ignores them after an error.
    pub(super) fn drop_ignored(&mut self, kept: usize) {
        let ignored = self.frames.len().saturating_sub(kept);
        self.frames.drain(..ignored);
        *self = Self {
            frames: std::mem::take(&mut self.frames),
            is_complete: self.is_complete,
            close_completes_sent: self.close_completes_sent,
            ..Self::default()
        };
    }
}

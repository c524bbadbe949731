//! Limits on the client messages that a session buffers, and what happens when the buffer is full.

use super::Session;
use super::message_batch::MessageBatch;
use super::server_link::ServerLink;
use crate::extended_query::StatementText;

/// Unanswered batches at which [`Session::accepts_client_messages`] returns false.
pub const MAX_PENDING_BATCHES: usize = 64;

/// Limits of the client messages that a session buffers. The buffer can exceed them by one message. The messages of an
/// incomplete batch that reaches a limit are sent to the server before the batch is complete.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    /// Size of the messages on the wire, in bytes.
    pub bytes: usize,
    /// Number of messages; also of messages that the server has not answered, and of statement names that they change.
    pub messages: usize,
}

impl Default for BufferLimits {
    fn default() -> Self {
        Self {
            bytes: 64 * 1024,
            messages: 1024,
        }
    }
}

/// Client messages that a session has buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Size of the messages on the wire, in bytes.
    pub bytes: usize,
    /// Number of messages that are buffered, or sent and unanswered, whichever is larger.
    pub messages: usize,
    /// Number of unanswered batches.
    pub batches: usize,
}

/// What a session holds for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldMessages {
    /// Size of the unanswered messages and of the prepared statements, in bytes.
    pub bytes: usize,
    /// The end of the last batch has not been received.
    pub has_incomplete_batch: bool,
}

impl Session {
    /// Whether the caller should read more from the client: the session has not ended, its buffer is not full, fewer
    /// than [`MAX_PENDING_BATCHES`] batches are unanswered, and the server has answered most of the messages sent.
    #[must_use]
    pub fn accepts_client_messages(&self) -> bool {
        !self.ended
            && !self.is_buffer_full()
            && self.batches.len() < MAX_PENDING_BATCHES
            && self.unanswered_messages() < self.buffer_limits.messages
    }

    fn is_buffer_full(&self) -> bool {
        let (mut bytes, mut messages) = (self.buffered_bytes, self.buffered_messages());
        if let Some(batch) = self.copying_batch() {
            bytes = bytes.saturating_sub(batch.wire_len());
            messages = messages.saturating_sub(batch.frames.len());
        }
        bytes >= self.buffer_limits.bytes || messages >= self.buffer_limits.messages
    }

    /// The complete batch for which the server waits for copy data from the client, or for the `Sync` behind the data.
    /// However large the batch is, these have to be read.
    fn copying_batch(&self) -> Option<&MessageBatch> {
        let ServerLink::Attached(server) = &self.server_link else {
            return None;
        };
        let first = self.batches.front()?;
        (server.awaits_copy_end() && first.is_complete).then_some(first)
    }

    fn buffered_messages(&self) -> usize {
        self.batches.iter().map(|batch| batch.frames.len()).sum()
    }

    /// Number of sent messages that the server has to answer before more is read from the client. They are followed by
    /// a `Flush` or a `Sync`, so the server answers them; only in a copy it waits for the client.
    fn unanswered_messages(&self) -> usize {
        match &self.server_link {
            ServerLink::Attached(server) if !server.awaits_copy_end() => {
                server.expected.len().max(self.pending_names.len())
            }
            _ => 0,
        }
    }

    /// Size of the client's unanswered messages.
    #[must_use]
    pub fn backlog(&self) -> Backlog {
        Backlog {
            bytes: self.buffered_bytes,
            messages: self.buffered_messages().max(self.unanswered_messages()),
            batches: self.batches.len(),
        }
    }

    /// What the session holds for its client.
    #[must_use]
    pub fn held_memory(&self) -> HeldMessages {
        let pending = self.pending_names.values().flatten();
        let statements = pending.chain(&self.unnamed_statement);
        let statement_bytes: usize = statements.map(StatementText::len).sum();
        HeldMessages {
            bytes: self.buffered_bytes + self.named_statements.bytes() + statement_bytes,
            has_incomplete_batch: self
                .batches
                .back()
                .is_some_and(|batch| !batch.is_complete && !batch.is_skipped),
        }
    }

    /// If the first batch is incomplete and fills the buffer, lets its messages be sent: nothing more is read from the
    /// client before, so the rest of the batch would never arrive.
    pub(super) fn flush_full_batch(&mut self) {
        if !self.is_buffer_full() {
            return;
        }
        if let Some(batch) = self.batches.front_mut() {
            batch.flushed_count = batch.frames.len();
        }
    }

    /// Makes room for the rest of an incomplete batch that fills the buffer.
    pub(super) fn drop_sent_messages(&mut self) {
        if !self.is_buffer_full() {
            return;
        }
        if let Some(batch) = self.batches.front_mut()
            && !batch.is_complete
        {
            self.buffered_bytes = self.buffered_bytes.saturating_sub(batch.drop_sent());
        }
    }
}

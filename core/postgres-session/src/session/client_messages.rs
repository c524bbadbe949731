//! Collects messages from the client into batches.

use bytes::Bytes;

use super::message_batch::MessageBatch;
use super::server_link::ServerLink;
use super::{Action, Session, encode, send_to_client};
use crate::frame::{DecodeResult, Frame};
use crate::message_tags::frontend;
use crate::server_messages::{self, ErrorReason};

impl Session {
    pub(super) fn on_client_message(&mut self, message: DecodeResult, actions: &mut Vec<Action>) {
        let frame = match message {
            DecodeResult::Chunk { bytes, last, .. } => {
                return self.forward_copy_data(bytes, last, actions);
            }
            DecodeResult::Frame(frame) => frame,
        };
        match frame.tag {
            frontend::TERMINATE => self.end(actions),
            frontend::COPY_DONE | frontend::COPY_FAIL => {
                self.forward_copy_data(encode(&frame), true, actions);
                if let ServerLink::Attached(server) = &mut self.server_link {
                    server.is_copying_in = false;
                }
            }
            frontend::PARSE
            | frontend::BIND
            | frontend::DESCRIBE
            | frontend::EXECUTE
            | frontend::CLOSE
            | frontend::FLUSH
            | frontend::SYNC
            | frontend::QUERY
            | frontend::FUNCTION_CALL => self.add_message(frame, actions),
            _ => self.reject_violation(None, actions),
        }
    }

    /// Adds a message to the last batch, or starts a new batch if the last one is complete.
    fn add_message(&mut self, frame: Frame, actions: &mut Vec<Action>) {
        if frame.tag == frontend::SYNC
            && (self.forward_sync_behind_copy(&frame, actions) || self.drop_second_sync())
        {
            return;
        }
        if self.batches.back().is_none_or(|batch| batch.is_complete) {
            if frame.tag == frontend::FLUSH {
                // All earlier batches are complete and sent without a `Flush`.
                return;
            }
            self.batches.push_back(MessageBatch::default());
        }
        let Some(batch) = self.batches.back_mut() else {
            return;
        };
        if batch.is_skipped {
            if frame.tag == frontend::SYNC {
                self.finish_first_batch(actions);
            }
            return;
        }
        self.buffered_bytes += frame.wire_len();
        // As in a server, a `Query` ends a batch that has no `Sync`.
        batch.is_complete = matches!(
            frame.tag,
            frontend::SYNC | frontend::QUERY | frontend::FUNCTION_CALL
        );
        let is_flush = frame.tag == frontend::FLUSH;
        batch.frames.push(frame);
        if is_flush {
            batch.flushed_count = batch.frames.len();
        }
    }

    /// Forwards the `Sync` that follows copy data if the server ignored the `Sync` before the data. Returns whether
    /// the `Sync` was forwarded.
    fn forward_sync_behind_copy(&mut self, sync: &Frame, actions: &mut Vec<Action>) -> bool {
        let ServerLink::Attached(server) = &mut self.server_link else {
            return false;
        };
        let is_only_batch_sent = self.batches.len() == 1
            && self
                .batches
                .front()
                .is_some_and(|batch| batch.is_complete && batch.sent_count == batch.frames.len());
        if !server.has_ignored_sync || !is_only_batch_sent {
            return false;
        }
        server.has_ignored_sync = false;
        actions.push(Action::ToServer(encode(sync)));
        true
    }

    /// Drops the `Sync` that follows copy data if the server of the copy is lost: the pending error answers the `Sync`
    /// messages before and after the data. Returns whether the `Sync` was dropped.
    fn drop_second_sync(&mut self) -> bool {
        let replaces_server = matches!(
            self.server_link,
            ServerLink::Requested {
                is_replacement: true
            }
        );
        replaces_server && self.batches.len() == 1 && std::mem::take(&mut self.expects_second_sync)
    }

    /// Forwards a chunk of copy data without buffering; `last` if it ends its message. Copy data outside a copy is
    /// ignored, as by a server. The rest of a message goes to the server connection that has its beginning, and to no
    /// other one.
    fn forward_copy_data(&mut self, bytes: Bytes, last: bool, actions: &mut Vec<Action>) {
        let continues_message = std::mem::replace(&mut self.is_copy_message_incomplete, !last);
        match &mut self.server_link {
            ServerLink::Attached(server) => {
                let is_forwarded = if continues_message {
                    server.is_copy_message_incomplete
                } else {
                    !server.expected.is_empty()
                };
                if is_forwarded {
                    server.is_copy_message_incomplete = !last;
                    actions.push(Action::ToServer(bytes));
                }
            }
            // Copy data is not buffered, so data that arrives before a server is attached must be rejected.
            ServerLink::Requested {
                is_replacement: false,
            } if !continues_message => self.reject_violation(
                Some("copy data before the server's CopyInResponse"),
                actions,
            ),
            _ => {}
        }
    }

    /// Ends the session with a protocol violation error.
    pub(super) fn reject_violation(&mut self, detail: Option<&str>, actions: &mut Vec<Action>) {
        send_to_client(
            &server_messages::error_response(ErrorReason::ProtocolViolation, detail),
            actions,
        );
        self.end(actions);
    }
}

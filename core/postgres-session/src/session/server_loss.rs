//! What a client is told when its server is lost, or none is to be had.

use super::{Action, MessageBatch, Session, Unit, send_frame};
use crate::prepared_statements;
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::sql_analysis::{self, TransactionStep};

impl Session {
    pub(super) fn server_lost(&mut self, actions: &mut Vec<Action>) {
        let Unit::Attached(server) = &self.unit else {
            return;
        };
        let refused = server.setup_failed.clone();
        self.another_sync = server.swallowed_sync;
        actions.push(Action::DiscardServer);
        self.ahead.clear();
        self.completion = None;
        let proving = server.proving;
        if self.cut_short {
            // Nothing that is said now could be read.
            self.unit = Unit::None;
            self.gone(actions);
            return;
        }
        if let (Some(error), true) = (refused, proving) {
            // Its settings are such that no server takes them: it is told by the server's own words, and ends.
            self.unit = Unit::None;
            send_frame(&server_messages::with_fatal_severity(&error), actions);
            self.gone(actions);
            return;
        }
        if self.pin.is_some() {
            // What it had there is gone with it, and it would not know.
            let reason = if self.commits {
                ErrorReason::CommitUnknown
            } else {
                ErrorReason::MayHaveRun
            };
            send_frame(
                &server_messages::error_response(
                    reason,
                    Some("the session was pinned to that server and ends"),
                ),
                actions,
            );
            self.unit = Unit::None;
            self.gone(actions);
            return;
        }
        self.unit = Unit::Asked { lost: true };
    }

    /// What was asked for gets no server's answer.
    pub(super) fn give_up(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        if !matches!(self.unit, Unit::Asked { .. }) {
            return;
        }
        self.unit = Unit::None;
        self.begun = None;
        self.cause = Some(reason);
        // In a transaction that is neither committed nor rolled back the client has to learn of its end.
        let in_block =
            self.status != TransactionStatus::Idle && reason != ErrorReason::CommitUnknown;
        if self
            .groups
            .front()
            .is_none_or(|head| in_block && (head.sent == 0 || head.only_closes()))
        {
            // The server went between two statements of a transaction: the next one is told, unless it ends it.
            // Drivers close what they have prepared in passing, and look at no answer to that.
            self.orphaned = in_block;
            (self.status, self.news) = if in_block {
                (TransactionStatus::Failed, Some(reason))
            } else {
                (TransactionStatus::Idle, None)
            };
            return;
        }
        let reading = self.reading_of_head();
        let begins = reading
            .steps
            .iter()
            .any(|step| matches!(step, TransactionStep::Begin { .. }));
        // What was sent behind the beginning of a transaction belongs to it, and must not run without it.
        let count = if begins {
            self.groups
                .iter()
                .filter(|group| group.closed)
                .count()
                .max(1)
        } else {
            1
        };
        self.commits = false;
        (self.orphaned, self.status) = (
            in_block,
            if in_block {
                TransactionStatus::Failed
            } else {
                TransactionStatus::Idle
            },
        );
        let another_sync = std::mem::take(&mut self.another_sync);
        for _ in 0..count {
            let closed = self.groups.front().is_none_or(|group| group.closed) && !another_sync;
            send_frame(&server_messages::error_response(reason, None), actions);
            if !closed {
                // Its Sync is still to come, and is answered then.
                if let Some(group) = self.groups.front_mut() {
                    self.held = self.held.saturating_sub(group.held());
                    *group = MessageBatch {
                        skips: true,
                        ..MessageBatch::default()
                    };
                }
                return;
            }
            if !self.skip_here() {
                self.pop(actions);
            }
        }
    }

    /// A group that ends in a Query behind messages of a batch is passed over with these, up to a Sync: whether the
    /// first one is such, and what has come is passed over.
    pub(super) fn skip_here(&mut self) -> bool {
        let batch = |group: &MessageBatch| {
            group.frames.len() > 1 && group.frames.last().is_some_and(|last| last.tag != b'S')
        };
        if !self.groups.front().is_some_and(batch) {
            return false;
        }
        while let Some(group) = self.groups.pop_front() {
            self.held = self.held.saturating_sub(group.held());
            if !group.closed {
                break;
            }
            if group.frames.last().is_some_and(|last| last.tag == b'S') {
                // Its Sync has come already.
                self.groups.push_front(MessageBatch {
                    closed: true,
                    ..MessageBatch::default()
                });
                return false;
            }
        }
        self.groups.push_front(MessageBatch {
            skips: true,
            ..MessageBatch::default()
        });
        true
    }

    pub(super) fn pop(&mut self, actions: &mut Vec<Action>) {
        if let Some(group) = self.groups.pop_front() {
            self.held = self.held.saturating_sub(group.held());
        }
        send_frame(&self.status.ready(), actions);
    }

    /// A group of a transaction whose server is lost: its end is taken, all else is an error, as in a transaction
    /// that has failed.
    pub(super) fn answer_orphan(&mut self, actions: &mut Vec<Action>) {
        let steps = self.reading_of_head().steps.clone();
        let Some(head) = self.groups.front() else {
            return;
        };
        let texts = head.frames.iter().filter(|frame| frame.tag == b'P');
        let prepares: Vec<TransactionStep> = texts
            .filter_map(|frame| prepared_statements::read_parse(frame).ok())
            .flat_map(|(_, text)| {
                sql_analysis::read(&String::from_utf8_lossy(prepared_statements::sql(&text))).steps
            })
            .collect();
        let ends = |steps: &[TransactionStep]| {
            !steps.is_empty()
                && steps
                    .iter()
                    .all(|step| matches!(step, TransactionStep::Commit | TransactionStep::Rollback))
        };
        let runs = ends(&steps);
        if !(runs || (steps.is_empty() && ends(&prepares)) || head.only_closes()) {
            let reason = self.news.take().unwrap_or(ErrorReason::InFailedTransaction);
            self.refuse_head(reason, actions);
            return;
        }
        if steps.contains(&TransactionStep::Commit) {
            // A client must not take the end of a lost transaction for its commit: drivers look for an error, not
            // for the word ROLLBACK, and may have let an earlier one pass unseen.
            let reason = self.cause.unwrap_or(ErrorReason::TransactionLost);
            (self.orphaned, self.status, self.news) = (false, TransactionStatus::Idle, None);
            self.refuse_head(reason, actions);
            return;
        }
        if runs {
            (self.orphaned, self.status, self.news) = (false, TransactionStatus::Idle, None);
        }
        self.answer_as("ROLLBACK", actions);
    }

    fn refuse_head(&mut self, reason: ErrorReason, actions: &mut Vec<Action>) {
        send_frame(&server_messages::error_response(reason, None), actions);
        if !self.skip_here() {
            self.pop(actions);
        }
    }
}

//! What the node answers by itself: a BEGIN, which goes out with the statement behind it, and the end of a transaction
//! of which no server has heard, or whose server is lost.

use bytes::Bytes;

use super::{Action, Begun, Effect, Session, send_frame};
use crate::frame::Frame;
use crate::prepared_statements;
use crate::server_messages::{self, TransactionStatus};

impl Session {
    /// Answers the first group without a server, if it is one that can be: whether it did.
    pub(super) fn answer_here(&mut self, actions: &mut Vec<Action>) -> bool {
        let Some(head) = self.groups.front() else {
            return false;
        };
        if !head.closed
            || !head.frames.iter().all(|frame| {
                matches!(
                    frame.tag,
                    b'Q' | b'P' | b'B' | b'D' | b'E' | b'C' | b'S' | b'H'
                )
            })
        {
            return false;
        }
        let reading = self.reading_of_head();
        match (self.status, &self.begun) {
            (TransactionStatus::Idle, None) => {
                let Some(read_only) = reading.transaction_begin() else {
                    return false;
                };
                let Some(sql) = self.only_statement() else {
                    return false;
                };
                if !self.can_answer() {
                    return false;
                }
                self.begun = Some(Begun { sql, read_only });
                self.status = TransactionStatus::InBlock;
                self.answer_as("BEGIN", actions);
                true
            }
            (TransactionStatus::InBlock, Some(_)) => {
                let Some(commits) = reading.transaction_end() else {
                    return false;
                };
                if !self.can_answer() {
                    return false;
                }
                (self.begun, self.status) = (None, TransactionStatus::Idle);
                self.answer_as(if commits { "COMMIT" } else { "ROLLBACK" }, actions);
                true
            }
            _ => false,
        }
    }

    /// The SQL of the first group's one statement.
    fn only_statement(&self) -> Option<Bytes> {
        let head = self.groups.front()?;
        if let Some(query) = head.frames.iter().find(|frame| frame.tag == b'Q') {
            return Some(Bytes::copy_from_slice(query.first_string()?));
        }
        let bind = head.frames.iter().find(|frame| frame.tag == b'B')?;
        let name = prepared_statements::read_bind(bind).ok()?;
        let fresh = head
            .frames
            .iter()
            .filter(|frame| frame.tag == b'P')
            .find_map(|frame| {
                prepared_statements::read_parse(frame)
                    .ok()
                    .filter(|(of, _)| *of == name)
                    .map(|(_, text)| text)
            });
        let known = if name.is_empty() {
            self.unnamed.clone()
        } else {
            self.named.get(&name).cloned()
        };
        fresh
            .or(known)
            .map(|text| Bytes::copy_from_slice(prepared_statements::sql(&text)))
    }

    /// Whether each message of the first group would be answered well by a server: one statement, prepared once under
    /// a name that is free, bound, described and executed in this order.
    fn can_answer(&self) -> bool {
        let Some(head) = self.groups.front() else {
            return false;
        };
        if head.frames.len() == 1 && head.frames[0].tag == b'Q' {
            return true;
        }
        let order = |tag: u8| match tag {
            b'P' => 1,
            b'B' => 3,
            b'E' => 5,
            b'S' => 7,
            _ => 0,
        };
        let mut last = 0;
        let mut executed = 0;
        for frame in &head.frames {
            let place = match frame.tag {
                b'D' | b'C' | b'H' => last,
                tag => order(tag),
            };
            if place < last
                || (place == last && matches!(frame.tag, b'P' | b'B' | b'E'))
                || place == 0 && frame.tag != b'H'
            {
                return false;
            }
            last = place;
            let good = match frame.tag {
                b'P' => prepared_statements::read_parse(frame).is_ok_and(|(name, _)| {
                    name.is_empty()
                        || (self.named.get(&name).is_none() && self.named.has_room(&name))
                }),
                b'B' => prepared_statements::read_bind(frame).is_ok(),
                // Of a portal that is another's, or a statement of another name, only a server could tell.
                b'D' => prepared_statements::read_target(frame)
                    .is_ok_and(|(kind, name)| self.describes(kind, &name)),
                b'C' => false,
                b'E' => {
                    executed += 1;
                    true
                }
                b'Q' => false,
                _ => true,
            };
            if !good {
                return false;
            }
        }
        executed == 1
    }

    /// Whether what the first group describes is the one that it binds.
    fn describes(&self, kind: u8, name: &Bytes) -> bool {
        let Some(head) = self.groups.front() else {
            return false;
        };
        let bind = head.frames.iter().find(|frame| frame.tag == b'B');
        let Some(bind) = bind else { return false };
        if kind == b'S' {
            prepared_statements::read_bind(bind).is_ok_and(|bound| bound == *name)
        } else {
            bind.first_string()
                .is_some_and(|portal| portal == &name[..])
        }
    }

    /// Answers the first group as a server would for a statement of this tag that brings nothing, and takes it off.
    pub(super) fn answer_as(&mut self, tag: &str, actions: &mut Vec<Action>) {
        let Some(head) = self.groups.front() else {
            return;
        };
        let (frames, mut told) = (head.frames.clone(), head.closed_told);
        let empty = |tag| Frame::new(tag, Bytes::new());
        for frame in &frames {
            match frame.tag {
                b'Q' => {
                    self.apply(Effect::Remove(Bytes::new()));
                    send_frame(&server_messages::command_complete(tag), actions);
                }
                b'P' => {
                    if let Ok((name, text)) = prepared_statements::read_parse(frame) {
                        if !self.named.has_room(&name) {
                            return self.violation(Some("too many prepared statements"), actions);
                        }
                        self.apply(Effect::Set(name, text));
                    }
                    send_frame(&empty(b'1'), actions);
                }
                b'B' => send_frame(&empty(b'2'), actions),
                b'C' => {
                    if let Ok((b'S', name)) = prepared_statements::read_target(frame) {
                        self.apply(Effect::Remove(name));
                    }
                    if told > 0 {
                        told -= 1;
                    } else {
                        send_frame(&empty(b'3'), actions);
                    }
                }
                b'D' => {
                    if frame.body.first() == Some(&b'S') {
                        // It has no parameters.
                        send_frame(&Frame::new(b't', &b"\0\0"[..]), actions);
                    }
                    send_frame(&empty(b'n'), actions);
                }
                b'E' => send_frame(&server_messages::command_complete(tag), actions),
                _ => {}
            }
        }
        self.pop(actions);
    }

    /// A message is done: the client's names are changed.
    pub(super) fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Set(name, text) if name.is_empty() => self.unnamed = Some(text),
            Effect::Remove(name) if name.is_empty() => self.unnamed = None,
            // There was room when it was sent on.
            Effect::Set(name, text) => drop(self.named.insert(name, text)),
            Effect::Remove(name) => self.named.remove(&name),
        }
    }
}

//! What a session hears from its client: messages are collected into groups, each of which ends in one
//! `ReadyForQuery`.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};

use super::{Action, MOST_MESSAGES, MessageBatch, Session, Unit, send_frame};
use crate::frame::{DecodeResult, Frame};
use crate::prepared_statements;
use crate::server_messages::{self, ErrorReason, TransactionStatus};
use crate::sql_analysis::{self, StatementEffects};

impl Session {
    pub(super) fn client(&mut self, cut: DecodeResult, actions: &mut Vec<Action>) {
        let frame = match cut {
            DecodeResult::Chunk { bytes, .. } => return self.copied(bytes, actions),
            DecodeResult::Frame(frame) => frame,
        };
        match frame.tag {
            b'X' => self.gone(actions),
            b'c' | b'f' => {
                let mut bytes = BytesMut::new();
                frame.write(&mut bytes);
                self.copied(bytes.freeze(), actions);
                if let Unit::Attached(server) = &mut self.unit {
                    server.copies = false;
                }
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' | b'Q' | b'F' => {
                self.take(frame, actions)
            }
            _ => self.violation(None, actions),
        }
    }

    fn take(&mut self, frame: Frame, actions: &mut Vec<Action>) {
        if let (b'S', Unit::Attached(server)) = (frame.tag, &mut self.unit)
            && server.swallowed_sync
            && self
                .groups
                .front()
                .is_some_and(|group| group.closed && group.sent == group.frames.len())
            && self.groups.len() == 1
        {
            // The Sync behind copied data: the one before it was passed over by the server.
            server.swallowed_sync = false;
            let mut bytes = BytesMut::new();
            frame.write(&mut bytes);
            actions.push(Action::ToServer(bytes.freeze()));
            return;
        }
        if frame.tag == b'S'
            && matches!(self.unit, Unit::Asked { lost: true })
            && self.groups.len() == 1
        {
            // The Sync behind the data of a copy whose server is lost: the error that is still to come ends both.
            if std::mem::take(&mut self.another_sync) {
                return;
            }
        }
        if self.groups.back().is_none_or(|group| group.closed) {
            if frame.tag == b'H' {
                // All before it goes out as it is; there is nothing to be sent sooner.
                return;
            }
            self.groups.push_back(MessageBatch::default());
        }
        let Some(group) = self.groups.back_mut() else {
            return;
        };
        if group.skips {
            if frame.tag == b'S' {
                self.pop(actions);
            }
            return;
        }
        self.held += frame.wire_len();
        // A Query closes a batch that has had no Sync, as at a server.
        group.closed = matches!(frame.tag, b'S' | b'Q' | b'F');
        let flush = frame.tag == b'H';
        group.frames.push(frame);
        if flush {
            group.flushed = group.frames.len();
        }
        if group.frames.len() > MOST_MESSAGES {
            self.violation(Some("too many messages before a Sync"), actions);
        }
    }

    /// Data to be copied goes on as it comes; where none is wanted, a server passes it over.
    fn copied(&mut self, bytes: Bytes, actions: &mut Vec<Action>) {
        match &self.unit {
            Unit::Attached(server) if !server.expect.is_empty() => {
                actions.push(Action::ToServer(bytes))
            }
            // Sent ahead of the server's word, to a server that is not there yet: it must not get lost.
            Unit::Asked { lost: false } => self.violation(
                Some("copied data before the server has asked for it"),
                actions,
            ),
            _ => {}
        }
    }

    pub(super) fn violation(&mut self, detail: Option<&str>, actions: &mut Vec<Action>) {
        send_frame(
            &server_messages::error_response(ErrorReason::Protocol, detail),
            actions,
        );
        self.gone(actions);
    }

    /// The session ends. A server connection with anything left on it goes too, and with it what was not committed.
    pub(super) fn gone(&mut self, actions: &mut Vec<Action>) {
        self.ended = true;
        if let Unit::Attached(server) = std::mem::take(&mut self.unit) {
            let clean = self.status == TransactionStatus::Idle
                && server.expect.is_empty()
                && self.pin.is_none()
                && !server.skipping;
            actions.push(if clean {
                Action::Release(server.state)
            } else {
                Action::DiscardServer
            });
        }
        self.groups.clear();
        self.held = 0;
        actions.push(Action::End);
    }

    /// What the first group's statements are, as far as their texts are known.
    pub(super) fn reading_of_head(&mut self) -> Rc<StatementEffects> {
        let Some(head) = self.groups.front() else {
            return Rc::default();
        };
        if let Some(reading) = &head.reading {
            return reading.clone();
        }
        let reading = self.read_head();
        if let Some(head) = self.groups.front_mut().filter(|head| head.closed) {
            head.reading = Some(reading.clone());
        }
        reading
    }

    fn read_head(&mut self) -> Rc<StatementEffects> {
        let Self {
            groups,
            named,
            unnamed,
            ..
        } = self;
        let Some(group) = groups.front() else {
            return Rc::default();
        };
        // The usual batch uses one statement that has been read before.
        let mut readings: Vec<Rc<StatementEffects>> = Vec::new();
        let read = |text: &[u8]| Rc::new(sql_analysis::read(&String::from_utf8_lossy(text)));
        let mut last_unnamed = unnamed.clone();
        for frame in &group.frames {
            match frame.tag {
                b'Q' => readings.push(read(frame.first_string().unwrap_or_default())),
                // Which function it is, its number alone does not tell.
                b'F' => readings.push(Rc::new(StatementEffects::unknown())),
                b'P' => {
                    if let Ok((name, text)) = prepared_statements::read_parse(frame)
                        && name.is_empty()
                    {
                        last_unnamed = Some(text);
                    }
                }
                b'B' => {
                    let name = prepared_statements::read_bind(frame).unwrap_or_default();
                    // A statement that this very group prepares is not among the names yet.
                    let fresh = group
                        .frames
                        .iter()
                        .filter(|frame| frame.tag == b'P')
                        .find_map(|frame| {
                            prepared_statements::read_parse(frame)
                                .ok()
                                .filter(|(of, _)| *of == name)
                                .map(|(_, text)| text)
                        });
                    let text = if name.is_empty() {
                        last_unnamed.clone()
                    } else {
                        fresh
                    };
                    match (text, named.reading(&name)) {
                        (Some(text), _) => readings.push(read(prepared_statements::sql(&text))),
                        (None, Some(known)) => readings.push(known),
                        (None, None) => {}
                    }
                }
                _ => {}
            }
        }
        let count = |tag: u8| group.frames.iter().filter(|frame| frame.tag == tag).count();
        // What is bound and not executed, or mixed with a Query, does no reset that could be relied on.
        let certain = count(b'B') == 0 || (count(b'B') == count(b'E') && count(b'Q') == 0);
        if certain && readings.len() == 1 {
            return readings.pop().unwrap_or_default();
        }
        let mut all = StatementEffects::default();
        for one in readings {
            all.steps.extend(&one.steps);
            all.pin = all.pin.or(one.pin);
            all.discards = one.discards;
            all.deallocates |= one.deallocates;
            all.resets_all |= one.resets_all;
            all.plain = one.plain && all.steps.len() == 1;
            all.resets.retain(|name| !one.sets.contains(name));
            all.resets
                .extend(one.resets.iter().filter(|_| certain).cloned());
        }
        Rc::new(all)
    }
}

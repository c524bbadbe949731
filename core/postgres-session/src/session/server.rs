//! A session at its server: groups sent in the server's names for prepared statements, and what comes back.

use std::collections::{BTreeMap, VecDeque};

use bytes::{Bytes, BytesMut};

use super::{Action, Effect, ExpectedResponse, Server, ServerState, Session, Unit};
use crate::frame::{DecodeResult, Frame};
use crate::prepared_statements::{self, ClientStatements, MalformedMessage, StatementText};
use crate::server_messages::{self, TransactionStatus};
use crate::sql_analysis::{self, TransactionStep};

/// The client's prepared statements as they are, and as they will be when all that was sent is done.
struct Names<'a> {
    named: &'a ClientStatements,
    unnamed: &'a Option<StatementText>,
    ahead: &'a mut BTreeMap<Bytes, Option<StatementText>>,
}

impl Names<'_> {
    fn get(&self, name: &Bytes) -> Option<StatementText> {
        match self.ahead.get(name) {
            Some(text) => text.clone(),
            None if name.is_empty() => self.unnamed.clone(),
            None => self.named.get(name).cloned(),
        }
    }
}

impl Session {
    pub(super) fn attached(&mut self, state: ServerState, actions: &mut Vec<Action>) {
        let again = match self.unit {
            Unit::Asked { lost } => lost,
            // Not asked for: it is free at once.
            _ => {
                actions.push(Action::Release(state));
                return;
            }
        };
        let open = self.status != TransactionStatus::Idle && self.begun.is_none();
        if again && (self.started || open || self.commits) {
            // It must not go out again, whoever says so.
            actions.push(Action::Release(state));
            actions.push(Action::NotRetryable);
            return;
        }
        let mut server = Server {
            state,
            expect: VecDeque::new(),
            unnamed: false,
            copies: false,
            swallowed_sync: false,
            proving: false,
            setup_failed: None,
            skipping: false,
            begun: false,
        };
        if let Some(sql) = server.state.settings.adopt(&self.settings) {
            server.proving = !self.settings.is_proven();
            server.expect.push_back(ExpectedResponse::Setup);
            let mut out = BytesMut::new();
            query(sql.as_bytes()).write(&mut out);
            actions.push(Action::ToServer(out.freeze()));
        }
        self.unit = Unit::Attached(Box::new(server));
        self.groups.iter_mut().for_each(|group| group.sent = 0);
    }

    /// Sends the first group, as far as it has come.
    pub(super) fn forward(&mut self, actions: &mut Vec<Action>) {
        let Unit::Attached(server) = &self.unit else {
            return;
        };
        let Some(head) = self.groups.front() else {
            return;
        };
        let (from, to) = (head.sent, head.ready());
        if server.proving || from >= to {
            return;
        }
        if from == 0 {
            self.ahead.clear();
            (self.failed, self.deallocates) = (false, None);
        }
        let reading = self.reading_of_head();
        self.commits |= reading.steps.contains(&TransactionStep::Commit);
        self.pin = self.pin.or(reading.pin);
        let Unit::Attached(server) = &mut self.unit else {
            return;
        };
        if reading.deallocates {
            server.state.prepared.clear();
        }
        if reading.resets_all {
            server.state.settings.forget();
        }
        let mut out = BytesMut::new();
        if let (Some(begun), false) = (&self.begun, server.begun) {
            server.begun = true;
            server.expect.push_back(ExpectedResponse::Setup);
            query(&begun.sql).write(&mut out);
        }
        let Some(head) = self.groups.front_mut() else {
            return;
        };
        let frames: Vec<Frame> = head.frames[from..to].to_vec();
        head.sent = to;
        for frame in frames {
            if self.send(frame, to == 1, &mut out).is_err() {
                return self.violation(None, actions);
            }
        }
        if !out.is_empty() {
            actions.push(Action::ToServer(out.freeze()));
        }
        self.answer_due(actions);
    }

    /// Drops what the server passes over, up to a Sync. Whether that has come.
    pub(super) fn skip(&mut self) -> bool {
        while let Some(head) = self.groups.front_mut() {
            let held = head.held();
            let synced = head
                .frames
                .last()
                .filter(|last| head.closed && last.tag == b'S')
                .cloned();
            if let Some(sync) = synced {
                self.held = self.held.saturating_sub(held) + sync.wire_len();
                (head.frames, head.sent) = (vec![sync], 0);
                head.reading = None;
                if let Unit::Attached(server) = &mut self.unit {
                    server.skipping = false;
                }
                return true;
            }
            self.held = self.held.saturating_sub(held);
            if !head.closed {
                head.frames.clear();
                (head.sent, head.flushed) = (0, 0);
                return false;
            }
            // A Query that is passed over is answered by nothing.
            self.groups.pop_front();
        }
        false
    }

    /// Writes one message as the server is to get it, and notes what will answer it. `alone`: it is its group's only
    /// one.
    fn send(
        &mut self,
        frame: Frame,
        alone: bool,
        out: &mut BytesMut,
    ) -> Result<(), MalformedMessage> {
        let Self {
            unit,
            named,
            unnamed,
            ahead,
            status,
            deallocates,
            ..
        } = self;
        let Unit::Attached(server) = unit else {
            return Ok(());
        };
        let mut names = Names {
            named,
            unnamed,
            ahead,
        };
        let empty = |tag| Frame::new(tag, Bytes::new());
        match frame.tag {
            b'Q' => {
                let sql = frame.first_string().ok_or(MalformedMessage)?;
                let reading = sql_analysis::read_deallocate(sql);
                let frame = match reading.and_then(|name| names.get(&name).map(|text| (name, text)))
                {
                    Some((name, text)) if *status != TransactionStatus::Failed => {
                        // Behind messages of a batch a Sync would end what is the client's to end.
                        let here = match alone {
                            true => server.prepare_apart(&text, out),
                            false => server.named_here(&text, out),
                        };
                        *deallocates = Some(name);
                        server.state.prepared.forget(&text);
                        query(&deallocate(&here))
                    }
                    _ => frame,
                };
                // It ends the unnamed statement at the server.
                server.unnamed = false;
                names.ahead.insert(Bytes::new(), None);
                server.expect.push_back(ExpectedResponse::Query);
                frame.write(out);
            }
            b'F' => {
                server.expect.push_back(ExpectedResponse::Query);
                frame.write(out);
            }
            b'P' => {
                let (name, text) = prepared_statements::read_parse(&frame)?;
                server.parse(name, text, *status, &mut names, deallocates, out)?;
            }
            b'B' => {
                let name = prepared_statements::read_bind(&frame)?;
                let here = server.statement(&name, &names, out);
                server.expect.push_back(ExpectedResponse::Bind);
                prepared_statements::rename_bind(&frame, &here)?.write(out);
            }
            b'D' => {
                let (kind, name) = prepared_statements::read_target(&frame)?;
                if kind == b'S' {
                    let here = server.statement(&name, &names, out);
                    prepared_statements::describe(&here).write(out);
                } else {
                    frame.write(out);
                }
                server.expect.push_back(ExpectedResponse::Describe);
            }
            b'C' => {
                let (kind, name) = prepared_statements::read_target(&frame)?;
                if kind == b'S' && !name.is_empty() {
                    // It stays prepared at the server, for whoever needs the same one.
                    names.ahead.insert(name.clone(), None);
                    server.expect.push_back(ExpectedResponse::Answered(
                        empty(b'3'),
                        Effect::Remove(name),
                    ));
                } else {
                    let mut effect = None;
                    if kind == b'S' {
                        server.unnamed = false;
                        names.ahead.insert(Bytes::new(), None);
                        effect = Some(Effect::Remove(Bytes::new()));
                    }
                    server
                        .expect
                        .push_back(ExpectedResponse::Close { own: false, effect });
                    frame.write(out);
                }
            }
            b'E' => {
                server.expect.push_back(ExpectedResponse::Execute);
                frame.write(out);
            }
            b'S' => {
                // In the midst of a copy the server passes it over.
                server.swallowed_sync |= server.copies;
                server.expect.push_back(ExpectedResponse::Sync);
                frame.write(out);
            }
            _ => frame.write(out),
        }
        Ok(())
    }

    pub(super) fn server(&mut self, cut: DecodeResult, actions: &mut Vec<Action>) {
        let Unit::Attached(server) = &mut self.unit else {
            return;
        };
        let own = matches!(server.expect.front(), Some(ExpectedResponse::Setup));
        let frame = match cut {
            DecodeResult::Chunk { .. } if own => return,
            DecodeResult::Chunk { bytes, last, .. } => {
                self.cut_short = !last;
                return self.send_to_client(bytes, actions);
            }
            DecodeResult::Frame(frame) => frame,
        };
        match frame.tag {
            b'S' => return self.parameter(&frame, actions),
            b'Z' => return self.ready(&frame, actions),
            // Its last words; the session may go on with another.
            b'E' if server_messages::is_fatal(&frame) && !server.proving => {
                return self.server_lost(actions);
            }
            b'E' if own => {
                server.setup_failed = Some(frame);
                return;
            }
            // A notification may come at any time.
            b'A' => {}
            _ if own => return,
            _ => {}
        }
        let mut passes = true;
        let mut frame = frame;
        match frame.tag {
            b'1' | b'2' | b'3' | b'T' | b'n' | b'C' | b'I' | b's' => {
                let answered = matches!(
                    (frame.tag, server.expect.front()),
                    (b'1', Some(ExpectedResponse::Parse { .. }))
                        | (b'2', Some(ExpectedResponse::Bind))
                        | (b'3', Some(ExpectedResponse::Close { .. }))
                        | (b'T' | b'n', Some(ExpectedResponse::Describe))
                        | (b'C' | b'I' | b's', Some(ExpectedResponse::Execute))
                );
                // Otherwise it stands within a Query's answer.
                if answered {
                    let done = match server.expect.pop_front() {
                        Some(
                            ExpectedResponse::Parse { own, effect, .. }
                            | ExpectedResponse::Close { own, effect },
                        ) => {
                            passes = !own;
                            effect
                        }
                        _ => None,
                    };
                    done.into_iter().for_each(|effect| self.apply(effect));
                }
            }
            b'G' => {
                // A Sync that has been sent already is passed over by the server until the copy is over.
                server.copies = true;
                let extended = matches!(server.expect.front(), Some(ExpectedResponse::Execute));
                server.swallowed_sync = extended
                    && server
                        .expect
                        .iter()
                        .any(|e| matches!(e, ExpectedResponse::Sync));
            }
            b'E' => {
                (self.failed, self.completion) = (true, None);
                server.copies = false;
                match server.expect.front() {
                    Some(ExpectedResponse::Parse {
                        named_here: Some((here, name)),
                        ..
                    }) => {
                        frame = server_messages::with_statement_name(&frame, here, name);
                    }
                    // A Parse of the unnamed statement ends the one before it, whatever becomes of it.
                    Some(ExpectedResponse::Parse {
                        effect: Some(Effect::Set(name, _)),
                        ..
                    }) if name.is_empty() => {
                        self.unnamed = None;
                    }
                    _ => {}
                }
                if server.failed() {
                    self.ahead.clear();
                }
                // A Query that is passed over with its batch will not end its group.
                let Self {
                    unit, groups, held, ..
                } = &mut *self;
                if let (Unit::Attached(server), Some(head)) = (unit, groups.front())
                    && server.skipping
                    && head.closed
                {
                    *held = held.saturating_sub(head.held());
                    groups.pop_front();
                }
            }
            _ => {}
        }
        if passes {
            let mut bytes = BytesMut::new();
            frame.write(&mut bytes);
            if frame.tag == b'C' && self.commits_at_sync() {
                self.completion = Some(bytes.freeze());
            } else {
                self.send_to_client(bytes.freeze(), actions);
            }
        }
        self.answer_due(actions);
    }

    /// Whether what was just completed is committed by a Sync that is on its way: nothing but that is answered next.
    fn commits_at_sync(&self) -> bool {
        let Unit::Attached(server) = &self.unit else {
            return false;
        };
        let next_is_sync = matches!(server.expect.front(), Some(ExpectedResponse::Sync));
        self.status == TransactionStatus::Idle && next_is_sync && !server.swallowed_sync
    }

    /// `ParameterStatus`: noted for the connection and the client, and told where it is news.
    fn parameter(&mut self, frame: &Frame, actions: &mut Vec<Action>) {
        let Unit::Attached(server) = &mut self.unit else {
            return;
        };
        let mut strings = frame
            .body
            .split(|byte| *byte == 0)
            .map(String::from_utf8_lossy);
        let (Some(name), Some(value)) = (strings.next(), strings.next()) else {
            return;
        };
        server.state.settings.reported(&name, &value);
        if self.settings.reported(&name, &value) {
            super::send_frame(frame, actions);
        }
    }

    /// Something of the answer goes to the client.
    fn send_to_client(&mut self, bytes: Bytes, actions: &mut Vec<Action>) {
        if let (Some(b'3'), Some(head)) = (bytes.first(), self.groups.front_mut()) {
            head.closed_told += 1;
        }
        if !std::mem::replace(&mut self.started, true) {
            actions.push(Action::ResponseStarted);
        }
        actions.push(Action::ToClient(bytes));
    }

    /// The node's own answers whose turn it is.
    fn answer_due(&mut self, actions: &mut Vec<Action>) {
        loop {
            let Unit::Attached(server) = &mut self.unit else {
                return;
            };
            if !matches!(server.expect.front(), Some(ExpectedResponse::Answered(..))) {
                return;
            }
            let Some(ExpectedResponse::Answered(frame, effect)) = server.expect.pop_front() else {
                return;
            };
            self.apply(effect);
            let mut bytes = BytesMut::new();
            frame.write(&mut bytes);
            self.send_to_client(bytes.freeze(), actions);
        }
    }

    /// `ReadyForQuery`: the node's own part is over, or the first group is answered.
    fn ready(&mut self, frame: &Frame, actions: &mut Vec<Action>) {
        let status = frame
            .body
            .first()
            .copied()
            .and_then(TransactionStatus::read);
        let Unit::Attached(server) = &mut self.unit else {
            return;
        };
        let expected = server.expect.pop_front();
        if matches!(expected, Some(ExpectedResponse::Setup))
            && status.is_some()
            && server.setup_failed.is_none()
        {
            if std::mem::take(&mut server.proving) {
                self.settings.set_proven();
            }
            self.answer_due(actions);
            return;
        }
        let awaited = matches!(
            expected,
            Some(ExpectedResponse::Query | ExpectedResponse::Sync)
        ) && !server.skipping;
        let group = if awaited && status.is_some() {
            self.groups.pop_front()
        } else {
            None
        };
        let (Some(status), Some(group)) = (status, group) else {
            // A server that turns down what it took before, or says what it was not asked for, is of no use.
            return self.server_lost(actions);
        };
        self.held = self.held.saturating_sub(group.held());
        if matches!(expected, Some(ExpectedResponse::Query))
            && group.frames.last().is_some_and(|last| last.tag == b'Q')
        {
            self.unnamed = None;
        }
        self.ahead.clear();
        (self.status, self.commits, self.begun) = (status, false, None);
        if !self.failed {
            self.settle_names(&group.reading.unwrap_or_default());
        }
        let mut bytes = BytesMut::new();
        self.completion
            .take()
            .iter()
            .for_each(|completion| bytes.extend_from_slice(completion));
        frame.write(&mut bytes);
        self.send_to_client(bytes.freeze(), actions);
        if status == TransactionStatus::Idle {
            actions.push(Action::TransactionDone);
            self.started = false;
            if self.pin.is_none()
                && let Unit::Attached(server) = std::mem::take(&mut self.unit)
            {
                actions.push(Action::Release(server.state));
            }
        }
    }

    /// What a group that went well has done to the session's names, settings and pin.
    fn settle_names(&mut self, reading: &sql_analysis::StatementEffects) {
        if reading.discards && self.pin != Some(sql_analysis::StickyReason::Pooling) {
            self.pin = None;
        }
        if reading.deallocates {
            self.named.clear();
        }
        if let Some(name) = self.deallocates.take() {
            self.named.remove(&name);
        }
        // Whatever was set behind a RESET ALL was set after it.
        self.settings.reset(
            &reading.resets,
            reading.resets_all && reading.sets.is_empty(),
        );
    }
}

impl Server {
    /// A `Parse` of the client's.
    fn parse(
        &mut self,
        name: Bytes,
        text: StatementText,
        status: TransactionStatus,
        names: &mut Names<'_>,
        deallocates: &mut Option<Bytes>,
        out: &mut BytesMut,
    ) -> Result<(), MalformedMessage> {
        let sql = prepared_statements::sql(&text);
        if let Some(gone) = sql_analysis::read_deallocate(sql)
            && let Some(known) = names.get(&gone)
            && status != TransactionStatus::Failed
        {
            // ServerStatements here first, so that there is something to let go of.
            let here = self.named_here(&known, out);
            self.state.prepared.forget(&known);
            *deallocates = Some(gone);
            // It is sent on by the name of this connection, and kept as the client wrote it.
            let rest = text.slice(sql.len()..);
            let here = Bytes::from([deallocate(&here), rest.to_vec()].concat());
            names.ahead.insert(name.clone(), Some(text.clone()));
            let effect = Some(Effect::Set(name.clone(), text));
            if !name.is_empty() {
                return self.prepare(&here, effect, false, out);
            }
            self.unnamed = true;
            self.expect.push_back(ExpectedResponse::Parse {
                text: None,
                effect,
                own: false,
                named_here: None,
            });
            prepared_statements::parse(b"", &here).write(out);
            return Ok(());
        }
        if name.is_empty() {
            names.ahead.insert(name.clone(), Some(text.clone()));
            self.unnamed = true;
            let effect = Some(Effect::Set(name, text.clone()));
            self.expect.push_back(ExpectedResponse::Parse {
                text: None,
                effect,
                own: false,
                named_here: None,
            });
            prepared_statements::parse(b"", &text).write(out);
            return Ok(());
        }
        if names.get(&name).is_some() {
            // The server itself says what is wrong with the text or, where nothing is, that a name is taken.
            let here = self.named_here(&text, out);
            let named_here = Some((here.clone(), name));
            self.expect.push_back(ExpectedResponse::Parse {
                text: None,
                effect: None,
                own: false,
                named_here,
            });
            prepared_statements::parse(&here, &text).write(out);
            return Ok(());
        }
        if !names.named.has_room(&name) {
            return Err(MalformedMessage);
        }
        let effect = Effect::Set(name.clone(), text.clone());
        if self.state.prepared.has(&text) {
            let ends = |sql: &[u8]| {
                sql_analysis::read(&String::from_utf8_lossy(sql))
                    .transaction_end()
                    .is_some()
            };
            if status == TransactionStatus::Failed && !ends(sql) {
                // A transaction that has failed takes it no more, and the server says so.
                let here = self.state.prepared.take(&text).name;
                self.expect.push_back(ExpectedResponse::Parse {
                    text: None,
                    effect: None,
                    own: false,
                    named_here: None,
                });
                prepared_statements::parse(&here, &text).write(out);
                return Ok(());
            }
            names.ahead.insert(name, Some(text));
            self.expect.push_back(ExpectedResponse::Answered(
                Frame::new(b'1', Bytes::new()),
                effect,
            ));
            return Ok(());
        }
        names.ahead.insert(name, Some(text.clone()));
        self.prepare(&text, Some(effect), false, out)
    }

    /// Prepares a text that does not stand here yet.
    fn prepare(
        &mut self,
        text: &StatementText,
        effect: Option<Effect>,
        own: bool,
        out: &mut BytesMut,
    ) -> Result<(), MalformedMessage> {
        let wanted = self.state.prepared.take(text);
        if let Some((parse, room)) = wanted.first.split_last() {
            for close in room {
                self.expect.push_back(ExpectedResponse::Close {
                    own: true,
                    effect: None,
                });
                close.write(out);
            }
            self.expect.push_back(ExpectedResponse::Parse {
                text: Some(text.clone()),
                effect,
                own,
                named_here: None,
            });
            parse.write(out);
        }
        Ok(())
    }

    /// The name under which a text stands here, prepared first where it does not yet.
    fn named_here(&mut self, text: &StatementText, out: &mut BytesMut) -> Bytes {
        if !self.state.prepared.has(text) {
            let _ = self.prepare(text, None, true, out);
        }
        self.state.prepared.take(text).name
    }

    /// The same, in a part of its own with a Sync, before a Query: what goes wrong in it must not have the Query
    /// passed over.
    fn prepare_apart(&mut self, text: &StatementText, out: &mut BytesMut) -> Bytes {
        let wanted = self.state.prepared.take(text);
        if !wanted.first.is_empty() {
            wanted.first.iter().for_each(|frame| frame.write(out));
            Frame::new(b'S', Bytes::new()).write(out);
            self.expect.push_back(ExpectedResponse::Setup);
        }
        wanted.name
    }

    /// The name under which a statement of the client's stands here, prepared first where it does not yet.
    fn statement(&mut self, name: &Bytes, names: &Names<'_>, out: &mut BytesMut) -> Bytes {
        let text = names.get(name);
        match (name.is_empty(), text) {
            (true, text) => {
                if !std::mem::replace(&mut self.unnamed, text.is_some()) {
                    match text {
                        Some(text) => {
                            self.expect.push_back(ExpectedResponse::Parse {
                                text: None,
                                effect: None,
                                own: true,
                                named_here: None,
                            });
                            prepared_statements::parse(b"", &text).write(out);
                        }
                        None => {
                            // What stands there is another client's.
                            self.expect.push_back(ExpectedResponse::Close {
                                own: true,
                                effect: None,
                            });
                            prepared_statements::close(b"").write(out);
                        }
                    }
                }
                Bytes::new()
            }
            (false, Some(text)) => self.named_here(&text, out),
            // Under a name like the node's own it might be another client's here. The server's error names it.
            (false, None) if prepared_statements::is_own(name) => {
                Bytes::from([b"undefined ", &name[..]].concat())
            }
            (false, None) => name.clone(),
        }
    }

    /// An error: of a batch the server passes over all up to the next Sync. Whether it was of a batch.
    fn failed(&mut self) -> bool {
        if matches!(self.expect.front(), None | Some(ExpectedResponse::Query)) {
            return false;
        }
        self.unnamed = false;
        while let Some(expect) = self.expect.pop_front() {
            match expect {
                ExpectedResponse::Sync => {
                    self.expect.push_front(expect);
                    return true;
                }
                ExpectedResponse::Parse {
                    text: Some(text), ..
                } => self.state.prepared.forget(&text),
                _ => {}
            }
        }
        self.skipping = true;
        true
    }
}

fn query(sql: &[u8]) -> Frame {
    Frame::new(b'Q', [sql, b"\0"].concat())
}

fn deallocate(here: &[u8]) -> Vec<u8> {
    [b"DEALLOCATE \"", here, b"\""].concat()
}

//! One client's session: what it has sent and is owed, the server connection that it has at the moment, and what is
//! done when that is lost. Groups of messages (one `Query`, or all up to a `Sync`) go to a server one after the
//! other, so that it is always known which of them may have run.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

use crate::answer::{self, Reason, Status};
use crate::frame::{Cut, Frame};
use crate::pins::{self, Pin, Reading, Step};
use crate::statements::{self, Malformed, Named, Prepared, Text};

/// With so many bytes held for a client no more are read from it. One frame more than that may come.
pub const HELD: usize = 64 * 1024;
/// Groups that a client may have sent ahead; with more, no more are read from it.
const AHEAD: usize = 64;
/// Messages of a group; more are a protocol error, as none of them would be answered before its end.
const MOST_MESSAGES: usize = 4096;

/// What a session hears.
#[derive(Debug)]
pub enum Event {
    /// From the client.
    Client(Cut),
    /// A server connection is at its disposal, on which this is prepared.
    Attached(Prepared),
    /// From the server.
    Server(Cut),
    /// The server connection is lost, or was given up.
    ServerLost,
    /// What it has asked for is refused: nothing ran, or it does no harm.
    Refused {
        /// How long the client should stay away, in milliseconds.
        wait_ms: u64,
    },
    /// What it has asked for has failed.
    Failed,
    /// The client has gone.
    ClientGone,
}

/// What a session says.
#[derive(Debug)]
pub enum Action {
    /// A transaction wants a server.
    Ask {
        /// It is one statement outside any transaction block, so that it may be sent again where its class allows.
        alone: bool,
    },
    /// To the server.
    ToServer(Bytes),
    /// To the client.
    ToClient(Bytes),
    /// Something of the transaction's answer goes to the client now: it must not be sent again.
    Started,
    /// The transaction is over, and answered.
    Done,
    /// What the server was meant for has been sent before and may not be sent again.
    NotAgain,
    /// The server connection is free for others, with this prepared on it.
    Release(Prepared),
    /// The server connection is of no further use to anybody.
    DropServer,
    /// The session ends; close the client's connection once all is written.
    End,
}

/// What a message sent to the server will be answered by.
#[derive(Debug)]
enum Expect {
    /// `ParseComplete` for a statement; of the node's own, if it is not the client's.
    Parse { text: Option<Text>, own: bool },
    /// `BindComplete`.
    Bind,
    /// `CloseComplete`; of the node's own, if it is not the client's.
    Close { own: bool },
    /// `RowDescription` or `NoData`.
    Describe,
    /// `CommandComplete`, `EmptyQueryResponse` or `PortalSuspended`.
    Execute,
    /// `ReadyForQuery`.
    Ready,
    /// Nothing: the node answers it, when all before it are.
    Answered(Frame),
}

/// Messages that are answered by one `ReadyForQuery`.
#[derive(Debug, Default)]
struct Group {
    /// All of them: they are kept until the answer, for a server that may be another.
    frames: Vec<Frame>,
    /// The last one has come.
    closed: bool,
    /// What has come is to be sent now (`Flush`).
    flushed: bool,
    /// So many of them have been sent.
    sent: usize,
    /// It has failed before its Sync came: all up to that is passed over.
    skips: bool,
    /// `CloseComplete`s of it that the client has had.
    closed_told: usize,
}

impl Group {
    /// Whether it closes statements and portals and does nothing else.
    fn only_closes(&self) -> bool {
        self.frames.iter().all(|frame| matches!(frame.tag, b'C' | b'S' | b'H'))
    }
}

#[derive(Debug)]
struct Server {
    prepared: Prepared,
    expect: VecDeque<Expect>,
    /// The client's unnamed statement stands here.
    unnamed: bool,
    /// The client sends data to be copied.
    copies: bool,
    /// A Sync was sent before that, which the server passes over: the one behind the data takes its place.
    swallowed_sync: bool,
}

#[derive(Debug, Default)]
enum Unit {
    /// Nothing is wanted.
    #[default]
    None,
    /// A server is wanted; whether one had it before that was lost.
    Asked { lost: bool },
    /// A server has it.
    Attached(Box<Server>),
}

/// One client's session, from its first `ReadyForQuery` on.
#[derive(Debug, Default)]
pub struct Session {
    status: Status,
    groups: VecDeque<Group>,
    held: usize,
    unit: Unit,
    named: Named,
    /// The client's unnamed statement.
    unnamed: Option<Text>,
    pin: Option<Pin>,
    /// Something of the unit's answer has gone to the client.
    started: bool,
    /// A COMMIT has been sent that is not answered.
    commits: bool,
    /// The server of its transaction is lost; only the end of that is taken.
    orphaned: bool,
    /// Why, until the client has been told.
    news: Option<Reason>,
    ended: bool,
}

impl Session {
    /// Whether more should be read from the client.
    pub fn wants_more(&self) -> bool {
        !self.ended && self.held < HELD && self.groups.len() < AHEAD
    }

    /// Where the transaction stands, as the client knows it.
    pub fn status(&self) -> Status {
        self.status
    }

    /// Why it is pinned to its server.
    pub fn pin(&self) -> Option<Pin> {
        self.pin
    }

    /// Whether a statement is under way on its server, so that a cancel can be meant for it.
    pub fn runs(&self) -> bool {
        matches!(&self.unit, Unit::Attached(_)) && self.groups.front().is_some_and(|group| group.sent > 0)
    }

    /// Takes an event in and adds what is to be done.
    pub fn handle(&mut self, event: Event, actions: &mut Vec<Action>) {
        if self.ended {
            // A server that comes too late is free at once: nothing was sent to it.
            if let Event::Attached(prepared) = event {
                actions.push(Action::Release(prepared));
            }
            return;
        }
        match event {
            Event::Client(cut) => self.client(cut, actions),
            Event::Attached(prepared) => self.attached(prepared, actions),
            Event::Server(cut) => self.server(cut, actions),
            Event::ServerLost => self.server_lost(actions),
            Event::Refused { wait_ms } => {
                // Where it may have run after all, it was safe to repeat; but to say it never ran would be wrong.
                let ran = matches!(self.unit, Unit::Asked { lost: true });
                let reason = if ran { Reason::MayHaveRun } else { Reason::Refused { wait_ms } };
                self.give_up(reason, actions);
            }
            Event::Failed => {
                let reason = match (self.commits, self.status) {
                    (true, _) => Reason::CommitUnknown,
                    (false, Status::Idle) => Reason::MayHaveRun,
                    (false, _) => Reason::TransactionLost,
                };
                self.give_up(reason, actions);
            }
            Event::ClientGone => self.gone(actions),
        }
        self.pump(actions);
    }

    // The client.

    fn client(&mut self, cut: Cut, actions: &mut Vec<Action>) {
        let frame = match cut {
            Cut::Piece { bytes, .. } => return self.copied(bytes, actions),
            Cut::Frame(frame) => frame,
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
            b'Q' | b'F' => {
                // A Query closes a batch that has had no Sync, as at a server.
                if self.groups.back().is_some_and(|group| !group.closed) {
                    return self.violation(actions);
                }
                self.held += frame.wire_len();
                self.groups.push_back(Group { frames: vec![frame], closed: true, ..Group::default() });
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'S' => self.batch(frame, actions),
            _ => self.violation(actions),
        }
    }

    fn batch(&mut self, frame: Frame, actions: &mut Vec<Action>) {
        if let (b'S', Unit::Attached(server)) = (frame.tag, &mut self.unit)
            && self.groups.front().is_some_and(|group| group.closed && group.sent == group.frames.len())
            && self.groups.len() == 1
            && server.expect.iter().filter(|expect| matches!(expect, Expect::Ready)).count() == 1
            && server.swallowed_sync
        {
            // The Sync behind copied data: the one before it was passed over by the server.
            server.swallowed_sync = false;
            let mut bytes = BytesMut::new();
            frame.write(&mut bytes);
            actions.push(Action::ToServer(bytes.freeze()));
            return;
        }
        if self.groups.back().is_none_or(|group| group.closed) {
            self.groups.push_back(Group::default());
        }
        let Some(group) = self.groups.back_mut() else { return };
        if group.skips {
            if frame.tag == b'S' {
                self.pop(actions);
            }
            return;
        }
        self.held += frame.wire_len();
        group.closed = frame.tag == b'S';
        group.flushed |= frame.tag == b'H';
        group.frames.push(frame);
        if group.frames.len() > MOST_MESSAGES {
            self.violation(actions);
        }
    }

    /// Data to be copied goes on as it comes; where none is wanted, it is passed over, as at a server.
    fn copied(&mut self, bytes: Bytes, actions: &mut Vec<Action>) {
        if let Unit::Attached(server) = &self.unit
            && server.copies
        {
            actions.push(Action::ToServer(bytes));
        }
    }

    fn violation(&mut self, actions: &mut Vec<Action>) {
        say(&answer::error(Reason::Protocol, None), actions);
        self.gone(actions);
    }

    /// The session ends. A server connection with anything left on it goes too, and with it what was not committed.
    fn gone(&mut self, actions: &mut Vec<Action>) {
        self.ended = true;
        if let Unit::Attached(server) = std::mem::take(&mut self.unit) {
            let clean = self.status == Status::Idle && server.expect.is_empty() && self.pin.is_none();
            actions.push(if clean { Action::Release(server.prepared) } else { Action::DropServer });
        }
        self.groups.clear();
        self.held = 0;
        actions.push(Action::End);
    }

    // Towards the server.

    /// Sends on what is ready to go.
    fn pump(&mut self, actions: &mut Vec<Action>) {
        while !self.ended {
            let Some(head) = self.groups.front() else { return };
            if !(head.closed || head.flushed) {
                return;
            }
            if self.orphaned {
                // Nothing of it is at any server: its end is awaited, so that all of it is known.
                if !head.closed {
                    return;
                }
                self.answer_orphan(actions);
                continue;
            }
            match self.unit {
                Unit::None => {
                    let reading = self.reading(head);
                    let single = reading.steps.len() <= 1;
                    let alone =
                        single && head.closed && !matches!(reading.steps.first(), Some(Step::Begin { .. }));
                    self.unit = Unit::Asked { lost: false };
                    self.started = false;
                    actions.push(Action::Ask { alone: alone && self.status == Status::Idle });
                    return;
                }
                Unit::Asked { .. } => return,
                Unit::Attached(_) => {
                    self.forward(actions);
                    return;
                }
            }
        }
    }

    /// What a group's statements are, as far as their texts are known.
    fn reading(&self, group: &Group) -> Reading {
        let mut all = Reading::default();
        let add = |text: &[u8], all: &mut Reading| {
            let read = pins::read(&String::from_utf8_lossy(text));
            all.steps.extend(read.steps);
            all.pin = all.pin.or(read.pin);
            all.discards = read.discards;
            all.deallocates |= read.deallocates;
        };
        let mut unnamed = self.unnamed.clone();
        for frame in &group.frames {
            match frame.tag {
                b'Q' => add(frame.first_string().unwrap_or_default(), &mut all),
                b'P' => {
                    if let Ok((name, text)) = statements::read_parse(frame)
                        && name.is_empty()
                    {
                        unnamed = Some(text);
                    }
                }
                b'B' => {
                    let name = statements::read_bind(frame).unwrap_or_default();
                    // A statement that this very group prepares is not among the names yet.
                    let fresh = group.frames.iter().filter(|frame| frame.tag == b'P').find_map(|frame| {
                        statements::read_parse(frame).ok().filter(|(of, _)| *of == name).map(|(_, text)| text)
                    });
                    let known =
                        if name.is_empty() { unnamed.clone() } else { self.named.get(&name).cloned() };
                    if let Some(text) = fresh.or(known) {
                        add(statements::sql(&text), &mut all);
                    }
                }
                _ => {}
            }
        }
        all
    }

    fn attached(&mut self, prepared: Prepared, actions: &mut Vec<Action>) {
        let again = match self.unit {
            Unit::Asked { lost } => lost,
            // Not asked for: it is free at once.
            _ => {
                actions.push(Action::Release(prepared));
                return;
            }
        };
        let (expect, unnamed, copies) = (VecDeque::new(), false, false);
        let server = Server { prepared, expect, unnamed, copies, swallowed_sync: false };
        if again && (self.started || self.status != Status::Idle || self.commits) {
            // It must not go out again, whoever says so.
            actions.push(Action::Release(server.prepared));
            actions.push(Action::NotAgain);
            return;
        }
        self.unit = Unit::Attached(Box::new(server));
        self.groups.iter_mut().for_each(|group| group.sent = 0);
    }

    /// Sends the first group, as far as it has come.
    fn forward(&mut self, actions: &mut Vec<Action>) {
        let Some(head) = self.groups.front() else { return };
        if head.sent == head.frames.len() {
            return;
        }
        if head.sent == 0 {
            let reading = self.reading(head);
            self.commits |= reading.steps.contains(&Step::Commit);
            self.pin = self.pin.or(reading.pin);
            if reading.discards {
                self.pin = None;
                self.named.clear();
            }
            if let (true, Unit::Attached(server)) = (reading.deallocates, &mut self.unit) {
                server.prepared.clear();
            }
        }
        let Some(head) = self.groups.front_mut() else { return };
        let frames: Vec<Frame> = head.frames[head.sent..].to_vec();
        head.sent = head.frames.len();
        let mut out = BytesMut::new();
        for frame in frames {
            if self.send(frame, &mut out).is_err() {
                return self.violation(actions);
            }
        }
        if !out.is_empty() {
            actions.push(Action::ToServer(out.freeze()));
        }
        self.answer_due(actions);
    }

    /// Writes one message as the server is to get it, and notes what will answer it.
    fn send(&mut self, frame: Frame, out: &mut BytesMut) -> Result<(), Malformed> {
        let Self { unit, named, unnamed, .. } = self;
        let Unit::Attached(server) = unit else { return Ok(()) };
        match frame.tag {
            b'Q' | b'F' => {
                // It ends the unnamed statement at the server.
                (*unnamed, server.unnamed) = (None, false);
                server.expect.push_back(Expect::Ready);
                frame.write(out);
            }
            b'P' => {
                let (name, text) = statements::read_parse(&frame)?;
                if name.is_empty() {
                    *unnamed = Some(text);
                    server.unnamed = true;
                    server.expect.push_back(Expect::Parse { text: None, own: false });
                    frame.write(out);
                    return Ok(());
                }
                named.insert(name, text.clone()).map_err(|_| Malformed)?;
                let wanted = server.prepared.take(&text);
                let Some((parse, room)) = wanted.first.split_last() else {
                    server.expect.push_back(Expect::Answered(Frame::new(b'1', Bytes::new())));
                    return Ok(());
                };
                server.first(room, out);
                server.expect.push_back(Expect::Parse { text: Some(text), own: false });
                parse.write(out);
            }
            b'B' => {
                let name = statements::read_bind(&frame)?;
                let here = server.statement(&name, named, unnamed, out);
                server.expect.push_back(Expect::Bind);
                statements::rename_bind(&frame, &here)?.write(out);
            }
            b'D' => {
                let (kind, name) = statements::read_target(&frame)?;
                if kind == b'S' {
                    let here = server.statement(&name, named, unnamed, out);
                    statements::describe(&here).write(out);
                } else {
                    frame.write(out);
                }
                server.expect.push_back(Expect::Describe);
            }
            b'C' => {
                let (kind, name) = statements::read_target(&frame)?;
                if kind == b'S' && !name.is_empty() {
                    // It stays prepared at the server, for whoever needs the same one.
                    named.remove(&name);
                    server.expect.push_back(Expect::Answered(Frame::new(b'3', Bytes::new())));
                } else {
                    if kind == b'S' {
                        (*unnamed, server.unnamed) = (None, false);
                    }
                    server.expect.push_back(Expect::Close { own: false });
                    frame.write(out);
                }
            }
            b'E' => {
                server.expect.push_back(Expect::Execute);
                frame.write(out);
            }
            b'S' => {
                server.expect.push_back(Expect::Ready);
                frame.write(out);
            }
            _ => frame.write(out),
        }
        Ok(())
    }

    // From the server.

    fn server(&mut self, cut: Cut, actions: &mut Vec<Action>) {
        let Unit::Attached(server) = &mut self.unit else { return };
        let frame = match cut {
            Cut::Piece { bytes, .. } => return self.tell(bytes, actions),
            Cut::Frame(frame) => frame,
        };
        let mut passes = true;
        match frame.tag {
            b'1' | b'2' | b'3' | b'T' | b'n' | b'C' | b'I' | b's' => {
                let answered = server.expect.front().is_some_and(|expect| match (frame.tag, expect) {
                    (b'1', Expect::Parse { .. })
                    | (b'2', Expect::Bind)
                    | (b'3', Expect::Close { .. })
                    | (b'T' | b'n', Expect::Describe)
                    | (b'C' | b'I' | b's', Expect::Execute) => true,
                    // A Query's answer has these within.
                    _ => false,
                });
                if answered {
                    let first = server.expect.pop_front();
                    passes =
                        !matches!(first, Some(Expect::Parse { own: true, .. } | Expect::Close { own: true }));
                }
                if frame.tag == b'C' {
                    server.copies = false;
                }
            }
            b'G' => {
                // A Sync that has been sent already is passed over by the server until the copy is over.
                server.copies = true;
                let sync = server.expect.iter().any(|expect| matches!(expect, Expect::Execute));
                server.swallowed_sync = sync && server.expect.iter().any(|e| matches!(e, Expect::Ready));
            }
            b'E' => {
                server.copies = false;
                server.failed();
            }
            b'Z' => return self.ready(&frame, actions),
            _ => {}
        }
        if passes {
            let mut bytes = BytesMut::new();
            frame.write(&mut bytes);
            self.tell(bytes.freeze(), actions);
        }
        self.answer_due(actions);
    }

    /// Something of the answer goes to the client.
    fn tell(&mut self, bytes: Bytes, actions: &mut Vec<Action>) {
        if let (Some(b'3'), Some(head)) = (bytes.first(), self.groups.front_mut()) {
            head.closed_told += 1;
        }
        if !std::mem::replace(&mut self.started, true) {
            actions.push(Action::Started);
        }
        actions.push(Action::ToClient(bytes));
    }

    /// The node's own answers whose turn it is.
    fn answer_due(&mut self, actions: &mut Vec<Action>) {
        loop {
            let Unit::Attached(server) = &mut self.unit else { return };
            match server.expect.pop_front() {
                Some(Expect::Answered(frame)) => {
                    let mut bytes = BytesMut::new();
                    frame.write(&mut bytes);
                    self.tell(bytes.freeze(), actions);
                }
                Some(other) => {
                    server.expect.push_front(other);
                    return;
                }
                None => return,
            }
        }
    }

    /// `ReadyForQuery`: the first group is answered.
    fn ready(&mut self, frame: &Frame, actions: &mut Vec<Action>) {
        let status = frame.body.first().copied().and_then(Status::read);
        let Unit::Attached(server) = &mut self.unit else { return };
        let awaited = matches!(server.expect.pop_front(), Some(Expect::Ready));
        let group = if awaited && status.is_some() { self.groups.pop_front() } else { None };
        let (Some(status), Some(group)) = (status, group) else {
            // A server that says what it was not asked for is of no use.
            return self.server_lost(actions);
        };
        self.held = self.held.saturating_sub(group.frames.iter().map(Frame::wire_len).sum());
        (self.status, self.commits) = (status, false);
        let mut bytes = BytesMut::new();
        frame.write(&mut bytes);
        self.tell(bytes.freeze(), actions);
        if status == Status::Idle {
            actions.push(Action::Done);
            if self.pin.is_none()
                && let Unit::Attached(server) = std::mem::take(&mut self.unit)
            {
                actions.push(Action::Release(server.prepared));
            }
        }
    }

    fn server_lost(&mut self, actions: &mut Vec<Action>) {
        let Unit::Attached(_) = self.unit else { return };
        actions.push(Action::DropServer);
        if self.pin.is_some() {
            // What it had there is gone with it, and it would not know.
            let reason = if self.commits { Reason::CommitUnknown } else { Reason::MayHaveRun };
            say(&answer::error(reason, Some("the session was pinned to that server and ends")), actions);
            self.unit = Unit::None;
            self.gone(actions);
            return;
        }
        self.unit = Unit::Asked { lost: true };
    }

    /// What was asked for gets no server's answer.
    fn give_up(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        if !matches!(self.unit, Unit::Asked { .. }) {
            return;
        }
        self.unit = Unit::None;
        // In a transaction that is neither committed nor rolled back the client has to learn of its end.
        let in_block = self.status != Status::Idle && reason != Reason::CommitUnknown;
        if self.groups.front().is_none_or(|head| in_block && (head.sent == 0 || head.only_closes())) {
            // The server went between two statements of a transaction: the next one is told, unless it ends it.
            // Drivers close what they have prepared in passing, and look at no answer to that.
            self.orphaned = in_block;
            (self.status, self.news) =
                if in_block { (Status::Failed, Some(reason)) } else { (Status::Idle, None) };
            return;
        }
        let head = &self.groups[0];
        let begins = self.reading(head).steps.iter().any(|step| matches!(step, Step::Begin { .. }));
        // What was sent behind the beginning of a transaction belongs to it, and must not run without it.
        let count = if begins { self.groups.iter().filter(|group| group.closed).count().max(1) } else { 1 };
        self.commits = false;
        (self.orphaned, self.status) = (in_block, if in_block { Status::Failed } else { Status::Idle });
        for _ in 0..count {
            let closed = self.groups.front().is_none_or(|group| group.closed);
            say(&answer::error(reason, None), actions);
            if !closed {
                // Its Sync is still to come, and is answered then.
                if let Some(group) = self.groups.front_mut() {
                    let bytes: usize = group.frames.iter().map(Frame::wire_len).sum();
                    self.held = self.held.saturating_sub(bytes);
                    *group = Group { skips: true, ..Group::default() };
                }
                return;
            }
            self.pop(actions);
        }
    }

    fn pop(&mut self, actions: &mut Vec<Action>) {
        if let Some(group) = self.groups.pop_front() {
            self.held = self.held.saturating_sub(group.frames.iter().map(Frame::wire_len).sum());
        }
        say(&self.status.ready(), actions);
    }

    /// A group of a transaction whose server is lost: its end is taken, all else is an error, as in a transaction
    /// that has failed.
    fn answer_orphan(&mut self, actions: &mut Vec<Action>) {
        let Some(head) = self.groups.front() else { return };
        let texts = head.frames.iter().filter(|frame| frame.tag == b'P');
        let prepares: Vec<Step> = texts
            .filter_map(|frame| statements::read_parse(frame).ok())
            .flat_map(|(_, text)| pins::read(&String::from_utf8_lossy(statements::sql(&text))).steps)
            .collect();
        let steps = self.reading(head).steps;
        let ends = |steps: &[Step]| {
            !steps.is_empty() && steps.iter().all(|step| matches!(step, Step::Commit | Step::Rollback))
        };
        let runs = ends(&steps);
        if !(runs || (steps.is_empty() && ends(&prepares)) || head.only_closes()) {
            let reason = self.news.take().unwrap_or(Reason::InFailedTransaction);
            say(&answer::error(reason, None), actions);
            self.pop(actions);
            return;
        }
        if steps.contains(&Step::Commit) {
            // A client must not take the end of a lost transaction for its commit: drivers look for an error, not
            // for the word ROLLBACK, and may have let an earlier one pass unseen.
            let reason = self.news.unwrap_or(Reason::TransactionLost);
            (self.orphaned, self.status, self.news) = (false, Status::Idle, None);
            say(&answer::error(reason, None), actions);
            self.pop(actions);
            return;
        }
        let (frames, mut told) = (head.frames.clone(), head.closed_told);
        for frame in &frames {
            let empty = |tag| Frame::new(tag, Bytes::new());
            match frame.tag {
                b'Q' => say(&answer::complete("ROLLBACK"), actions),
                b'P' => {
                    if let Ok((name, text)) = statements::read_parse(frame) {
                        if name.is_empty() {
                            self.unnamed = Some(text);
                        } else if self.named.insert(name, text).is_err() {
                            return self.violation(actions);
                        }
                    }
                    say(&empty(b'1'), actions);
                }
                b'B' => say(&empty(b'2'), actions),
                b'C' if told > 0 => told -= 1,
                b'C' => say(&empty(b'3'), actions),
                b'D' => {
                    if frame.body.first() == Some(&b'S') {
                        // It has no parameters.
                        say(&Frame::new(b't', &b"\0\0"[..]), actions);
                    }
                    say(&empty(b'n'), actions);
                }
                b'E' => say(&answer::complete("ROLLBACK"), actions),
                _ => {}
            }
        }
        if runs {
            (self.orphaned, self.status, self.news) = (false, Status::Idle, None);
        }
        self.pop(actions);
    }
}

impl Server {
    /// The name under which a statement of the client's stands here, prepared first where it does not yet.
    fn statement(
        &mut self,
        name: &Bytes,
        named: &Named,
        unnamed: &Option<Text>,
        out: &mut BytesMut,
    ) -> Bytes {
        if name.is_empty() {
            if let (Some(text), false) = (unnamed, self.unnamed) {
                self.unnamed = true;
                self.expect.push_back(Expect::Parse { text: None, own: true });
                statements::parse(b"", text).write(out);
            }
            return Bytes::new();
        }
        let Some(text) = named.get(name) else {
            // Under its own name it might be another client's here. The server's error names it all the same.
            return Bytes::from([b"undefined ", &name[..]].concat());
        };
        let wanted = self.prepared.take(text);
        if let Some((parse, room)) = wanted.first.split_last() {
            self.first(room, out);
            self.expect.push_back(Expect::Parse { text: Some(text.clone()), own: true });
            parse.write(out);
        }
        wanted.name
    }

    /// Closes what makes room.
    fn first(&mut self, room: &[Frame], out: &mut BytesMut) {
        for close in room {
            self.expect.push_back(Expect::Close { own: true });
            close.write(out);
        }
    }

    /// An error: the server passes over all up to the next Sync.
    fn failed(&mut self) {
        while let Some(expect) = self.expect.pop_front() {
            match expect {
                Expect::Ready => {
                    self.expect.push_front(Expect::Ready);
                    return;
                }
                Expect::Parse { text: Some(text), .. } => self.prepared.forget(&text),
                Expect::Parse { text: None, .. } => self.unnamed = false,
                _ => {}
            }
        }
    }
}

fn say(frame: &Frame, actions: &mut Vec<Action>) {
    let mut bytes = BytesMut::new();
    frame.write(&mut bytes);
    actions.push(Action::ToClient(bytes.freeze()));
}

#[cfg(test)]
mod tests;

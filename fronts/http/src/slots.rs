//! Admission of clients' connections. Every connection holds a slot that tells what stands on it, so that
//! the node can go on accepting: the longest silent or idle one makes room, never one with a request on it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{Clock, nanos};
use brookfield::Nanos;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

use crate::tap::{Ear, Tap};

/// A request is whole this long after its first byte, the first one of a connection this long after the
/// connect: clients are owed an answer or a close within 3 s. Bytes that trickle in do not prolong it.
pub const WHOLE_WITHIN: Duration = Duration::from_millis(2300);
/// A connection closes this long after the body's own limit: the answer that tells of it goes first.
const CLOSES_AFTER: Duration = Duration::from_millis(200);
/// An answer that its client has not taken in by then is given up with its connection.
const TAKEN_WITHIN: Duration = Duration::from_secs(3);
/// Between requests a connection may be closed after this, to make room.
const IDLE_LEAST: Duration = Duration::from_secs(2);
/// Between requests a connection is kept for this long where there is room: clients in service ask again
/// sooner, and those that asked once and stay must not pile up over a long day.
const IDLE_MOST: Duration = Duration::from_secs(10);
/// With this part of the slots idle, a connection ends with its answer. Clients that keep a connection and ask
/// no more would hold all that the system before the node has for it, and leave none to those that ask.
const MANY_IDLE: usize = 2;
/// A connection that never said a word may be closed after this, to make room: the first request of a client
/// in service comes right behind its connect.
const SILENT_LEAST: Duration = Duration::from_millis(20);
/// A connection is new for so long: clients in service say what they connected for within it.
const NEW: Duration = Duration::from_millis(500);
/// After an error what still comes is read and dropped for this long, or the error would be lost with it.
const LINGER: Duration = Duration::from_millis(1500);
/// So much of a head is looked at for its length; the parser takes no longer one.
const LOOKS_AT: usize = 32 * 1024;
const LENGTH: &[u8] = b"content-length:";
/// How often the slots are looked through; and the wait for room where nobody can go yet.
const SWEEP: Duration = Duration::from_millis(100);
const ROOM_AGAIN: Duration = Duration::from_millis(10);

/// What stands on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing has come yet.
    Silent,
    /// A request is coming in.
    Arriving,
    /// A request is taken and owed its answer.
    Open,
    /// An answer is on its way out.
    Answering,
    /// Between requests.
    Idle,
    /// Answered for the last time; what still comes is dropped.
    Leaving,
}

/// One connection's slot.
pub struct Slot {
    stage: Cell<Stage>,
    since: Cell<Nanos>,
    /// The head that came last names its length more than once.
    doubled: Cell<bool>,
    /// The last answer told of a bad request, of which more may come.
    told_off: Cell<bool>,
    close: Notify,
    idle: Rc<Idle>,
    clock: Clock,
}

/// How many connections stand idle, and how many are many.
struct Idle {
    now: Cell<usize>,
    many: usize,
}

impl Slot {
    fn new(idle: Rc<Idle>, clock: Clock) -> Self {
        Self {
            idle,
            stage: Cell::new(Stage::Silent),
            since: Cell::new(clock.now()),
            doubled: Cell::new(false),
            told_off: Cell::new(false),
            close: Notify::new(),
            clock,
        }
    }

    fn enter(&self, stage: Stage) {
        let left = self.stage.replace(stage);
        self.since.set(self.clock.now());
        let (was, is) = (usize::from(left == Stage::Idle), usize::from(stage == Stage::Idle));
        self.idle.now.set(self.idle.now.get() + is - was);
    }

    /// Whether so many connections stand idle that one more would be in the way: this one had better end
    /// with its answer.
    pub fn is_surplus(&self) -> bool {
        self.idle.now.get() >= self.idle.many
    }

    /// Bytes have come; whether they begin a request.
    fn heard(&self) -> bool {
        match self.stage.get() {
            // The time of the first request runs from the connect.
            Stage::Silent => self.stage.set(Stage::Arriving),
            Stage::Idle => self.enter(Stage::Arriving),
            _ => return false,
        }
        self.doubled.set(false);
        true
    }

    /// Whether it has only just been opened: its first request is on the way.
    pub fn is_new(&self) -> bool {
        let age = self.clock.now().saturating_sub(self.since.get());
        self.stage.get() == Stage::Silent && age < nanos(NEW)
    }

    /// Whether the request's head names its length more than once. The parser takes one that repeats the
    /// last and tells nobody.
    pub fn doubled(&self) -> bool {
        self.doubled.get()
    }

    /// All that was to be written is with the system.
    fn flushed(&self) {
        if self.stage.get() == Stage::Answering {
            self.enter(Stage::Idle);
        }
    }

    /// A request's head has come; returns when its body has to be whole.
    pub fn arriving(&self) -> Nanos {
        if self.stage.get() != Stage::Arriving {
            self.enter(Stage::Arriving);
        }
        self.since.get().saturating_add(nanos(WHOLE_WITHIN))
    }

    /// A request is taken.
    pub fn open(&self) {
        self.enter(Stage::Open);
    }

    /// Its answer goes out, and tells of a bad request or not.
    pub fn answering(&self, bad: bool) {
        self.told_off.set(bad);
        self.enter(Stage::Answering);
    }

    /// Whether more of a bad request may still come.
    pub fn told_off(&self) -> bool {
        self.told_off.get()
    }

    /// Resolves once the connection has to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    fn overdue(&self, now: Nanos) -> bool {
        let most = match self.stage.get() {
            Stage::Silent | Stage::Arriving => WHOLE_WITHIN + CLOSES_AFTER,
            Stage::Open => return false,
            Stage::Answering => TAKEN_WITHIN,
            Stage::Idle => IDLE_MOST,
            Stage::Leaving => LINGER,
        };
        now.saturating_sub(self.since.get()) >= nanos(most)
    }

    /// The order in which connections make room, or none for one that may not be closed.
    fn rank(&self, now: Nanos) -> Option<(u8, Nanos)> {
        let (rank, least) = match self.stage.get() {
            Stage::Leaving => (0, Duration::ZERO),
            Stage::Silent => (1, SILENT_LEAST),
            Stage::Idle => (2, IDLE_LEAST),
            Stage::Arriving | Stage::Open | Stage::Answering => return None,
        };
        let since = self.since.get();
        (now.saturating_sub(since) >= nanos(least)).then_some((rank, since))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.enter(Stage::Leaving);
    }
}

/// All slots; at most `most` are taken at a time.
pub struct Slots {
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
    idle: Rc<Idle>,
    next: Cell<u64>,
    most: usize,
    freed: Notify,
    clock: Clock,
}

impl Slots {
    /// Slots for so many connections.
    pub fn new(most: usize, clock: Clock) -> Rc<Self> {
        let idle = Rc::new(Idle { now: Cell::new(0), many: most / MANY_IDLE });
        let (next, freed) = (Cell::new(0), Notify::new());
        Rc::new(Self { slots: RefCell::default(), idle, next, most, freed, clock })
    }

    /// A slot for a new connection, once there is room; those who have to make it are closed first.
    pub async fn take(self: &Rc<Self>) -> SlotGuard {
        while self.slots.borrow().len() >= self.most {
            self.make_room();
            // Somebody may go of itself meanwhile, or become old enough to be closed.
            let _ = self.clock.timeout(ROOM_AGAIN, self.freed.notified()).await;
        }
        let (number, slot) = (self.next.get(), Rc::new(Slot::new(self.idle.clone(), self.clock.clone())));
        self.next.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        SlotGuard { slots: self.clone(), number, slot }
    }

    fn make_room(&self) {
        let now = self.clock.now();
        let slots = self.slots.borrow();
        let ranked = slots.values().filter_map(|slot| Some((slot.rank(now)?, slot)));
        if let Some((_, slot)) = ranked.min_by_key(|(rank, _)| *rank) {
            slot.close.notify_one();
        }
    }

    /// Closes connections on which nothing has happened for too long; never ends.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            self.clock.sleep(SWEEP).await;
            let now = self.clock.now();
            let slots = self.slots.borrow();
            slots.values().filter(|slot| slot.overdue(now)).for_each(|slot| slot.close.notify_one());
        }
    }

    /// Waits until nobody is connected.
    pub async fn emptied(&self) {
        while !self.slots.borrow().is_empty() {
            self.freed.notified().await;
        }
    }
}

/// A taken slot; free again once this is dropped.
pub struct SlotGuard {
    slots: Rc<Slots>,
    number: u64,
    slot: Rc<Slot>,
}

impl SlotGuard {
    /// The slot.
    pub fn slot(&self) -> &Rc<Slot> {
        &self.slot
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.slots.borrow_mut().remove(&self.number);
        self.slots.freed.notify_one();
    }
}

/// Keeps a slot up to date by what is heard on its client's socket.
pub struct RequestTracker {
    slot: Rc<Slot>,
    /// The head that is coming in.
    head: Option<Vec<u8>>,
}

impl RequestTracker {
    /// The tracker of this slot.
    pub fn new(slot: Rc<Slot>) -> Self {
        Self { slot, head: None }
    }
}

impl Ear for RequestTracker {
    /// Looks at a request's head as it comes in.
    fn bytes(&mut self, bytes: &[u8]) {
        if self.slot.heard() {
            self.head = Some(Vec::new());
        }
        let Some(head) = &mut self.head else { return };
        // An end may lie across two reads.
        let from = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        let ended = head[from..].windows(4).any(|four| four == b"\r\n\r\n" || four[2..] == *b"\n\n");
        if ended || head.len() > LOOKS_AT {
            let length =
                |line: &&[u8]| line.get(..LENGTH.len()).is_some_and(|l| l.eq_ignore_ascii_case(LENGTH));
            let end = head.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(head.len());
            let lengths = head[..end].split(|byte| *byte == b'\n').filter(length).count();
            self.slot.doubled.set(lengths > 1);
            self.head = None;
        }
    }

    fn flushed(&mut self) {
        self.slot.flushed();
    }
}

impl Tap<RequestTracker> {
    /// Closes after the last answer: says that nothing more follows, and reads on for a while. A socket that
    /// is closed with bytes unread resets its connection, and the answer may never be seen.
    pub async fn leave(mut self) {
        self.ear.slot.enter(Stage::Leaving);
        // It may have been shut already, or be broken: then the read below ends at once.
        let _ = self.stream.shutdown().await;
        let mut scrap = vec![0; 16 * 1024];
        while self.stream.read(&mut scrap).await.is_ok_and(|read| read > 0) {}
    }
}

//! Admission of clients' connections. Every connection holds a slot that tells what stands on it, so that
//! the node can go on accepting: the longest silent or idle one makes room, never one with a request on it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{Clock, nanos};
use badgerpost_http_framing::{FramingError, FramingEvent, RequestFramer};
use tokio::sync::Notify;

use crate::observed_stream::StreamObserver;
use crate::request_queue::RequestQueue;
use crate::timeouts::{
    BODY_STALL_TIMEOUT, CLOSE_TIMEOUT, EVICTION_RETRY_INTERVAL, FIRST_REQUEST_GRACE,
    HEAD_READ_TIMEOUT, IDLE_LIMIT_DIVISOR, IDLE_TIMEOUT, LINGER_TIMEOUT, MIN_BODY_BYTES_PER_SECOND,
    MIN_IDLE_BEFORE_EVICTION, MIN_SILENCE_BEFORE_EVICTION, MIN_STALL_BEFORE_EVICTION, SEND_TIMEOUT,
    STREAM_STALL_TIMEOUT, TIMEOUT_CHECK_INTERVAL, TIMEOUT_RESPONSE_GRACE,
};

/// What stands on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing has come yet.
    Silent,
    /// A request's head is coming in.
    Arriving,
    /// Its body is coming in.
    Receiving,
    /// A request is taken and owed its answer.
    Open,
    /// An answer is passed on as it comes.
    Passing,
    /// An answer is on its way out.
    Answering,
    /// Between requests.
    Idle,
    /// Told that nothing more follows; what still comes is not read.
    Parting,
    /// Answered for the last time; what still comes is dropped.
    Leaving,
}

/// One connection's slot.
pub struct Connection {
    stage: Cell<ConnectionState>,
    since: Cell<Nanos>,
    /// When bytes came last.
    heard: Cell<Nanos>,
    /// The requests that have begun to come.
    requests: RefCell<RequestQueue>,
    /// A request's answer is waited for: with its client gone, nothing more is done for it.
    awaited: Cell<bool>,
    /// Bytes that have come since the head was taken.
    received: Cell<u64>,
    /// The body that comes in waits for a server.
    blocked: Cell<bool>,
    /// The last answer told of a bad request, of which more may come.
    told_off: Cell<bool>,
    /// The last answer has broken off, and its client can't tell that by its form.
    broken: Cell<bool>,
    close: Notify,
    part: Notify,
    idle: Rc<Idle>,
    clock: Clock,
}

/// How many connections stand idle, and how many there may be in all.
struct Idle {
    now: Cell<usize>,
    most: Rc<Cell<usize>>,
}

impl Connection {
    fn new(idle: Rc<Idle>, clock: Clock) -> Self {
        Self {
            idle,
            stage: Cell::new(ConnectionState::Silent),
            since: Cell::new(clock.now()),
            heard: Cell::new(clock.now()),
            requests: RefCell::default(),
            awaited: Cell::new(false),
            received: Cell::new(0),
            blocked: Cell::new(false),
            told_off: Cell::new(false),
            broken: Cell::new(false),
            close: Notify::new(),
            part: Notify::new(),
            clock,
        }
    }

    fn enter(&self, stage: ConnectionState) {
        self.enter_at(stage, self.clock.now());
    }

    fn enter_at(&self, stage: ConnectionState, now: Nanos) {
        let left = self.stage.replace(stage);
        self.since.set(now);
        let (was, is) = (
            usize::from(left == ConnectionState::Idle),
            usize::from(stage == ConnectionState::Idle),
        );
        self.idle.now.set(self.idle.now.get() + is - was);
    }

    /// Whether so many connections stand idle that one more would be in the way: this one had better end
    /// with its answer.
    pub fn is_surplus(&self) -> bool {
        self.idle.now.get() >= self.idle.most.get() / IDLE_LIMIT_DIVISOR
    }

    /// Bytes have come.
    fn heard(&self, now: Nanos) {
        self.heard.set(now);
        match self.stage.get() {
            // The time of the first request runs from the connect.
            ConnectionState::Silent => self.stage.set(ConnectionState::Arriving),
            ConnectionState::Idle => self.enter_at(ConnectionState::Arriving, now),
            _ => {}
        }
    }

    /// What the bytes that have come tell of the requests in them.
    fn told(&self, event: FramingEvent, now: Nanos) {
        self.requests.borrow_mut().record(event, now);
    }

    /// Bytes have moved on this connection.
    fn moved(&self, read: usize) {
        match self.stage.get() {
            ConnectionState::Receiving => self
                .received
                .set(self.received.get().saturating_add(read as u64)),
            ConnectionState::Passing => self.since.set(self.clock.now()),
            _ => {}
        }
    }

    /// Whether it has only just been opened: its first request is on the way.
    pub fn is_new(&self) -> bool {
        let age = self.clock.now().saturating_sub(self.since.get());
        self.stage.get() == ConnectionState::Silent && age < nanos(FIRST_REQUEST_GRACE)
    }

    /// All that was to be written is with the system.
    fn flushed(&self) {
        if self.stage.get() != ConnectionState::Answering {
            return;
        }
        // What has begun to come before the answer went out is no rest.
        match self.requests.borrow().incomplete_since() {
            Some(since) => self.enter_at(ConnectionState::Arriving, since),
            None => self.enter(ConnectionState::Idle),
        }
    }

    /// A request's head has been taken, and its body may come; returns whether its framing can be read in one way only.
    pub fn receiving(&self) -> Result<(), FramingError> {
        // Its last bytes have only just come, unless it was sent ahead of an answer.
        let only_just = self.stage.get() == ConnectionState::Arriving;
        self.enter_at(
            ConnectionState::Receiving,
            if only_just {
                self.heard.get()
            } else {
                self.clock.now()
            },
        );
        self.received.set(0);
        self.blocked.set(false);
        self.requests.borrow_mut().take()
    }

    /// How long ago the last byte of the request taken last came; nothing while it is on its way.
    pub fn waited(&self) -> Nanos {
        let completed_at = self.requests.borrow().completed_at();
        completed_at.map_or(0, |at| self.clock.now().saturating_sub(at))
    }

    /// Whether the last byte of the request taken last has come, and what follows it is another one.
    pub fn is_complete(&self) -> bool {
        self.requests.borrow().completed_at().is_some()
    }

    /// Whether a request has begun to come and is not complete.
    pub fn is_incomplete(&self) -> bool {
        self.is_arriving() && self.has_more()
    }

    /// Whether another request has begun to come behind the one that was taken last: it is owed an answer too.
    pub fn has_more(&self) -> bool {
        self.requests.borrow().has_more()
    }

    /// Whether nothing stands on it, so that it may end with no answer: nothing has come that nobody has answered, nor
    /// has it only just been opened.
    pub fn rests(&self) -> bool {
        match self.stage.get() {
            ConnectionState::Silent => !self.is_new(),
            ConnectionState::Idle => !self.has_more(),
            _ => false,
        }
    }

    /// Whether a request stands on it that has not come whole.
    pub fn is_arriving(&self) -> bool {
        self.stage.get() == ConnectionState::Arriving
    }

    /// Whether a request's answer is waited for.
    pub fn is_awaited(&self) -> bool {
        self.awaited.get()
    }

    /// A request's answer is waited for until what is returned is dropped.
    pub fn awaits(&self) -> ResponseWait<'_> {
        self.awaited.set(true);
        ResponseWait(self)
    }

    /// The time that a body may take by what has come of it so far.
    pub fn paid(&self) -> Nanos {
        self.received.get().saturating_mul(1_000_000_000) / MIN_BODY_BYTES_PER_SECOND
    }

    /// When the body has to have come, by what has come of it so far, and when.
    pub fn received_by(&self) -> Nanos {
        let most = nanos(BODY_STALL_TIMEOUT);
        let by_pace = self
            .since
            .get()
            .saturating_add(most)
            .saturating_add(self.paid());
        by_pace.min(self.heard.get().saturating_add(most))
    }

    /// Whether a body that is on its way waits for a server, and not for its client.
    pub fn set_blocked(&self, is_blocked: bool) {
        self.blocked.set(is_blocked);
    }

    /// An answer that ends with the connection has broken off: only a reset shows that.
    pub fn set_broken(&self) {
        self.broken.set(true);
    }

    /// Whether the connection has to end by a reset.
    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Whether all of the last request has been taken.
    pub fn is_received(&self) -> bool {
        !matches!(
            self.stage.get(),
            ConnectionState::Arriving | ConnectionState::Receiving
        )
    }

    /// An answer has begun to go out and goes on as it comes.
    pub fn passing(&self) {
        self.enter(ConnectionState::Passing);
    }

    /// The last of it has been handed on.
    pub fn passed(&self) {
        if self.stage.get() == ConnectionState::Passing {
            self.enter(ConnectionState::Answering);
        }
    }

    /// A request is taken.
    pub fn open(&self) {
        self.enter(ConnectionState::Open);
    }

    /// Its answer goes out, and tells of a bad request or not.
    pub fn answering(&self, bad: bool) {
        self.told_off.set(bad);
        if self.stage.get() != ConnectionState::Passing {
            self.enter(ConnectionState::Answering);
        }
    }

    /// Whether more of a bad request may still come.
    pub fn told_off(&self) -> bool {
        self.told_off.get()
    }

    /// Its client is told that nothing more follows.
    pub fn parting(&self) {
        self.enter(ConnectionState::Parting);
    }

    /// Its client has been answered for the last time, and may still be writing.
    pub fn leaving(&self) {
        self.enter(ConnectionState::Leaving);
    }

    /// Resolves once the connection is to end in good order.
    pub async fn ends(&self) {
        self.part.notified().await;
    }

    /// Resolves once the connection has to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    fn overdue(&self, now: Nanos) -> bool {
        let most = match self.stage.get() {
            ConnectionState::Silent | ConnectionState::Arriving => {
                HEAD_READ_TIMEOUT + TIMEOUT_RESPONSE_GRACE
            }
            // Whoever waits for the answer sees to it that one comes.
            ConnectionState::Receiving if self.awaited.get() => return false,
            ConnectionState::Receiving => {
                return now
                    >= self
                        .received_by()
                        .saturating_add(nanos(TIMEOUT_RESPONSE_GRACE));
            }
            ConnectionState::Open => return false,
            ConnectionState::Passing => STREAM_STALL_TIMEOUT,
            ConnectionState::Answering => SEND_TIMEOUT,
            ConnectionState::Idle => IDLE_TIMEOUT,
            ConnectionState::Parting => CLOSE_TIMEOUT,
            ConnectionState::Leaving => LINGER_TIMEOUT,
        };
        now.saturating_sub(self.since.get()) >= nanos(most)
    }

    /// Ends what has stood for too long: in good order where nothing but its client's silence ends it.
    fn end_overdue(&self) {
        match self.stage.get() {
            ConnectionState::Silent | ConnectionState::Arriving | ConnectionState::Idle => {
                self.part.notify_one();
            }
            _ => self.close.notify_one(),
        }
    }

    /// The order in which connections make room, or none for one that may not be closed.
    fn rank(&self, now: Nanos) -> Option<(u8, Nanos)> {
        let (rank, least, since) = match self.stage.get() {
            ConnectionState::Parting | ConnectionState::Leaving => {
                (0, Duration::ZERO, self.since.get())
            }
            ConnectionState::Silent => (1, MIN_SILENCE_BEFORE_EVICTION, self.since.get()),
            ConnectionState::Idle => (2, MIN_IDLE_BEFORE_EVICTION, self.since.get()),
            ConnectionState::Receiving if self.blocked.get() => return None,
            ConnectionState::Arriving | ConnectionState::Receiving => {
                (3, MIN_STALL_BEFORE_EVICTION, self.heard.get())
            }
            ConnectionState::Open | ConnectionState::Passing | ConnectionState::Answering => {
                return None;
            }
        };
        (now.saturating_sub(since) >= nanos(least)).then_some((rank, since))
    }
}

/// A request's answer is waited for as long as this lives.
pub struct ResponseWait<'a>(&'a Connection);

impl Drop for ResponseWait<'_> {
    fn drop(&mut self) {
        self.0.awaited.set(false);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.enter(ConnectionState::Leaving);
    }
}

/// All slots; at most `most` are taken at a time.
pub struct ConnectionLimiter {
    slots: RefCell<BTreeMap<u64, Rc<Connection>>>,
    idle: Rc<Idle>,
    next: Cell<u64>,
    most: Rc<Cell<usize>>,
    freed: Notify,
    clock: Clock,
}

impl ConnectionLimiter {
    /// Slots for so many connections.
    pub fn new(most: Rc<Cell<usize>>, clock: Clock) -> Rc<Self> {
        let idle = Rc::new(Idle {
            now: Cell::new(0),
            most: most.clone(),
        });
        let (next, freed) = (Cell::new(0), Notify::new());
        Rc::new(Self {
            slots: RefCell::default(),
            idle,
            next,
            most,
            freed,
            clock,
        })
    }

    /// A slot for a new connection, once there is room; those who have to make it are closed first.
    pub async fn take(self: &Rc<Self>) -> ConnectionPermit {
        while self.slots.borrow().len() >= self.most.get() {
            self.make_room();
            // Somebody may go of itself meanwhile, or become old enough to be closed.
            let _ = self
                .clock
                .timeout(EVICTION_RETRY_INTERVAL, self.freed.notified())
                .await;
        }
        let (number, slot) = (
            self.next.get(),
            Rc::new(Connection::new(self.idle.clone(), self.clock.clone())),
        );
        self.next.set(number + 1);
        self.slots.borrow_mut().insert(number, slot.clone());
        ConnectionPermit {
            slots: self.clone(),
            number,
            slot,
        }
    }

    fn make_room(&self) {
        let now = self.clock.now();
        let slots = self.slots.borrow();
        let ranked = slots
            .values()
            .filter_map(|slot| Some((slot.rank(now)?, slot)));
        if let Some((_, slot)) = ranked.min_by_key(|(rank, _)| *rank) {
            slot.close.notify_one();
        }
    }

    /// Closes connections on which nothing has happened for too long; never ends.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            self.clock.sleep(TIMEOUT_CHECK_INTERVAL).await;
            let now = self.clock.now();
            let slots = self.slots.borrow();
            slots
                .values()
                .filter(|slot| slot.overdue(now))
                .for_each(|slot| slot.end_overdue());
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
pub struct ConnectionPermit {
    slots: Rc<ConnectionLimiter>,
    number: u64,
    slot: Rc<Connection>,
}

impl ConnectionPermit {
    /// The slot.
    pub fn slot(&self) -> &Rc<Connection> {
        &self.slot
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.slots.slots.borrow_mut().remove(&self.number);
        self.slots.freed.notify_one();
    }
}

/// Keeps a slot up to date by what is heard on its client's socket.
pub struct RequestTracker {
    slot: Rc<Connection>,
    follower: RequestFramer,
}

impl RequestTracker {
    /// The tracker of this slot.
    pub fn new(slot: Rc<Connection>) -> Self {
        Self {
            slot,
            follower: RequestFramer::new(),
        }
    }
}

impl StreamObserver for RequestTracker {
    fn bytes(&mut self, bytes: &[u8]) {
        let Self { slot, follower } = self;
        let now = slot.clock.now();
        slot.heard(now);
        slot.moved(bytes.len());
        follower.feed(bytes, &mut |event| slot.told(event, now));
    }

    fn written(&mut self) {
        self.slot.moved(0);
    }

    fn flushed(&mut self) {
        self.slot.flushed();
    }
}

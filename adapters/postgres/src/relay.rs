//! One session between its sockets and the engine: its client's bytes, those of the server connection that it has at
//! the moment, and what the session core makes of them. No more is read from either side than the other takes.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos, Outcome};
use badgerpost_engine::{AttemptEnd, AttemptId, IncomingRequest, RequestOutcome, Sleep};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::server_messages::{self, ErrorReason, TransactionStatus};
use badgerpost_postgres_session::session::{Action, Event, Session};
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{oneshot, watch};

use crate::clients::Registered;
use crate::config::repeatable;
use crate::pool::{Link, Pool};
use crate::stream::Stream;
use crate::{Fleet, Lease, LeaseRequest, Postgres};

/// What waits to be written to a side is no more than this and one reading; then the other is not read.
const UNSENT: usize = 64 * 1024;
const READ_AT_ONCE: usize = 16 * 1024;
/// A buffer that has grown beyond this is given back once it is empty: most sessions are idle most of the time.
const KEEPS: usize = 4 * 1024;
/// A client takes its last words in within this time.
const LAST_WORDS: Duration = Duration::from_secs(1);

thread_local! {
    /// What is read from any socket of this thread: it is cut into messages before anything else is read.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_AT_ONCE]);
}

/// Where leases for one session arrive.
#[derive(Default)]
pub struct LeaseSlot {
    /// The transaction that waits for one; 0 for none.
    wanted: Cell<u64>,
    lease: RefCell<Option<Box<Lease>>>,
    waker: RefCell<Option<Waker>>,
}

impl LeaseSlot {
    /// Brings a lease for a transaction; given back if that waits for none any more.
    pub fn put(&self, transaction: u64, lease: Lease) -> Option<Lease> {
        if self.lease.borrow().is_some() || self.wanted.get() != transaction {
            return Some(lease);
        }
        *self.lease.borrow_mut() = Some(Box::new(lease));
        self.waker.borrow().iter().for_each(Waker::wake_by_ref);
        None
    }

    fn poll(&self, cx: &Context<'_>) -> Poll<Box<Lease>> {
        if let Some(lease) = self.lease.borrow_mut().take() {
            return Poll::Ready(lease);
        }
        let mut waker = self.waker.borrow_mut();
        if waker
            .as_ref()
            .is_none_or(|known| !known.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}

type Answer = Pin<Box<dyn Future<Output = RequestOutcome<()>>>>;
type Waits = Pin<Box<dyn Future<Output = ()>>>;

/// A server connection that the session has.
struct Held {
    link: Link,
    backend: BackendId,
    endpoint: SocketAddr,
    /// The attempt that it was leased for, until that has ended.
    ticket: Option<AttemptId>,
    give_up: Nanos,
    withdrawn: oneshot::Receiver<()>,
    timer: Option<Pin<Box<Sleep>>>,
}

/// A transaction that is held back while the pool is paused.
struct HeldBack {
    alone: bool,
    resumed: Waits,
    late: Pin<Box<Sleep>>,
}

/// What a session is and may.
pub struct Terms {
    /// The fleet that it goes to.
    pub fleet: Fleet,
    /// Its connections.
    pub pool: Rc<Pool>,
    /// Its class, and whether what stands alone may be repeated.
    pub class: (String, bool),
    /// The class's worth: who has more goes first where connections are short.
    pub worth: f64,
    /// Its database.
    pub database: String,
    /// The login at the servers.
    pub login: usize,
    /// It keeps its server connection from its first transaction to its end.
    pub session_pooling: bool,
}

/// One client's session.
pub struct Relay {
    terms: Terms,
    session: Session,
    client: Stream,
    cutter: FrameDecoder,
    registered: Registered,
    asked: u64,
    slot: Rc<LeaseSlot>,
    held: Option<Box<Held>>,
    waiting: Option<Answer>,
    held_back: Option<Box<HeldBack>>,
    to_client: BytesMut,
    to_server: BytesMut,
    unflushed: bool,
    ended: bool,
}

/// How far one direction came.
#[derive(PartialEq, Eq)]
enum Went {
    Nowhere,
    On,
}

impl Relay {
    /// A session of a client that has shown who it is, from its greeting on.
    pub fn new(
        terms: Terms,
        session: Session,
        client: Stream,
        cutter: FrameDecoder,
        registered: Registered,
        greeting: BytesMut,
    ) -> Self {
        Self {
            terms,
            session,
            client,
            cutter,
            registered,
            asked: 0,
            slot: Rc::default(),
            held: None,
            waiting: None,
            held_back: None,
            to_client: greeting,
            to_server: BytesMut::new(),
            unflushed: false,
            ended: false,
        }
    }

    /// Serves the session until either side ends it. Once `stopping` says so it ends between two transactions.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let clock = self.terms.fleet.clock().clone();
        let registered = self.registered.clone();
        // Boxed, so that what waits for it is small in each idle session.
        let mut stopped: Waits = Box::pin(async move {
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => {}
                () = registered.disconnected() => {}
            }
        });
        let mut stops = false;
        std::future::poll_fn(|cx| {
            if !stops && stopped.as_mut().poll(cx).is_ready() {
                stops = true;
            }
            self.poll(cx, stops)
        })
        .await;
        // Last words, to a client that still listens.
        let last = std::future::poll_fn(|cx| {
            let Self {
                client, to_client, ..
            } = &mut self;
            while !to_client.is_empty() {
                match Pin::new(&mut *client).poll_write(cx, to_client) {
                    Poll::Ready(Ok(count)) if count > 0 => to_client.advance(count),
                    Poll::Ready(_) => return Poll::Ready(()),
                    Poll::Pending => return Poll::Pending,
                }
            }
            Pin::new(client).poll_shutdown(cx).map(drop)
        });
        let _ = clock.timeout(LAST_WORDS, last).await;
    }

    /// All that can be done now; ready once the session is over.
    fn poll(&mut self, cx: &mut Context<'_>, stops: bool) -> Poll<()> {
        loop {
            let mut went = self.process();
            if stops && !self.ended && self.session.is_idle() && self.waiting.is_none() {
                server_messages::error_response(ErrorReason::Stopping, None)
                    .write(&mut self.to_client);
                self.handle(Event::ClientDisconnected);
            }
            for step in [Self::write_server, Self::write_client] {
                went |= step(self, cx) == Went::On;
            }
            if self.ended {
                return Poll::Ready(());
            }
            for step in [
                Self::poll_held,
                Self::read_server,
                Self::poll_engine,
                Self::read_client,
            ] {
                went |= step(self, cx) == Went::On;
                if self.ended {
                    return Poll::Ready(());
                }
            }
            if !went {
                self.give_back();
                return Poll::Pending;
            }
        }
    }

    /// Buffers that are empty and large go: the session may be idle for an hour now.
    fn give_back(&mut self) {
        for buffer in [&mut self.to_client, &mut self.to_server] {
            if buffer.is_empty() && buffer.capacity() > KEEPS {
                *buffer = BytesMut::new();
            }
        }
        self.cutter.release_buffer();
    }

    fn write_client(&mut self, cx: &mut Context<'_>) -> Went {
        let mut went = Went::Nowhere;
        while !self.to_client.is_empty() {
            match Pin::new(&mut self.client).poll_write(cx, &self.to_client) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_client.advance(count);
                    (went, self.unflushed) = (Went::On, true);
                }
                Poll::Ready(_) => {
                    self.to_client.clear();
                    self.handle(Event::ClientDisconnected);
                    return Went::On;
                }
                Poll::Pending => return went,
            }
        }
        if self.unflushed {
            self.unflushed = Pin::new(&mut self.client).poll_flush(cx).is_pending();
        }
        went
    }

    fn write_server(&mut self, cx: &mut Context<'_>) -> Went {
        let mut went = Went::Nowhere;
        while let (Some(held), false) = (&mut self.held, self.to_server.is_empty()) {
            match Pin::new(&mut held.link.stream).poll_write(cx, &self.to_server) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_server.advance(count);
                    let _ = Pin::new(&mut held.link.stream).poll_flush(cx);
                    went = Went::On;
                }
                Poll::Ready(_) => {
                    self.lost(Outcome::Reset);
                    return Went::On;
                }
                Poll::Pending => return went,
            }
        }
        went
    }

    fn read_server(&mut self, cx: &mut Context<'_>) -> Went {
        let Some(held) = self.held.as_mut().filter(|_| self.to_client.len() < UNSENT) else {
            return Went::Nowhere;
        };
        match read(&mut held.link.stream, &mut held.link.cutter, cx) {
            Poll::Ready(true) => Went::On,
            Poll::Ready(false) => {
                self.lost(Outcome::Reset);
                Went::On
            }
            Poll::Pending => Went::Nowhere,
        }
    }

    fn read_client(&mut self, cx: &mut Context<'_>) -> Went {
        if !self.session.wants_more()
            || self.to_server.len() >= UNSENT
            || self.to_client.len() >= UNSENT
        {
            return Went::Nowhere;
        }
        match read(&mut self.client, &mut self.cutter, cx) {
            Poll::Ready(true) => Went::On,
            Poll::Ready(false) => {
                self.handle(Event::ClientDisconnected);
                Went::On
            }
            Poll::Pending => Went::Nowhere,
        }
    }

    /// The attempt that the connection was leased for: withdrawn, or late.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> Went {
        // A session that is pinned and between transactions waits for its client alone.
        let Some(held) = self.held.as_mut().filter(|held| held.ticket.is_some()) else {
            return Went::Nowhere;
        };
        if Pin::new(&mut held.withdrawn).poll(cx).is_ready() {
            self.lost(Outcome::Cancelled);
            return Went::On;
        }
        let (clock, give_up) = (self.terms.fleet.clock(), held.give_up);
        let timer = held
            .timer
            .get_or_insert_with(|| Box::pin(clock.sleep_until(give_up)));
        if timer.as_mut().poll(cx).is_ready() {
            self.lost(Outcome::TimedOut);
            return Went::On;
        }
        Went::Nowhere
    }

    /// What the engine brings: a lease, or the end of the transaction.
    fn poll_engine(&mut self, cx: &mut Context<'_>) -> Went {
        if let Some(held_back) = &mut self.held_back {
            let alone = held_back.alone;
            if held_back.resumed.as_mut().poll(cx).is_ready() {
                self.held_back = None;
                self.submit(alone);
                return Went::On;
            }
            if held_back.late.as_mut().poll(cx).is_ready() {
                self.held_back = None;
                self.handle(Event::Rejected {
                    retry_after_ms: 1000,
                });
                return Went::On;
            }
        }
        if self.held.is_some() || self.waiting.is_none() {
            return Went::Nowhere;
        }
        if let Poll::Ready(lease) = self.slot.poll(cx) {
            self.leased(*lease);
            return Went::On;
        }
        let Some(waiting) = &mut self.waiting else {
            return Went::Nowhere;
        };
        match waiting.as_mut().poll(cx) {
            Poll::Ready(reply) => {
                self.wait_no_more();
                match reply {
                    // Told by the session itself, as it came.
                    RequestOutcome::Served(()) => {}
                    RequestOutcome::Rejected(pause) => {
                        self.handle(Event::Rejected {
                            retry_after_ms: pause.div_ceil(1_000_000),
                        });
                    }
                    RequestOutcome::Failed => self.handle(Event::RequestFailed),
                }
                Went::On
            }
            Poll::Pending => Went::Nowhere,
        }
    }

    /// Takes in what has come whole; whether anything had.
    fn process(&mut self) -> bool {
        let mut any = false;
        while !self.ended {
            if let Some(held) = &mut self.held
                && self.to_client.len() < UNSENT
            {
                match held.link.cutter.next_from_server() {
                    Ok(Some(cut)) => {
                        self.handle(Event::Server(cut));
                        any = true;
                        continue;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        let server = self.terms.fleet.endpoint_name(held.backend);
                        tracing::warn!(server, endpoint = %held.endpoint, %error, "server does not speak PostgreSQL");
                        self.lost(Outcome::InvalidResponse);
                        any = true;
                        continue;
                    }
                }
            }
            if !self.session.wants_more() || self.to_server.len() >= UNSENT {
                return any;
            }
            match self.cutter.next_from_client() {
                Ok(Some(cut)) => {
                    self.check_pinned();
                    self.handle(Event::Client(cut));
                    any = true;
                }
                Ok(None) => return any,
                Err(error) => {
                    server_messages::error_response(
                        ErrorReason::Protocol,
                        Some(&error.to_string()),
                    )
                    .write(&mut self.to_client);
                    self.handle(Event::ClientDisconnected);
                    any = true;
                }
            }
        }
        any
    }

    /// A pinned session can't be moved: with its server draining, its next transaction is not begun there.
    fn check_pinned(&mut self) {
        let Some(held) = &self.held else { return };
        let between = held.ticket.is_none() && self.session.status() == TransactionStatus::Idle;
        if between
            && !self
                .terms
                .fleet
                .is_in_service_at(held.backend, held.endpoint)
        {
            let detail = "the session is pinned to a server that leaves";
            server_messages::error_response(ErrorReason::Stopping, Some(detail))
                .write(&mut self.to_client);
            self.handle(Event::ClientDisconnected);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
        let runs = self.held.as_ref().filter(|_| self.session.is_running());
        self.registered
            .cancelable()
            .set_target(runs.map(|held| (held.endpoint, held.link.cancel)));
        self.registered.note(
            &self.session,
            self.held.as_ref().map(|held| held.endpoint),
            self.waiting.is_some(),
        );
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::RequestServer { single_statement } => self.ask(single_statement),
            Action::ToServer(bytes) => self.to_server.extend_from_slice(&bytes),
            Action::ToClient(bytes) => self.to_client.extend_from_slice(&bytes),
            Action::ResponseStarted => {
                let ticket = self.held.as_ref().and_then(|held| held.ticket);
                ticket
                    .into_iter()
                    .for_each(|ticket| self.terms.fleet.response_started(ticket));
            }
            Action::TransactionDone => {
                self.registered.count();
                self.settle(AttemptEnd {
                    response: Some(()),
                    ..AttemptEnd::bare(Outcome::Success)
                });
                self.wait_no_more();
            }
            Action::NotRetryable => self.settle(AttemptEnd::bare(Outcome::NotSent)),
            Action::Release(state) => {
                let Some(held) = self.held.take() else { return };
                let Held {
                    mut link, ticket, ..
                } = *held;
                link.state = state;
                // A cancel that is under way might hit whoever comes next; so might bytes that were not sent.
                if !self.registered.cancelable().is_under_way() && self.to_server.is_empty() {
                    self.terms.pool.keep(&self.terms.fleet, link);
                }
                self.to_server.clear();
                self.end(ticket, AttemptEnd::bare(Outcome::NotSent));
            }
            Action::DiscardServer => {
                self.to_server.clear();
                let ticket = self.held.take().and_then(|held| held.ticket);
                self.end(ticket, AttemptEnd::bare(Outcome::Cancelled));
            }
            Action::End => {
                self.ended = true;
                // Dropped before its answer, it tells the engine that the client has gone.
                self.held_back = None;
                self.wait_no_more();
            }
        }
    }

    /// The transaction is over for the engine; a lease that has come for it in this moment goes back unused.
    fn wait_no_more(&mut self) {
        self.waiting = None;
        self.slot.wanted.set(0);
        if let Some(lease) = self.slot.lease.borrow_mut().take() {
            let Lease { ticket, link, .. } = *lease;
            self.terms.pool.keep(&self.terms.fleet, link);
            self.terms
                .fleet
                .attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent));
        }
    }

    /// Ends the attempt that the connection was leased for.
    fn settle(&mut self, ending: AttemptEnd<()>) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.end(ticket, ending);
    }

    fn end(&self, ticket: Option<AttemptId>, ending: AttemptEnd<()>) {
        if let Some(ticket) = ticket {
            self.terms.fleet.attempt_ended(ticket, ending);
        }
    }

    /// The connection is of no use any more. The session hears of it first, so that it waits for what the engine
    /// says then.
    fn lost(&mut self, outcome: Outcome) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.handle(Event::ServerLost);
        self.held = None;
        self.end(ticket, AttemptEnd::bare(outcome));
        if ticket.is_none() && !self.ended {
            // Between two transactions nobody but the session has to be told.
            self.handle(Event::RequestFailed);
        }
    }

    fn ask(&mut self, alone: bool) {
        if !self.terms.pool.is_paused() {
            return self.submit(alone);
        }
        let clock = self.terms.fleet.clock();
        let deadline = self
            .terms
            .fleet
            .class(&self.terms.class.0)
            .map_or(0, |(_, deadline, _)| deadline);
        // What it waits for is refused in time for the client to do something about it.
        let late = clock.sleep_until(clock.now().saturating_add(deadline / 2));
        let pool = self.terms.pool.clone();
        let resumed: Waits = Box::pin(async move { pool.resumed().await });
        self.held_back = Some(Box::new(HeldBack {
            alone,
            resumed,
            late: Box::pin(late),
        }));
    }

    fn submit(&mut self, alone: bool) {
        let (class, may_repeat) = &self.terms.class;
        let name = if alone && *may_repeat {
            repeatable(class)
        } else {
            class.clone()
        };
        let Some((class, deadline, _)) = self.terms.fleet.class(&name) else {
            // The classes come from the same configuration, so this does not happen; if so, it is a failure.
            return self.handle(Event::RequestFailed);
        };
        self.asked += 1;
        let id = format!("pg-{}-{}", self.registered.number(), self.asked).into();
        let call = LeaseRequest {
            database: self.terms.database.clone(),
            login: self.terms.login,
            rank: u64::MAX - (self.terms.worth.max(0.0) * 1e6) as u64,
            transaction: self.asked,
            slot: self.slot.clone(),
        };
        self.slot.wanted.set(self.asked);
        let asked: IncomingRequest<Postgres> = IncomingRequest {
            id,
            class,
            tenant: None,
            affinity_key: None,
            expected_work: None,
            is_retry: false,
            budget: deadline,
            call,
        };
        match self.terms.fleet.submit(asked) {
            Some(waiting) => self.waiting = Some(Box::pin(waiting.into_outcome())),
            None => self.handle(Event::RequestFailed),
        }
    }

    fn leased(&mut self, lease: Lease) {
        let Lease {
            ticket,
            backend,
            endpoint,
            mut link,
            give_up,
            withdrawn,
        } = lease;
        let state = std::mem::take(&mut link.state);
        let held = Held {
            link,
            backend,
            endpoint,
            ticket: Some(ticket),
            give_up,
            withdrawn,
            timer: None,
        };
        self.held = Some(Box::new(held));
        self.handle(Event::Attached(state));
        if self.terms.session_pooling {
            self.session.keep_server();
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.wait_no_more();
    }
}

/// Reads once; false at the end.
fn read(stream: &mut Stream, cutter: &mut FrameDecoder, cx: &mut Context<'_>) -> Poll<bool> {
    SCRATCH.with_borrow_mut(|scratch| {
        let mut buffer = ReadBuf::new(scratch);
        match Pin::new(stream).poll_read(cx, &mut buffer) {
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                cutter.push(buffer.filled());
                Poll::Ready(true)
            }
            Poll::Ready(_) => Poll::Ready(false),
            Poll::Pending => Poll::Pending,
        }
    })
}

//! One session between its sockets and the engine: its client's bytes, those of the server connection that it has at
//! the moment, and what the session core makes of them. No more is read from either side than the other takes.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos, Outcome};
use badgerpost_engine::{AttemptEnd, AttemptId, RequestOutcome, Sleep};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::server_messages::{self, ErrorReason};
use badgerpost_postgres_session::session::{Action, Event, Session};
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{oneshot, watch};

use crate::PostgresEngine;
use crate::clients::RegisteredClient;
use crate::lease_slot::LeaseSlot;
use crate::logins::LoginId;
use crate::pool::{Pool, ServerConnection};
use crate::stream::Stream;

/// What waits to be written to a side is no more than this and one reading; then the other is not read.
const UNSENT: usize = 64 * 1024;
const READ_AT_ONCE: usize = 16 * 1024;
/// A buffer that has grown beyond this is given back once it is empty: most sessions are idle most of the time.
const KEEPS: usize = 4 * 1024;
/// A client takes its last words in within this time.
const LAST_WORDS: Duration = Duration::from_secs(1);

mod transactions;

thread_local! {
    /// What is read from any socket of this thread: it is cut into messages before anything else is read.
    static SCRATCH: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_AT_ONCE]);
}

type Answer = Pin<Box<dyn Future<Output = RequestOutcome<()>>>>;
type Waits = Pin<Box<dyn Future<Output = ()>>>;

/// A server connection that the session has.
struct LeasedConnection {
    link: ServerConnection,
    backend: BackendId,
    endpoint: SocketAddr,
    /// The attempt that it was leased for, until that has ended.
    ticket: Option<AttemptId>,
    give_up: Nanos,
    withdrawn: oneshot::Receiver<()>,
    timer: Option<Pin<Box<Sleep>>>,
}

/// A transaction that is held back while the pool is paused.
struct PausedTransaction {
    alone: bool,
    resumed: Waits,
    late: Pin<Box<Sleep>>,
}

/// What a session is and may.
pub struct SessionTerms {
    /// The fleet that it goes to.
    pub fleet: PostgresEngine,
    /// Its connections.
    pub pool: Rc<Pool>,
    /// Its class, and whether what stands alone may be repeated.
    pub class: (String, bool),
    /// The class's worth: who has more goes first where connections are short.
    pub worth: f64,
    /// Its database.
    pub database: String,
    /// The login at the servers.
    pub login: LoginId,
    /// It keeps its server connection from its first transaction to its end.
    pub session_pooling: bool,
}

/// One client's session.
pub struct Relay {
    terms: SessionTerms,
    session: Session,
    client: Stream,
    cutter: FrameDecoder,
    registered: RegisteredClient,
    asked: u64,
    slot: Rc<LeaseSlot>,
    held: Option<Box<LeasedConnection>>,
    waiting: Option<Answer>,
    held_back: Option<Box<PausedTransaction>>,
    to_client: BytesMut,
    to_server: BytesMut,
    unflushed: bool,
    ended: bool,
}

/// How far one direction came.
#[derive(PartialEq, Eq)]
enum RelayProgress {
    Stalled,
    Advanced,
}

impl Relay {
    /// A session of a client that has shown who it is, from its greeting on.
    pub fn new(
        terms: SessionTerms,
        session: Session,
        client: Stream,
        cutter: FrameDecoder,
        registered: RegisteredClient,
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
                went |= step(self, cx) == RelayProgress::Advanced;
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
                went |= step(self, cx) == RelayProgress::Advanced;
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

    fn write_client(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        let mut went = RelayProgress::Stalled;
        while !self.to_client.is_empty() {
            match Pin::new(&mut self.client).poll_write(cx, &self.to_client) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_client.advance(count);
                    (went, self.unflushed) = (RelayProgress::Advanced, true);
                }
                Poll::Ready(_) => {
                    self.to_client.clear();
                    self.handle(Event::ClientDisconnected);
                    return RelayProgress::Advanced;
                }
                Poll::Pending => return went,
            }
        }
        if self.unflushed {
            self.unflushed = Pin::new(&mut self.client).poll_flush(cx).is_pending();
        }
        went
    }

    fn write_server(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        let mut went = RelayProgress::Stalled;
        while let (Some(held), false) = (&mut self.held, self.to_server.is_empty()) {
            match Pin::new(&mut held.link.stream).poll_write(cx, &self.to_server) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_server.advance(count);
                    let _ = Pin::new(&mut held.link.stream).poll_flush(cx);
                    went = RelayProgress::Advanced;
                }
                Poll::Ready(_) => {
                    self.lost(Outcome::Reset);
                    return RelayProgress::Advanced;
                }
                Poll::Pending => return went,
            }
        }
        went
    }

    fn read_server(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        let Some(held) = self.held.as_mut().filter(|_| self.to_client.len() < UNSENT) else {
            return RelayProgress::Stalled;
        };
        match read(&mut held.link.stream, &mut held.link.cutter, cx) {
            Poll::Ready(true) => RelayProgress::Advanced,
            Poll::Ready(false) => {
                self.lost(Outcome::Reset);
                RelayProgress::Advanced
            }
            Poll::Pending => RelayProgress::Stalled,
        }
    }

    fn read_client(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        if !self.session.wants_more()
            || self.to_server.len() >= UNSENT
            || self.to_client.len() >= UNSENT
        {
            return RelayProgress::Stalled;
        }
        match read(&mut self.client, &mut self.cutter, cx) {
            Poll::Ready(true) => RelayProgress::Advanced,
            Poll::Ready(false) => {
                self.handle(Event::ClientDisconnected);
                RelayProgress::Advanced
            }
            Poll::Pending => RelayProgress::Stalled,
        }
    }

    /// The attempt that the connection was leased for: withdrawn, or late.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        // A session that is pinned and between transactions waits for its client alone.
        let Some(held) = self.held.as_mut().filter(|held| held.ticket.is_some()) else {
            return RelayProgress::Stalled;
        };
        if Pin::new(&mut held.withdrawn).poll(cx).is_ready() {
            self.lost(Outcome::Cancelled);
            return RelayProgress::Advanced;
        }
        let (clock, give_up) = (self.terms.fleet.clock(), held.give_up);
        let timer = held
            .timer
            .get_or_insert_with(|| Box::pin(clock.sleep_until(give_up)));
        if timer.as_mut().poll(cx).is_ready() {
            self.lost(Outcome::TimedOut);
            return RelayProgress::Advanced;
        }
        RelayProgress::Stalled
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
                let LeasedConnection {
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

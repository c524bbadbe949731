//! One session between its sockets and the engine: moves bytes between the client and the server connection that the
//! session has at the moment, and carries out what the session core decides. No more is read from one side than the
//! other takes.
//!
//! - `streams`: reading and writing the sockets
//! - `transactions`: server connections from the engine, and the ends of attempts

mod streams;
mod transactions;

use std::future::Future;
use std::ops::BitOrAssign;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use badgerpost_balancer::{Nanos, Outcome};
use badgerpost_engine::{AttemptEnd, AttemptId, RequestOutcome};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::server_messages::{ErrorReason, error_response};
use badgerpost_postgres_session::session::{Action, Event, ServerState, Session};
use bytes::BytesMut;
use tokio::sync::{oneshot, watch};

use self::streams::MAX_UNSENT_BYTES;
use crate::PostgresEngine;
use crate::cancellation::CancelTarget;
use crate::client::Client;
use crate::client_registry::{RegisteredClient, SessionActivity};
use crate::config::Class;
use crate::lease::LeaseSlot;
use crate::pool::{ConnectionTarget, Pool, ServerAddress, ServerConnection};
use crate::stream::Stream;

type OutcomeFuture = Pin<Box<dyn Future<Output = RequestOutcome<()>>>>;
type Notification = Pin<Box<dyn Future<Output = ()>>>;

/// The class of a session's transactions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionClass {
    /// Its name.
    pub name: String,
    /// Whether a single statement may run twice.
    pub has_idempotent_statements: bool,
    /// Where connections are scarce, transactions of a higher weight go first.
    pub priority_weight: f64,
}

impl From<&Class> for SessionClass {
    fn from(class: &Class) -> Self {
        Self {
            name: class.name.clone(),
            has_idempotent_statements: class.has_idempotent_statements,
            priority_weight: class.priority_weight,
        }
    }
}

/// What a session works with.
pub struct SessionContext {
    /// The engine that chooses a server for each transaction.
    pub fleet: PostgresEngine,
    /// Connections to the servers.
    pub pool: Rc<Pool>,
    /// The class of its transactions.
    pub class: SessionClass,
    /// Its database, and its login at the servers.
    pub target: ConnectionTarget,
    /// Whether it keeps its server connection from its first transaction to its end.
    pub has_session_pooling: bool,
}

/// The server connection that a session has.
struct LeasedConnection {
    connection: ServerConnection,
    address: ServerAddress,
    /// The attempt that it was leased for, until that has ended.
    attempt: Option<AttemptId>,
    deadline: Nanos,
    cancelled: oneshot::Receiver<()>,
    /// Started when the attempt is first waited for.
    timeout: Option<Notification>,
}

/// A transaction that is held back while the pool is paused.
struct PausedTransaction {
    is_single_statement: bool,
    resumed: Notification,
    timeout: Notification,
}

/// Whether a step could do anything.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Stalled,
    Advanced,
}

impl BitOrAssign for Progress {
    fn bitor_assign(&mut self, other: Self) {
        if other == Self::Advanced {
            *self = Self::Advanced;
        }
    }
}

/// One client's session on its sockets.
pub struct Relay {
    context: SessionContext,
    session: Session,
    client: Stream,
    client_decoder: FrameDecoder,
    registered: RegisteredClient,
    /// Transactions requested from the engine so far.
    transactions: u64,
    lease_slot: Rc<LeaseSlot>,
    server: Option<Box<LeasedConnection>>,
    /// The outcome of the transaction that was requested from the engine, while it is awaited.
    pending_outcome: Option<OutcomeFuture>,
    paused_transaction: Option<Box<PausedTransaction>>,
    to_client: BytesMut,
    to_server: BytesMut,
    client_needs_flush: bool,
    ended: bool,
}

impl Relay {
    /// The session of an authenticated client, which is sent `greeting` first.
    pub fn new(
        context: SessionContext,
        session: Session,
        client: Client,
        registered: RegisteredClient,
        greeting: BytesMut,
    ) -> Self {
        Self {
            context,
            session,
            client: client.stream,
            client_decoder: client.decoder,
            registered,
            transactions: 0,
            lease_slot: Rc::default(),
            server: None,
            pending_outcome: None,
            paused_transaction: None,
            to_client: greeting,
            to_server: BytesMut::new(),
            client_needs_flush: false,
            ended: false,
        }
    }

    /// Runs the session until either side ends it. Once `stopping` is true, it ends between two transactions.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let registered = self.registered.clone();
        // Boxed, so that what waits for it is small in each idle session.
        let mut stop_requested: Notification = Box::pin(async move {
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => {}
                () = registered.disconnected() => {}
            }
        });
        let mut is_stopping = false;
        std::future::poll_fn(|cx| {
            if !is_stopping && stop_requested.as_mut().poll(cx).is_ready() {
                is_stopping = true;
            }
            self.poll(cx, is_stopping)
        })
        .await;
        self.close_client().await;
    }

    /// Does all that can be done now; ready once the session has ended.
    fn poll(&mut self, cx: &mut Context<'_>, is_stopping: bool) -> Poll<()> {
        loop {
            let mut progress = self.process_buffered();
            if is_stopping
                && !self.ended
                && self.session.is_idle()
                && self.pending_outcome.is_none()
            {
                self.end_session(ErrorReason::ShuttingDown, None);
            }
            progress |= self.write_server(cx);
            progress |= self.write_client(cx);
            if self.ended {
                return Poll::Ready(());
            }
            for step in [
                Self::poll_attempt,
                Self::read_server,
                Self::poll_engine,
                Self::read_client,
            ] {
                progress |= step(self, cx);
                if self.ended {
                    return Poll::Ready(());
                }
            }
            if progress == Progress::Stalled {
                self.release_buffers();
                return Poll::Pending;
            }
        }
    }

    /// Handles all messages that were received completely, until too much is unsent to the other side.
    fn process_buffered(&mut self) -> Progress {
        let mut progress = Progress::Stalled;
        while !self.ended
            && (self.process_server_message() == Progress::Advanced
                || self.process_client_message() == Progress::Advanced)
        {
            progress = Progress::Advanced;
        }
        progress
    }

    fn process_server_message(&mut self) -> Progress {
        let Some(server) = &mut self.server else {
            return Progress::Stalled;
        };
        if self.to_client.len() >= MAX_UNSENT_BYTES {
            return Progress::Stalled;
        }
        match server.connection.decoder.next_from_server() {
            Ok(Some(message)) => self.handle(Event::Server(message)),
            Ok(None) => return Progress::Stalled,
            Err(error) => {
                let ServerAddress { backend, endpoint } = server.address;
                let name = self.context.fleet.endpoint_name(backend);
                tracing::warn!(server = name, %endpoint, %error, "server does not speak PostgreSQL");
                self.lose_server(Outcome::InvalidResponse);
            }
        }
        Progress::Advanced
    }

    fn process_client_message(&mut self) -> Progress {
        if !self.session.accepts_client_messages() || self.to_server.len() >= MAX_UNSENT_BYTES {
            return Progress::Stalled;
        }
        match self.client_decoder.next_from_client() {
            Ok(Some(message)) => {
                self.end_if_sticky_server_drains();
                self.handle(Event::Client(message));
            }
            Ok(None) => return Progress::Stalled,
            Err(error) => {
                self.end_session(ErrorReason::ProtocolViolation, Some(&error.to_string()));
            }
        }
        Progress::Advanced
    }

    /// Ends the session with an error.
    fn end_session(&mut self, reason: ErrorReason, detail: Option<&str>) {
        error_response(reason, detail).write(&mut self.to_client);
        self.handle(Event::ClientDisconnected);
    }

    /// Lets the session handle an event, and carries out what it decides.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.update_registry();
    }

    /// Shows operators and cancel requests what the session is doing now.
    fn update_registry(&self) {
        let server = self.server.as_ref();
        let running = server.filter(|_| self.session.is_running());
        self.registered
            .cancel_handle()
            .set_target(running.map(|server| CancelTarget {
                endpoint: server.address.endpoint,
                key: server.connection.cancel_key,
            }));
        self.registered.set_activity(SessionActivity {
            transaction: self.session.status(),
            sticky_reason: self.session.sticky_reason(),
            server: server.map(|server| server.address.endpoint),
            is_waiting: self.pending_outcome.is_some(),
        });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::RequestServer { single_statement } => self.request_server(single_statement),
            Action::ToServer(bytes) => self.to_server.extend_from_slice(&bytes),
            Action::ToClient(bytes) => self.to_client.extend_from_slice(&bytes),
            Action::ResponseStarted => {
                if let Some(attempt) = self.server.as_ref().and_then(|server| server.attempt) {
                    self.context.fleet.response_started(attempt);
                }
            }
            Action::TransactionDone => self.complete_transaction(),
            Action::NotRetryable => {
                self.end_attempt(AttemptEnd::without_response(Outcome::NotSent));
            }
            Action::Release(state) => self.release_server(state),
            Action::DiscardServer => self.discard_server(),
            Action::End => {
                self.ended = true;
                self.paused_transaction = None;
                // Dropped before its outcome, the request tells the engine that the client has disconnected.
                self.forget_request();
            }
        }
    }

    fn complete_transaction(&mut self) {
        self.registered.count_transaction();
        self.end_attempt(AttemptEnd {
            response: Some(()),
            ..AttemptEnd::without_response(Outcome::Success)
        });
        self.forget_request();
    }

    /// Returns the server connection to the pool, if nothing can reach the next session on it.
    fn release_server(&mut self, state: ServerState) {
        let Some(server) = self.server.take() else {
            return;
        };
        let LeasedConnection {
            mut connection,
            attempt,
            ..
        } = *server;
        connection.state = state;
        // A cancel request in flight might hit the next session; so might bytes that were not sent.
        if !self.registered.cancel_handle().is_in_flight() && self.to_server.is_empty() {
            self.context.pool.release(&self.context.fleet, connection);
        }
        self.to_server.clear();
        self.report_attempt_end(attempt, AttemptEnd::without_response(Outcome::NotSent));
    }

    /// Closes the server connection.
    fn discard_server(&mut self) {
        self.to_server.clear();
        let attempt = self.server.take().and_then(|server| server.attempt);
        self.report_attempt_end(attempt, AttemptEnd::without_response(Outcome::Cancelled));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.forget_request();
    }
}

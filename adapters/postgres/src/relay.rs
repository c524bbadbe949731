//! Relays one client's session: forwards messages between the client and the server connection that is leased to the
//! session, and executes the actions of the session state machine. Reading from one side stops while too many bytes
//! are unsent to the other side.
//!
//! - `memory`: charges the session for what it holds for its client
//! - `streams`: reads and writes the sockets
//! - `transactions`: requests server connections from the engine and reports the ends of attempts

mod memory;
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
use crate::session_memory::MemoryAccount;
use crate::stream::Stream;

type OutcomeFuture = Pin<Box<dyn Future<Output = RequestOutcome<()>>>>;
type Notification = Pin<Box<dyn Future<Output = ()>>>;

/// The class of a session's transactions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionClass {
    /// Name of the class in the configuration.
    pub name: String,
    /// Whether a statement outside a transaction block may run twice, so that it may be retried.
    pub has_idempotent_statements: bool,
    /// Transactions of a higher weight are served first when all connections are in use.
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

/// The engine, the pool and the configured properties of one session.
pub struct SessionContext {
    /// The engine that chooses a server for each transaction.
    pub engine: PostgresEngine,
    /// The pool of server connections.
    pub pool: Rc<Pool>,
    /// The class of the session's transactions.
    pub class: SessionClass,
    /// The session's database, and the login for it at the servers.
    pub target: ConnectionTarget,
    /// The charge for what the session holds for its client.
    pub memory: MemoryAccount,
    /// Whether the session keeps a server connection from the first transaction to the end of the session.
    pub has_session_pooling: bool,
}

/// The server connection that is leased to a session.
struct LeasedConnection {
    connection: ServerConnection,
    address: ServerAddress,
    /// The attempt for which the connection was leased; `None` after the attempt has ended.
    attempt: Option<AttemptId>,
    deadline: Nanos,
    cancelled: oneshot::Receiver<()>,
    /// Resolves at `deadline`; created when the attempt is first polled.
    timeout: Option<Notification>,
}

/// A transaction that is held back while the pool is paused.
struct PausedTransaction {
    is_single_statement: bool,
    resumed: Notification,
    timeout: Notification,
}

/// Whether a step of the session made progress.
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

/// One client's session and its sockets.
pub struct Relay {
    context: SessionContext,
    session: Session,
    client: Stream,
    client_decoder: FrameDecoder,
    /// Time of the last byte from the client.
    last_received_at: Nanos,
    registered: RegisteredClient,
    /// Transactions submitted to the engine since the session started.
    transactions: u64,
    lease_slot: Rc<LeaseSlot>,
    server: Option<Box<LeasedConnection>>,
    /// Resolves to the outcome of the transaction that was submitted to the engine; `None` if there is none.
    pending_outcome: Option<OutcomeFuture>,
    paused_transaction: Option<Box<PausedTransaction>>,
    to_client: BytesMut,
    to_server: BytesMut,
    client_needs_flush: bool,
    /// Resolves when a client from which nothing is read is checked for having disconnected; `None` while the session
    /// reads from its client.
    disconnect_check: Option<Notification>,
    ended: bool,
}

impl Relay {
    /// Creates the session of an authenticated client. The client is first sent `greeting`.
    pub fn new(
        context: SessionContext,
        session: Session,
        client: Client,
        registered: RegisteredClient,
        greeting: BytesMut,
    ) -> Self {
        Self {
            last_received_at: context.engine.clock().now(),
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
            disconnect_check: None,
            ended: false,
        }
    }

    /// Runs the session until the client or the node ends it. When `stopping` becomes true, or an operator disconnects
    /// the client, the session ends between two transactions.
    pub async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        let registered = self.registered.clone();
        // Boxed to keep the task of an idle session small.
        let mut stop_requested: Notification = Box::pin(async move {
            tokio::select! {
                biased;
                _ = stopping.wait_for(|stopping| *stopping) => {}
                () = registered.disconnect_requested() => {}
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

    /// Makes as much progress as possible without blocking; ready when the session has ended.
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
                Self::check_client_connection,
            ] {
                progress |= step(self, cx);
                if self.ended {
                    return Poll::Ready(());
                }
            }
            if progress == Progress::Stalled {
                self.release_buffers();
                if self.charge_memory(cx) {
                    return Poll::Pending;
                }
            }
        }
    }

    /// Handles all complete messages in the read buffers, until too many bytes are unsent to the other side.
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
                let ServerAddress {
                    backend, endpoint, ..
                } = server.address;
                let name = self.context.engine.endpoint_name(backend);
                tracing::warn!(
                    server = name,
                    %endpoint,
                    %error,
                    "server violated the PostgreSQL protocol; closing the connection"
                );
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

    /// Ends the session with an `ErrorResponse` to the client.
    fn end_session(&mut self, reason: ErrorReason, detail: Option<&str>) {
        error_response(reason, detail).write(&mut self.to_client);
        self.handle(Event::ClientDisconnected);
    }

    /// Passes an event to the session state machine and executes the resulting actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        for action in actions {
            self.execute(action);
        }
        self.update_registry();
    }

    /// Publishes the session's current activity for the console and the target of cancel requests.
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
                    self.context.engine.response_started(attempt);
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
                // Dropping the request before its outcome notifies the engine that the client has disconnected.
                self.abandon_request();
            }
        }
    }

    fn complete_transaction(&mut self) {
        self.registered.count_transaction();
        self.end_attempt(AttemptEnd {
            response: Some(()),
            ..AttemptEnd::without_response(Outcome::Success)
        });
        self.abandon_request();
    }

    /// Returns the server connection to the pool. The connection is closed instead if a cancel request for it is in
    /// flight or bytes to the server are unsent.
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
        // A cancel request in flight could cancel a statement of the next session on this connection.
        if !self.registered.cancel_handle().is_in_flight() && self.to_server.is_empty() {
            self.context.pool.release(&self.context.engine, connection);
        } else {
            self.context.pool.drop_connection(connection);
        }
        self.to_server.clear();
        self.report_attempt_end(attempt, AttemptEnd::without_response(Outcome::NotSent));
    }

    /// Closes the server connection and reports the attempt as cancelled.
    fn discard_server(&mut self) {
        self.to_server.clear();
        let Some(server) = self.server.take() else {
            return;
        };
        self.context.pool.drop_connection(server.connection);
        let end = AttemptEnd::without_response(Outcome::Cancelled);
        self.report_attempt_end(server.attempt, end);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.abandon_request();
    }
}

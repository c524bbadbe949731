//! The listener for clients: accepts connections, authenticates and admits clients, and runs their sessions.
//!
//! A connection passes through phases, each with its own time limit and its own limit on the number of clients:
//!
//! ```text
//! unauthenticated --> first login at a server --> session
//!                \--> console
//! ```
//!
//! - `startup`: a client's first packets, including the TLS handshake
//! - `admission`: authentication, access rules, limits
//! - `greeting`: the messages from `AuthenticationOk` to the first `ReadyForQuery`

mod admission;
mod greeting;
mod startup;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{AcceptBackoff, ConnectionCounter, LogLimiter, TcpStream, spawn};
use badgerpost_postgres_session::scram::Verifier;
use badgerpost_postgres_session::session::Session;
use tokio::net::TcpListener;
use tokio::sync::watch;

use self::admission::{AdmittedClient, Authenticated, AuthenticatedClient, CancelRequest};
use crate::PostgresEngine;
use crate::authentication::Users;
use crate::cancellation::CancelKeys;
use crate::client::{Client, ClientError};
use crate::client_registry::ClientIdentity;
use crate::config::{Config, ConfigError, Pooling};
use crate::console;
use crate::context::ServerContext;
use crate::pool::Pool;
use crate::relay::{Relay, SessionClass, SessionContext};
use crate::session_memory::SessionMemory;
use crate::stream::Stream;
use crate::tls::{Acceptor, ClientTls};
use crate::unauthenticated_clients::{PendingClient, UnauthenticatedClients};

/// Time limit for a client's authentication, from the accepted connection on.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a node that is shutting down checks whether all sessions have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts and serves PostgreSQL clients.
pub struct PostgresServer {
    context: ServerContext,
    users: Users,
    tls: Option<Acceptor>,
}

impl PostgresServer {
    /// Creates a server whose transactions run on `engine` and `pool`. `users` holds the SCRAM verifiers by user name.
    /// `session_memory` limits the memory that sessions hold for their clients.
    ///
    /// # Errors
    /// [`ConfigError`] if the certificate or key cannot be used, or the operating system returns no random bytes.
    pub fn new(
        config: Config,
        users: BTreeMap<String, Verifier>,
        engine: PostgresEngine,
        pool: Rc<Pool>,
        session_memory: Rc<SessionMemory>,
    ) -> Result<Rc<Self>, ConfigError> {
        let tls = config.tls.as_ref().map(ClientTls::acceptor).transpose()?;
        let users = Users::new(users).map_err(|_| ConfigError::Random)?;
        let unauthenticated = UnauthenticatedClients::new(config.max_unauthenticated_clients);
        let context = ServerContext {
            config,
            engine,
            pool,
            clients: Rc::default(),
            unauthenticated,
            sessions: ConnectionCounter::default(),
            session_memory,
            consoles: ConnectionCounter::default(),
            cancel_keys: CancelKeys::default(),
        };
        Ok(Rc::new(Self {
            context,
            users,
            tls,
        }))
    }

    /// Accepts clients until `stopping` becomes true, then waits until all sessions have ended.
    pub async fn run(self: Rc<Self>, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let context = &self.context;
        let maintenance = spawn(context.pool.clone().maintain(context.engine.clone()));
        tokio::select! {
            biased;
            () = self.accept_clients(&listener, stopping.clone()) => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
        }
        drop(listener);
        while context.sessions.get() > 0 {
            context.clock().sleep(DRAIN_POLL_INTERVAL).await;
        }
        maintenance.abort();
    }

    /// Accepts clients in a loop; never returns.
    async fn accept_clients(
        self: &Rc<Self>,
        listener: &TcpListener,
        stopping: watch::Receiver<bool>,
    ) {
        let clock = self.context.clock();
        let mut log = LogLimiter::new(clock.clone());
        let mut backoff = AcceptBackoff::default();
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    backoff.succeeded();
                    let (server, stopping) = (self.clone(), stopping.clone());
                    let pending = self.context.unauthenticated.admit();
                    spawn(async move {
                        server
                            .handle_connection(stream.into(), address, pending, stopping)
                            .await;
                    });
                }
                Err(error) => {
                    log.log(|suppressed| {
                        tracing::warn!(%error, suppressed, "accepting a PostgreSQL client failed");
                    });
                    backoff.failed(clock).await;
                }
            }
        }
    }

    /// Authenticates a client, then starts its session, serves the console or forwards its cancel request.
    async fn handle_connection(
        self: Rc<Self>,
        stream: TcpStream,
        address: SocketAddr,
        pending: PendingClient,
        stopping: watch::Receiver<bool>,
    ) {
        // Best effort: without TCP_NODELAY, small messages are delayed.
        let _ = stream.set_nodelay(true);
        let client = Client::new(Stream::plain(stream));
        let clock = self.context.clock().clone();
        let authentication = Box::pin(self.authenticate_client(client, &pending));
        let authenticated = tokio::select! {
            biased;
            authenticated = clock.timeout(AUTHENTICATION_TIMEOUT, authentication) => authenticated,
            () = pending.evicted() => return,
        };
        // The following phases have their own time limits, which do not start at the connect.
        let served = match authenticated {
            Ok(Ok(Some(Authenticated::Client(authenticated)))) => {
                drop(pending);
                Box::pin(self.serve_authenticated(authenticated, address, stopping)).await
            }
            Ok(Ok(Some(Authenticated::Cancel(request)))) => {
                // Eviction does not interrupt the cancel request, which has its own time limit.
                self.cancel(request).await;
                drop(pending);
                Ok(())
            }
            Ok(Ok(None)) => Ok(()),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(ClientError::NotAllowed(
                "the client did not authenticate within the time limit",
            )),
        };
        if let Err(error) = served {
            tracing::debug!(%address, %error, "PostgreSQL client rejected; closing its connection");
        }
    }

    /// Forwards a cancel request and keeps the client's connection open until the server has received the request.
    async fn cancel(&self, request: CancelRequest) {
        let CancelRequest {
            client,
            session,
            key,
        } = request;
        let context = &self.context;
        context
            .cancel_keys
            .cancel(session, &key, context.clock())
            .await;
        drop(client);
    }

    /// Serves the console to an authenticated client, or admits the client and starts its session.
    async fn serve_authenticated(
        self: Rc<Self>,
        authenticated: AuthenticatedClient,
        address: SocketAddr,
        stopping: watch::Receiver<bool>,
    ) -> Result<(), ClientError> {
        let AuthenticatedClient { client, startup } = authenticated;
        if self.is_for_console(&startup) {
            return console::serve(&self.context, client, startup.user, stopping).await;
        }
        let admitted = self.admit(client, startup, address).await?;
        // Runs in a separate task, because the admission's task is larger than an idle session needs.
        drop(spawn(self.run_session(admitted, address, stopping)));
        Ok(())
    }

    /// Runs the session of an admitted client until the session ends.
    async fn run_session(
        self: Rc<Self>,
        admitted: AdmittedClient,
        address: SocketAddr,
        stopping: watch::Receiver<bool>,
    ) {
        let AdmittedClient {
            client,
            startup,
            settings,
            parameters,
            target,
            guard,
        } = admitted;
        let context = &self.context;
        let class =
            context
                .config
                .class_of(&startup.user, &startup.database, startup.application());
        let session_context = SessionContext {
            engine: context.engine.clone(),
            pool: context.pool.clone(),
            class: class.map(SessionClass::from).unwrap_or_default(),
            target,
            memory: context.session_memory.open_account(),
            has_session_pooling: context.config.pooling == Pooling::Session,
        };
        let registered = context.clients.register(ClientIdentity {
            application: startup.application().to_owned(),
            user: startup.user,
            database: startup.database,
            address,
            is_tls: client.stream.is_tls(),
        });
        let number = registered.number();
        let cancel_handle = registered.cancel_handle().clone();
        let Ok(cancel_key) = context.cancel_keys.issue(number, cancel_handle) else {
            return;
        };
        let greeting = greeting::encode(parameters, &settings, &registered, cancel_key);
        let session = Session::new(settings);
        Relay::new(session_context, session, client, registered, greeting)
            .run(stopping)
            .await;
        context.cancel_keys.revoke(number);
        drop(guard);
    }
}

//! The clients' side: connections are accepted and bounded, their first packets read, and each that has shown who it is
//! and may come gets a session, or the console.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{ConnectionCounter, ConnectionGuard, LogLimiter, TcpStream, spawn};
use badgerpost_postgres_session::frame::{Frame, FrameDecoder};
use badgerpost_postgres_session::scram::Verifier;
use badgerpost_postgres_session::server_messages::{self, ErrorReason, TransactionStatus};
use badgerpost_postgres_session::session::Session;
use badgerpost_postgres_session::settings::ClientSettings;
use badgerpost_postgres_session::startup::{StartupMessage, StartupPacket, StartupReader};
use bytes::{BufMut, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::PostgresEngine;
use crate::access::{AccessRequest, is_allowed};
use crate::admission::{PendingClient, UnauthenticatedClients};
use crate::cancel::CancelKeys;
use crate::client::{Client, ClientError};
use crate::clients::{ClientIdentity, Clients, RegisteredClient};
use crate::config::{Config, ConfigError, Pooling};
use crate::console;
use crate::identity::Users;
use crate::logins::LoginId;
use crate::pool::Pool;
use crate::relay::{Relay, SessionTerms};
use crate::stream::Stream;
use crate::tls::Acceptor;

/// A client has shown who it is by then, or is let go.
const IDENTIFIED_WITHIN: Duration = Duration::from_secs(5);
/// Wait before the next accept after one failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// The database by whose name the console is reached.
const CONSOLE: &str = "badgerpost";

/// What all sessions share.
pub struct PostgresServer {
    pub(crate) config: Config,
    users: Users,
    pub(crate) fleet: PostgresEngine,
    pub(crate) pool: Rc<Pool>,
    pub(crate) clients: Rc<Clients>,
    pub(crate) unidentified: Rc<UnauthenticatedClients>,
    tls: Option<Acceptor>,
    /// Sessions that stand.
    pub(crate) sessions: ConnectionCounter,
    cancels: CancelKeys,
}

/// A client that may have a session.
struct Admitted {
    client: Client,
    startup: StartupMessage,
    settings: ClientSettings,
    greeting: BTreeMap<String, String>,
    login: LoginId,
    opened: ConnectionGuard,
}

impl PostgresServer {
    /// A front of this fleet.
    pub fn new(
        config: Config,
        users: BTreeMap<String, Verifier>,
        fleet: PostgresEngine,
        pool: Rc<Pool>,
    ) -> Result<Rc<Self>, ConfigError> {
        let tls = config
            .tls
            .as_ref()
            .map(crate::tls::ClientTls::acceptor)
            .transpose()?;
        let users = Users::new(users).map_err(|_| ConfigError::Random)?;
        let unidentified = UnauthenticatedClients::new(config.max_unauthenticated_clients);
        let (clients, sessions, cancels) = (
            Rc::default(),
            ConnectionCounter::default(),
            CancelKeys::default(),
        );
        Ok(Rc::new(Self {
            config,
            users,
            fleet,
            pool,
            clients,
            unidentified,
            tls,
            sessions,
            cancels,
        }))
    }

    /// Serves until `stopping` says so, and then until all transactions under way have ended.
    pub async fn run(self: Rc<Self>, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let clock = self.fleet.clock().clone();
        let mut log = LogLimiter::new(clock.clone());
        let sessions = stopping.clone();
        let maintained = spawn(self.pool.clone().maintain(self.fleet.clone()));
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, from)) => {
                        let (front, stopping_session) = (self.clone(), sessions.clone());
                        let pending = self.unidentified.admit();
                        spawn(async move {
                            front
                                .welcome(stream.into(), from, pending, stopping_session)
                                .await;
                        });
                    }
                    Err(error) => {
                        log.log(|suppressed| {
                            tracing::warn!(%error, suppressed, "accepting a PostgreSQL client failed");
                        });
                        clock.sleep(ACCEPT_AGAIN).await;
                    }
                }
            }
        };
        tokio::select! {
            biased;
            () = accepting => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
        }
        drop(listener);
        while self.sessions.get() > 0 {
            clock.sleep(ACCEPT_AGAIN).await;
        }
        maintained.abort();
    }

    async fn welcome(
        self: Rc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        pending: PendingClient,
        stopping: watch::Receiver<bool>,
    ) {
        let _ = stream.set_nodelay(true);
        let client = Client {
            stream: Stream::plain(stream),
            cutter: FrameDecoder::default(),
        };
        let clock = self.fleet.clock().clone();
        let admitted = tokio::select! {
            biased;
            admitted = clock.timeout(IDENTIFIED_WITHIN, Box::pin(self.admit(client, from, &pending))) => admitted,
            () = pending.evicted() => return,
        };
        drop(pending);
        match admitted {
            // In a task of its own: that of the start-up is larger than an idle session needs.
            Ok(Ok(Some(admitted))) => drop(spawn(self.converse(admitted, from, stopping))),
            Ok(Ok(None)) => {}
            Ok(Err(error)) => tracing::debug!(%from, %error, "PostgreSQL client turned away"),
            Err(_) => {
                tracing::debug!(%from, reason = "no identity in time", "PostgreSQL client turned away");
            }
        }
    }

    /// A client's first packets, its identity, and whether it may come. None where it wanted no session.
    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    async fn admit(
        &self,
        mut client: Client,
        from: SocketAddr,
        pending: &PendingClient,
    ) -> Result<Option<Admitted>, ClientError> {
        let mut startup = StartupReader::default();
        let message = loop {
            let first = match startup.next_packet() {
                Ok(Some(first)) => first,
                Ok(None) => {
                    let mut buffer = vec![0; 1024];
                    let read = client.stream.read(&mut buffer).await?;
                    if read == 0 {
                        return Ok(None);
                    }
                    pending.heard();
                    startup.push(&buffer[..read]);
                    continue;
                }
                Err(error) => {
                    client
                        .send(&[server_messages::error_response(
                            ErrorReason::Protocol,
                            Some(&error.to_string()),
                        )])
                        .await?;
                    return Err(ClientError::Start(error));
                }
            };
            match (first, &self.tls) {
                (StartupPacket::Tls, Some(tls)) if !client.stream.is_tls() => {
                    // Bytes sent ahead in the clear would pass for the client's own.
                    if !startup.take_remaining().is_empty() {
                        client
                            .send(&[server_messages::error_response(
                                ErrorReason::Protocol,
                                Some("data behind SSLRequest"),
                            )])
                            .await?;
                        return Ok(None);
                    }
                    client.write(b"S").await?;
                    let Stream::Plain(socket) = client.stream else {
                        return Ok(None);
                    };
                    let stream = tls.acceptor.accept(socket).await?;
                    client.stream = Stream::Tls(Box::new(stream.into()));
                }
                (StartupPacket::Tls | StartupPacket::Gss, _) => client.write(b"N").await?,
                (StartupPacket::Cancel { process, key }, _) => {
                    self.cancels.cancel(process, &key, &self.pool).await;
                    return Ok(None);
                }
                (StartupPacket::Session(message), _) => break message,
            }
        };
        client.cutter.push(&startup.take_remaining());
        if let Some(body) = &message.negotiate {
            client.send(&[Frame::new(b'v', body.clone())]).await?;
        }
        let encrypted = client.stream.is_tls();
        if self.tls.as_ref().is_some_and(|tls| tls.is_required) && !encrypted {
            return self
                .refuse(
                    client,
                    ErrorReason::NotAllowed,
                    "the node takes clients with TLS only",
                )
                .await;
        }
        let binding = self
            .tls
            .as_ref()
            .filter(|_| encrypted)
            .map(|tls| tls.channel_binding.as_slice());
        match self.users.prove(&mut client, &message.user, binding).await {
            Err(ClientError::Identity(why)) => {
                client
                    .send(&[server_messages::error_response(ErrorReason::Identity, None)])
                    .await?;
                return Err(ClientError::Identity(why));
            }
            Err(other) => return Err(other),
            Ok(()) => pending.heard(),
        }
        if message.database == CONSOLE && self.config.console_users.contains(&message.user) {
            console::serve(self, client, message.user).await?;
            return Ok(None);
        }
        let request = AccessRequest {
            user: &message.user,
            database: &message.database,
            address: from.ip(),
            is_tls: encrypted,
        };
        if !is_allowed(&self.config.access_rules, &request) {
            return self
                .refuse(
                    client,
                    ErrorReason::NotAllowed,
                    "no rule lets this user come to this database",
                )
                .await;
        }
        let Some(login) = self.pool.login_for(&message.user) else {
            return self
                .refuse(
                    client,
                    ErrorReason::NotAllowed,
                    "the node has no login for this user",
                )
                .await;
        };
        if self.sessions.get() >= self.config.max_clients {
            let detail = "all of the node's client connections are in use";
            return self
                .refuse(client, ErrorReason::TooManyClients, detail)
                .await;
        }
        let opened = self.sessions.open();
        let Some(greeting) = self
            .pool
            .greeting(&self.fleet, &message.database, login)
            .await
        else {
            return self
                .refuse(
                    client,
                    ErrorReason::NoServer,
                    "no server of the fleet can be reached",
                )
                .await;
        };
        let settings = match ClientSettings::new(&message.parameters, &greeting) {
            Ok(settings) => settings,
            Err(error) => {
                client
                    .send(&[server_messages::error_response(
                        ErrorReason::Unsupported,
                        Some(&error.to_string()),
                    )])
                    .await?;
                return Err(ClientError::Settings(error));
            }
        };
        Ok(Some(Admitted {
            client,
            startup: message,
            settings,
            greeting,
            login,
            opened,
        }))
    }

    async fn refuse(
        &self,
        mut client: Client,
        reason: ErrorReason,
        why: &'static str,
    ) -> Result<Option<Admitted>, ClientError> {
        client
            .send(&[server_messages::error_response(reason, Some(why))])
            .await?;
        Err(ClientError::NotAllowed(why))
    }

    async fn converse(
        self: Rc<Self>,
        admitted: Admitted,
        from: SocketAddr,
        stopping: watch::Receiver<bool>,
    ) {
        let Admitted {
            client,
            startup,
            settings,
            greeting,
            login,
            opened,
        } = admitted;
        let class = self
            .config
            .class_of(&startup.user, &startup.database, startup.application());
        let (class, worth) = class
            .map(|class| {
                (
                    (class.name.clone(), class.has_idempotent_statements),
                    class.priority_weight,
                )
            })
            .unwrap_or_default();
        let terms = SessionTerms {
            fleet: self.fleet.clone(),
            pool: self.pool.clone(),
            class,
            worth,
            database: startup.database.clone(),
            login,
            session_pooling: self.config.pooling == Pooling::Session,
        };
        let who = ClientIdentity {
            application: startup.application().to_owned(),
            user: startup.user,
            database: startup.database,
            from,
            tls: client.stream.is_tls(),
        };
        let registered = self.clients.register(who);
        let number = registered.number();
        let Ok(key) = self.cancels.issue(number, registered.cancelable().clone()) else {
            return;
        };
        let greeting = greet(greeting, &settings, &registered, key);
        let Client { stream, cutter } = client;
        Relay::new(
            terms,
            Session::new(settings),
            stream,
            cutter,
            registered,
            greeting,
        )
        .run(stopping)
        .await;
        self.cancels.revoke(number);
        drop(opened);
    }
}

/// What follows a login: the servers' settings as they will be for this client, its cancel key, and that it may begin.
fn greet(
    mut parameters: BTreeMap<String, String>,
    settings: &ClientSettings,
    registered: &RegisteredClient,
    key: [u8; 4],
) -> BytesMut {
    parameters.entry("application_name".to_owned()).or_default();
    for (name, value) in &mut parameters {
        if let Some((_, wanted)) = settings
            .iter()
            .find(|(known, _)| name.eq_ignore_ascii_case(known))
        {
            wanted.clone_into(value);
        }
        if name == "session_authorization" {
            registered.user().clone_into(value);
        }
    }
    let mut out = BytesMut::new();
    Frame::new(b'R', &b"\0\0\0\0"[..]).write(&mut out);
    for (name, value) in &parameters {
        Frame::new(b'S', format!("{name}\0{value}\0").into_bytes()).write(&mut out);
    }
    let mut body = BytesMut::new();
    body.put_u32(registered.number());
    body.put_slice(&key);
    Frame::new(b'K', body.freeze()).write(&mut out);
    TransactionStatus::Idle.ready_for_query().write(&mut out);
    out
}

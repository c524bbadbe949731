//! Admission of a client: authentication, access rules, limits, and the settings that it asks for. A client that is not
//! admitted receives an error with the reason.

use std::net::SocketAddr;

use badgerpost_engine::ConnectionGuard;
use badgerpost_postgres_session::server_messages::ErrorReason;
use badgerpost_postgres_session::settings::ClientSettings;
use badgerpost_postgres_session::startup::StartupMessage;
use bytes::Bytes;

use super::PostgresServer;
use super::startup::{StartedClient, StartupRequest, read_startup};
use crate::access::{AccessRequest, is_allowed};
use crate::client::{Client, ClientError};
use crate::login::Parameters;
use crate::logins::LoginId;
use crate::pool::ConnectionTarget;
use crate::unauthenticated_clients::PendingClient;

/// The database by whose name the console is reached.
const CONSOLE_DATABASE: &str = "badgerpost";

/// What a client may do that has shown who it is.
pub(super) enum Authenticated {
    /// Its password was checked.
    Client(AuthenticatedClient),
    /// It cancels the statement of a session.
    Cancel(CancelRequest),
}

/// A client whose password was checked.
pub(super) struct AuthenticatedClient {
    pub(super) client: Client,
    pub(super) startup: StartupMessage,
}

/// A request to cancel the statement of a session. The session's key is its password.
pub(super) struct CancelRequest {
    /// The client's connection, which stays open until the server has taken the request.
    pub(super) client: Client,
    /// The session's number.
    pub(super) session: u32,
    /// The session's secret key.
    pub(super) key: Bytes,
}

/// A client that may have a session.
pub(super) struct AdmittedClient {
    pub(super) client: Client,
    pub(super) startup: StartupMessage,
    pub(super) settings: ClientSettings,
    /// The parameters of the servers.
    pub(super) parameters: Parameters,
    /// Its database, and the login of its transactions at the servers.
    pub(super) target: ConnectionTarget,
    /// Counts the session.
    pub(super) guard: ConnectionGuard,
}

impl PostgresServer {
    /// Authenticates a client. `None` if it has left.
    pub(super) async fn authenticate_client(
        &self,
        client: Client,
        pending: &PendingClient,
    ) -> Result<Option<Authenticated>, ClientError> {
        let started = read_startup(client, self.tls.as_ref(), pending).await?;
        let Some(StartedClient {
            mut client,
            request,
        }) = started
        else {
            return Ok(None);
        };
        let startup = match request {
            StartupRequest::Session(startup) => startup,
            StartupRequest::Cancel { session, key } => {
                let request = CancelRequest {
                    client,
                    session,
                    key,
                };
                return Ok(Some(Authenticated::Cancel(request)));
            }
        };
        self.authenticate(&mut client, &startup.user).await?;
        Ok(Some(Authenticated::Client(AuthenticatedClient {
            client,
            startup,
        })))
    }

    /// Admits an authenticated client to a session. It may wait for a first login at a server, whose time limit is the
    /// pool's.
    pub(super) async fn admit(
        &self,
        mut client: Client,
        startup: StartupMessage,
        address: SocketAddr,
    ) -> Result<AdmittedClient, ClientError> {
        let login = self.authorize(&mut client, &startup, address).await?;
        let guard = self.take_session_slot(&mut client).await?;
        let target = ConnectionTarget {
            database: startup.database.clone(),
            login,
        };
        let parameters = self.server_parameters(&mut client, &target).await?;
        let settings = match ClientSettings::new(&startup.parameters, &parameters) {
            Ok(settings) => settings,
            Err(error) => {
                let detail = error.to_string();
                return Err(client
                    .reject(ErrorReason::Unsupported, Some(&detail), error)
                    .await);
            }
        };
        Ok(AdmittedClient {
            client,
            startup,
            settings,
            parameters,
            target,
            guard,
        })
    }

    /// Checks the client's password, and that it has TLS where that is required.
    async fn authenticate(&self, client: &mut Client, user: &str) -> Result<(), ClientError> {
        let is_tls = client.stream.is_tls();
        if self.tls.as_ref().is_some_and(|tls| tls.is_required) && !is_tls {
            let detail = "the node takes clients with TLS only";
            return Err(reject(client, ErrorReason::NotAuthorized, detail).await);
        }
        let channel_binding = self
            .tls
            .as_ref()
            .filter(|_| is_tls)
            .map(|tls| tls.channel_binding.as_slice());
        match self.users.authenticate(client, user, channel_binding).await {
            Err(ClientError::Authentication(error)) => Err(client
                .reject(ErrorReason::AuthenticationFailed, None, error)
                .await),
            result => result,
        }
    }

    /// Whether the client asks for the operators' console and may use it.
    pub(super) fn is_for_console(&self, startup: &StartupMessage) -> bool {
        startup.database == CONSOLE_DATABASE
            && self.context.config.console_users.contains(&startup.user)
    }

    /// Checks the access rules, and finds the login that the client's transactions use.
    async fn authorize(
        &self,
        client: &mut Client,
        startup: &StartupMessage,
        address: SocketAddr,
    ) -> Result<LoginId, ClientError> {
        let request = AccessRequest {
            user: &startup.user,
            database: &startup.database,
            address: address.ip(),
            is_tls: client.stream.is_tls(),
        };
        if !is_allowed(&self.context.config.access_rules, &request) {
            let detail = "no rule lets this user come to this database";
            return Err(reject(client, ErrorReason::NotAuthorized, detail).await);
        }
        match self.context.pool.login_for(&startup.user) {
            Some(login) => Ok(login),
            None => {
                let detail = "the node has no login for this user";
                Err(reject(client, ErrorReason::NotAuthorized, detail).await)
            }
        }
    }

    /// Counts the session, if the limit allows one more.
    async fn take_session_slot(&self, client: &mut Client) -> Result<ConnectionGuard, ClientError> {
        if self.context.sessions.get() >= self.context.config.max_clients {
            let detail = "all of the node's client connections are in use";
            return Err(reject(client, ErrorReason::TooManyClients, detail).await);
        }
        Ok(self.context.sessions.open())
    }

    async fn server_parameters(
        &self,
        client: &mut Client,
        target: &ConnectionTarget,
    ) -> Result<Parameters, ClientError> {
        let context = &self.context;
        let parameters = context.pool.server_parameters(&context.fleet, target).await;
        match parameters {
            Some(parameters) => Ok(parameters),
            None => {
                let detail = "no server of the fleet can be reached";
                Err(reject(client, ErrorReason::NoServer, detail).await)
            }
        }
    }
}

/// Sends a client the reason why it gets no session.
async fn reject(client: &mut Client, reason: ErrorReason, detail: &'static str) -> ClientError {
    client
        .reject(reason, Some(detail), ClientError::NotAllowed(detail))
        .await
}

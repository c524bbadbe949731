//! Admission of clients: authentication, access rules, the limit on sessions, and the requested settings. A client that
//! is not admitted receives an `ErrorResponse` with the reason.

use std::net::SocketAddr;

use badgerpost_engine::ConnectionGuard;
use badgerpost_postgres_session::frame::MAX_FRAME_LENGTH;
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

/// Name of the virtual database that serves the console.
const CONSOLE_DATABASE: &str = "badgerpost";

/// Result of the authentication phase.
pub(super) enum Authenticated {
    /// The client has proven its password.
    Client(AuthenticatedClient),
    /// The client requests to cancel the running statement of a session.
    Cancel(CancelRequest),
}

/// A client that has proven its password.
pub(super) struct AuthenticatedClient {
    pub(super) client: Client,
    pub(super) startup: StartupMessage,
}

/// A request to cancel the running statement of a session, authorized by the session's secret key.
pub(super) struct CancelRequest {
    /// The client's connection, which stays open until the server has received the request.
    pub(super) client: Client,
    /// Number of the session, sent to clients as the process ID.
    pub(super) session: u32,
    /// The secret key that the requesting client sent; not checked yet.
    pub(super) key: Bytes,
}

/// A client that was admitted to a session.
pub(super) struct AdmittedClient {
    pub(super) client: Client,
    pub(super) startup: StartupMessage,
    pub(super) settings: ClientSettings,
    /// The parameters to report to the client.
    pub(super) parameters: Parameters,
    /// The client's database, and the login with which its transactions run on the servers.
    pub(super) target: ConnectionTarget,
    /// Counts the session until dropped.
    pub(super) guard: ConnectionGuard,
}

impl PostgresServer {
    /// Authenticates a client. `None` if the connection ended before the authentication.
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
        self.authenticate(&mut client, &startup.user, pending)
            .await?;
        client.decoder.set_max_length(MAX_FRAME_LENGTH);
        Ok(Some(Authenticated::Client(AuthenticatedClient {
            client,
            startup,
        })))
    }

    /// Admits an authenticated client to a session. May wait for the first login at a server, limited by the pool's
    /// connect timeout.
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

    /// Checks that the client uses TLS where required, and authenticates the client.
    async fn authenticate(
        &self,
        client: &mut Client,
        user: &str,
        pending: &PendingClient,
    ) -> Result<(), ClientError> {
        let is_tls = client.stream.is_tls();
        if self.tls.as_ref().is_some_and(|tls| tls.is_required) && !is_tls {
            let detail = "the node accepts TLS connections only";
            return Err(reject(client, ErrorReason::NotAuthorized, detail).await);
        }
        let channel_binding = self
            .tls
            .as_ref()
            .filter(|_| is_tls)
            .map(|tls| tls.channel_binding.as_slice());
        let authentication = self
            .users
            .authenticate(client, user, channel_binding, pending);
        match authentication.await {
            Err(error @ (ClientError::Authentication(_) | ClientError::Frame(_))) => Err(client
                .reject(ErrorReason::AuthenticationFailed, None, error)
                .await),
            result => result,
        }
    }

    /// Whether the client requests the console's database and its user may use the console.
    pub(super) fn is_for_console(&self, startup: &StartupMessage) -> bool {
        startup.database == CONSOLE_DATABASE
            && self.context.config.console_users.contains(&startup.user)
    }

    /// Checks the access rules and returns the login for the client's transactions.
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
            let detail =
                "no access rule allows this user to connect to this database from this address";
            return Err(reject(client, ErrorReason::NotAuthorized, detail).await);
        }
        match self.context.pool.login_for(&startup.user) {
            Some(login) => Ok(login),
            None => {
                let detail = "no login at the servers is configured for this user";
                Err(reject(client, ErrorReason::NotAuthorized, detail).await)
            }
        }
    }

    /// Counts a new session, or rejects the client if the limit on sessions is reached.
    async fn take_session_slot(&self, client: &mut Client) -> Result<ConnectionGuard, ClientError> {
        if self.context.sessions.get() >= self.context.config.max_clients {
            let detail = "the node's limit on client connections is reached";
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
        let parameters = context
            .pool
            .server_parameters(&context.engine, target)
            .await;
        match parameters {
            Some(parameters) => Ok(parameters),
            None => {
                let detail = "the node could not log in to any server";
                Err(reject(client, ErrorReason::NoServer, detail).await)
            }
        }
    }
}

/// Sends the client an `ErrorResponse` with the reason for the rejection.
async fn reject(client: &mut Client, reason: ErrorReason, detail: &'static str) -> ClientError {
    client
        .reject(reason, Some(detail), ClientError::NotAllowed(detail))
        .await
}

//! Events that a session handles and actions that it asks for.

use bytes::Bytes;

use crate::frame::DecodeResult;
use crate::prepared_statements::ServerStatements;
use crate::settings::ServerSettings;

/// What is known of a server connection, whichever session uses it.
#[derive(Debug, Default)]
pub struct ServerState {
    /// The statements that are prepared on it.
    pub prepared: ServerStatements,
    /// The values of its settings.
    pub settings: ServerSettings,
}

/// What happens to a session.
#[derive(Debug)]
pub enum Event {
    /// The client sent a message or a part of one.
    Client(DecodeResult),
    /// The session gets a server connection, which is in this state.
    Attached(ServerState),
    /// The server sent a message or a part of one.
    Server(DecodeResult),
    /// The server connection is lost, or its attempt was cancelled or has timed out.
    ServerLost,
    /// The request for a server is rejected for lack of capacity.
    Rejected {
        /// How long the client should wait before it retries, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request for a server has failed.
    RequestFailed,
    /// The client has disconnected.
    ClientDisconnected,
}

/// What a session asks its owner to do.
#[derive(Debug)]
pub enum Action {
    /// Get a server connection for a transaction.
    RequestServer {
        /// The transaction is one statement outside any transaction block, or this is the first statement of a
        /// read-only one: it may be sent again after a loss where its request class allows.
        single_statement: bool,
    },
    /// Send these bytes to the server.
    ToServer(Bytes),
    /// Send these bytes to the client.
    ToClient(Bytes),
    /// A part of the response goes to the client now: the transaction can't be retried any more.
    ResponseStarted,
    /// The transaction is over and its response complete.
    TransactionDone,
    /// What the server connection was requested for can't be retried.
    NotRetryable,
    /// The server connection is free for other sessions, in this state.
    Release(ServerState),
    /// The server connection must be closed.
    DiscardServer,
    /// The session has ended; close the client's connection once all is written.
    End,
}

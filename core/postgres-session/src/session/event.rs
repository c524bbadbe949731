//! Events that a session handles and actions that it requests.

use bytes::Bytes;

use crate::frame::DecodeResult;
use crate::prepared_statements::ServerStatements;
use crate::settings::ServerSettings;

/// State of a server connection that is kept when the connection moves to another session.
#[derive(Debug, Default)]
pub struct ServerState {
    /// Statements prepared on the connection.
    pub prepared: ServerStatements,
    /// Known values of the connection's settings.
    pub settings: ServerSettings,
}

/// Input of [`Session::handle`](super::Session::handle).
#[derive(Debug)]
pub enum Event {
    /// The client sent a message or a chunk of one.
    Client(DecodeResult),
    /// The requested server connection is available and has this state.
    Attached(ServerState),
    /// The server sent a message or a chunk of one.
    Server(DecodeResult),
    /// The server connection is lost, or the attempt that uses it was cancelled or timed out.
    ServerLost,
    /// The request for a server was rejected for lack of capacity.
    Rejected {
        /// How long the client should wait before it retries, in milliseconds; 0 if it can retry at once.
        retry_after_ms: u64,
    },
    /// The request for a server failed.
    RequestFailed,
    /// The client disconnected.
    ClientDisconnected,
}

/// Output of [`Session::handle`](super::Session::handle), to be performed by the caller.
#[derive(Debug)]
pub enum Action {
    /// Request a server connection for a transaction.
    RequestServer {
        /// The request is one statement outside a transaction block, or the first statement of a read-only transaction.
        /// The statement may be sent again after a lost connection if the request class allows retries.
        single_statement: bool,
    },
    /// Send these bytes to the server.
    ToServer(Bytes),
    /// Send these bytes to the client.
    ToClient(Bytes),
    /// The first part of the response is about to be sent to the client; the transaction can no longer be retried.
    ResponseStarted,
    /// The transaction has ended and its response is complete.
    TransactionDone,
    /// The attached replacement connection is not used, because the transaction cannot be retried.
    NotRetryable,
    /// Return the server connection, which has this state, to the pool.
    Release(ServerState),
    /// Close the server connection.
    DiscardServer,
    /// The session has ended: close the client's connection after all pending bytes are written.
    End,
}

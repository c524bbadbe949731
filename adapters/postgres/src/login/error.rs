//! Errors of connecting and logging in to a server.

use std::io;

use badgerpost_postgres_session::frame::FrameError;

/// Why no connection to a server could be acquired.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The operating system or the TLS library returned an error.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The server did not complete the login within the connect timeout.
    #[error("the server did not complete the login in time")]
    TimedOut,
    /// No connection is expected to be released before the deadline, or the queue is full.
    #[error(
        "no capacity: all of the node's connections to the server are in use, and the wait would exceed the deadline"
    )]
    PoolExhausted,
    /// No connection was released before the deadline.
    #[error(
        "no capacity: none of the node's connections to the server was released before the deadline"
    )]
    WaitTimedOut,
    /// The server accepts no connections now. Contains the message of the server's `ErrorResponse`.
    #[error("no capacity: the server accepts no connections now: {0}")]
    ServerFull(String),
    /// The server rejected the login.
    #[error("the server rejected the login: {code} {message}")]
    Rejected {
        /// SQLSTATE of the server's `ErrorResponse`.
        code: String,
        /// Message of the server's `ErrorResponse`.
        message: String,
    },
    /// The address is not a loopback address, and the node runs on a virtual clock.
    #[error("not connecting to the server: a rehearsal connects to loopback addresses only")]
    NotLoopback,
    /// `server_tls` is configured, and the server refused the `SSLRequest`.
    #[error("the server does not support TLS, which server_tls requires")]
    NoTls,
    /// The server asks for an authentication method that is not supported.
    #[error("the server requested {0}; only SCRAM-SHA-256 is supported")]
    UnsupportedAuthentication(&'static str),
    /// The server requests a password, and none is configured for the login.
    #[error("the server requested a password, but the configured login has no password_file")]
    NoPassword,
    /// The server violated the protocol.
    #[error("the server violated the PostgreSQL protocol: {0}")]
    Protocol(#[from] ProtocolViolation),
}

impl ConnectError {
    /// Whether the cause is a temporary lack of capacity, at the server or in the pool.
    pub fn is_capacity(&self) -> bool {
        matches!(
            self,
            Self::PoolExhausted | Self::WaitTimedOut | Self::ServerFull(_)
        )
    }
}

/// A server's violation of the protocol during login.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The received bytes are not a valid message.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// The server sent a chunked message, such as a row, before `ReadyForQuery`.
    #[error("data row before ReadyForQuery")]
    UnexpectedRow,
    /// The server sent a message of a type that is not allowed during login. Contains the type byte.
    #[error("message of type {0:?} before ReadyForQuery")]
    UnexpectedMessage(char),
    /// The server closed the connection during login.
    #[error("connection closed during login")]
    Closed,
    /// The authentication request is shorter than its code.
    #[error("authentication request shorter than 4 bytes")]
    ShortAuthenticationRequest,
    /// The server completed the login in the middle of a SCRAM exchange, without proving knowledge of the password.
    #[error("AuthenticationOk before the server's SCRAM signature")]
    NoServerSignature,
}

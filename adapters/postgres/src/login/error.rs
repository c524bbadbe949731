//! Why there is no connection to a server.

use std::io;

use badgerpost_postgres_session::frame::FrameError;

/// Why there is no connection to a server.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket failed.
    #[error("{0}")]
    Socket(#[from] io::Error),
    /// The server did not complete the login in time.
    #[error("no answer in time")]
    TimedOut,
    /// No connection of the pool will come free in time.
    #[error("no capacity: all of the node's connections to it are in use")]
    PoolExhausted,
    /// No connection of the pool has come free in time.
    #[error("no capacity: none of its connections came free in time")]
    WaitTimedOut,
    /// The server accepts no connections now; its own message.
    #[error("no capacity: {0}")]
    ServerFull(String),
    /// The server rejected the login.
    #[error("login rejected: {code} {message}")]
    Rejected {
        /// SQLSTATE of the error.
        code: String,
        /// Its message.
        message: String,
    },
    /// The address is not of this machine, and the clock is under a test's control.
    #[error("a rehearsal reaches loopback addresses only")]
    NotLoopback,
    /// TLS is required, and the server does not offer it.
    #[error("server_tls is set, and it does not speak TLS")]
    NoTls,
    /// The server asks for an authentication method that is not supported.
    #[error("it wants {0}; only SCRAM-SHA-256 is spoken")]
    UnsupportedAuthentication(&'static str),
    /// The server asks for a password, and there is none.
    #[error("it wants a password, and the login has no password_file")]
    NoPassword,
    /// The server does not follow the protocol.
    #[error("not the PostgreSQL protocol: {0}")]
    Protocol(#[from] ProtocolViolation),
}

impl ConnectError {
    /// Whether the cause is a lack of capacity: there or in the pool, a connection may be had later.
    pub fn is_capacity(&self) -> bool {
        matches!(
            self,
            Self::PoolExhausted | Self::WaitTimedOut | Self::ServerFull(_)
        )
    }
}

/// What a server did against the protocol during a login.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// Bytes that are no messages.
    #[error("{0}")]
    Frame(#[from] FrameError),
    /// Rows before the login is complete.
    #[error("a row before it is ready")]
    UnexpectedRow,
    /// Another message that has no place in a login.
    #[error("message {0:?} before it is ready")]
    UnexpectedMessage(char),
    /// The connection ended during the login.
    #[error("it closed the connection")]
    Closed,
    /// An authentication request without its code.
    #[error("a short authentication request")]
    ShortAuthenticationRequest,
    /// The login succeeded in the middle of a SCRAM exchange: the server has not shown that it knows the password.
    #[error("logged in without the server's own proof")]
    NoServerSignature,
}

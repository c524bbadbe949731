//! A pooled server connection and its pool key.

use std::net::SocketAddr;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{BackendAddress, IdleCheck, Incarnation};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::ServerState;

use super::server_slots::ConnectionSlot;
use crate::login::BackendKey;
use crate::logins::LoginId;
use crate::stream::Stream;

/// A server, the address at which it listens, and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerAddress {
    /// The balancer's ID of the server; unchanged when the server restarts.
    pub backend: BackendId,
    /// The server's IP address and port.
    pub endpoint: SocketAddr,
    /// The server's process: a restarted server can have the same address.
    pub incarnation: Incarnation,
}

impl From<ServerAddress> for BackendAddress {
    fn from(server: ServerAddress) -> Self {
        Self {
            backend: server.backend,
            address: server.endpoint,
            incarnation: server.incarnation,
        }
    }
}

impl From<BackendAddress> for ServerAddress {
    fn from(server: BackendAddress) -> Self {
        Self {
            backend: server.backend,
            endpoint: server.address,
            incarnation: server.incarnation,
        }
    }
}

/// The database and the login of a server connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionTarget {
    /// The database, as the client named it in its startup message.
    pub database: String,
    /// The login with which the node authenticates at the server.
    pub login: LoginId,
}

/// The key of pooled connections. Connections with the same key are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// The server and its address.
    pub address: ServerAddress,
    /// The database and the login at the server.
    pub target: ConnectionTarget,
}

/// An authenticated connection to a server.
pub struct ServerConnection {
    /// The connection's byte stream, unencrypted or TLS.
    pub stream: Stream,
    /// Buffers received bytes and decodes them into messages.
    pub decoder: FrameDecoder,
    /// Prepared statements and settings that exist on the connection.
    pub state: ServerState,
    /// The process ID and secret key from `BackendKeyData`, used for cancel requests.
    pub cancel_key: BackendKey,
    pub(super) key: PoolKey,
    pub(super) expires_at: Nanos,
    /// The pool's generation at the time the connection was opened; see [`super::Pool::reconnect`].
    pub(super) generation: u64,
    pub(super) leased_at: Nanos,
    pub(super) slot: ConnectionSlot,
}

impl ServerConnection {
    /// Whether the connection belongs to the pool's current generation and has not expired.
    pub(super) fn is_current(&self, generation: u64, now: Nanos) -> bool {
        self.generation == generation && now < self.expires_at
    }
}

impl IdleCheck for ServerConnection {
    fn is_idle(&mut self) -> bool {
        // A connection that the server has closed, or on which it has sent unsolicited data, must not be reused.
        self.decoder.buffered_len() == 0 && self.stream.is_open_without_pending_input()
    }
}

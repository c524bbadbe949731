//! A connection to a server while it belongs to the pool, and the key under which it is pooled.

use std::net::SocketAddr;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{BackendAddress, IdleCheck};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::ServerState;

use super::server_slots::ConnectionSlot;
use crate::login::BackendKey;
use crate::logins::LoginId;
use crate::stream::Stream;

/// A server, and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerAddress {
    /// The server.
    pub backend: BackendId,
    /// Its address.
    pub endpoint: SocketAddr,
}

impl From<BackendAddress> for ServerAddress {
    fn from(server: BackendAddress) -> Self {
        Self {
            backend: server.backend,
            endpoint: server.address,
        }
    }
}

/// What a connection is logged in to at its server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionTarget {
    /// The database.
    pub database: String,
    /// The login.
    pub login: LoginId,
}

/// What makes connections interchangeable: the server, the database and the login.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// The server.
    pub address: ServerAddress,
    /// The database and the login.
    pub target: ConnectionTarget,
}

/// A connection to a server, logged in and in no transaction.
pub struct ServerConnection {
    /// The bytes in both directions.
    pub stream: Stream,
    /// Bytes that were received and not handled yet.
    pub decoder: FrameDecoder,
    /// Prepared statements and settings of the connection.
    pub state: ServerState,
    /// The key that a cancel request for this connection needs.
    pub cancel_key: BackendKey,
    pub(super) key: PoolKey,
    pub(super) expires_at: Nanos,
    /// The pool's generation in which it was opened; see [`super::Pool::reconnect`].
    pub(super) generation: u64,
    pub(super) leased_at: Nanos,
    pub(super) slot: ConnectionSlot,
}

impl ServerConnection {
    /// Whether it is of the pool's current generation and has not reached the end of its lifetime.
    pub(super) fn is_current(&self, generation: u64, now: Nanos) -> bool {
        self.generation == generation && now < self.expires_at
    }
}

impl IdleCheck for ServerConnection {
    fn is_idle(&mut self) -> bool {
        // A connection that was closed meanwhile, or on which something unasked has come, can't be used.
        self.decoder.buffered_len() == 0 && self.stream.is_open_and_silent()
    }
}

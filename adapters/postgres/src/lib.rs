//! The PostgreSQL front: clients ([`server`]) and servers ([`upstream`]) on sockets. The unit that the decision
//! module sees is one transaction, or one statement outside any. What a session says and is told is decided in
//! `badgerpost-postgres-session`, which server a transaction goes to by the engine's module; nothing is decided here.

pub mod access;
mod admission;
mod cancel;
mod client;
mod clients;
pub mod config;
mod config_error;
mod console;
mod identity;
mod lease_slot;
mod login;
pub mod logins;
pub mod pool;
mod relay;
pub mod server;
mod stream;
pub mod tls;
pub mod upstream;

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{AttemptId, Engine, Protocol};
use tokio::sync::oneshot;

pub use client::ClientError;
pub use lease_slot::LeaseSlot;

/// The front's types.
pub struct Postgres;

impl Protocol for Postgres {
    type Request = LeaseRequest;
    type Response = ();
}

/// The engine of a PostgreSQL fleet.
pub type PostgresEngine = Engine<Postgres>;

/// A transaction that asks for the lease of a server connection.
pub struct LeaseRequest {
    /// The database to be connected to.
    pub database: String,
    /// The login.
    pub login: logins::LoginId,
    /// Those of a lower one go first where connections are short.
    pub rank: u64,
    /// The transaction's number in its session, from 1.
    pub transaction: u64,
    /// Where the lease goes.
    pub slot: Rc<LeaseSlot>,
}

/// A server connection leased to a transaction, until the attempt ends.
pub struct ServerLease {
    /// The attempt.
    pub ticket: AttemptId,
    /// The server.
    pub backend: BackendId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The connection.
    pub link: pool::ServerConnection,
    /// When the attempt is given up.
    pub give_up: Nanos,
    /// Resolves once it has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

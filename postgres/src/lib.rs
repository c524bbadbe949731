#![forbid(unsafe_code)]
#![warn(missing_docs)]
//! The PostgreSQL front: clients ([`server`]) and servers ([`upstream`]) on sockets. The unit that the decision
//! module sees is one transaction, or one statement outside any. What a session says and is told is decided in
//! `badgerpost-pgsession`, which server a transaction goes to by the engine's module; nothing is decided here.

pub mod config;
pub mod server;
pub mod upstream;

use std::net::SocketAddr;

use badgerpost_engine::{Engine, Front, Ticket};
use brookfield::{BackendId, Nanos};
use tokio::sync::{mpsc, oneshot};

/// The front's types.
pub struct Postgres;

impl Front for Postgres {
    type Call = Wish;
    type Answer = ();
}

/// The engine of a PostgreSQL fleet.
pub type Fleet = Engine<Postgres>;

/// A transaction that wants a server connection.
pub struct Wish {
    /// The database to be connected to.
    pub database: String,
    /// Where the connection goes.
    pub grant: mpsc::Sender<Grant>,
}

/// A server connection for a transaction.
pub struct Grant {
    /// The attempt.
    pub ticket: Ticket,
    /// The server.
    pub backend: BackendId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The connection.
    pub link: upstream::Link,
    /// When the attempt is given up.
    pub give_up: Nanos,
    /// Resolves once it has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

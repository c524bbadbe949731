//! The PostgreSQL adapter: clients ([`server`]) and servers ([`upstream`]) on sockets. The unit that the balancer sees
//! is one transaction, or one statement outside any. `badgerpost-postgres-session` decides what a session sends and
//! receives, the engine and its balancer which server a transaction goes to; nothing is decided here.

pub mod access;
mod authentication;
mod cancellation;
mod client;
mod client_registry;
pub mod config;
mod config_error;
mod console;
mod context;
pub mod lease;
mod login;
pub mod logins;
pub mod pool;
mod relay;
pub mod server;
mod stream;
pub mod tls;
mod unauthenticated_clients;
pub mod upstream;

use badgerpost_engine::{Engine, Protocol};

pub use client::ClientError;
pub use login::{BackendKey, ConnectError};

/// The adapter's types of request and response.
pub struct Postgres;

impl Protocol for Postgres {
    type Request = lease::LeaseRequest;
    type Response = ();
}

/// The engine of a PostgreSQL fleet.
pub type PostgresEngine = Engine<Postgres>;

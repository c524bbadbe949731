//! The PostgreSQL adapter: a connection pooler that accepts clients ([`server`]) and connects to servers
//! ([`upstream`]). The unit of load balancing is a transaction, or a single statement outside a transaction block.
//!
//! The crate `badgerpost-postgres-session` implements the protocol state machine of a session. The engine and its
//! balancer choose the server of each transaction. This crate does the input and output.

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
pub mod session_memory;
mod stream;
pub mod tls;
mod unauthenticated_clients;
pub mod upstream;

use badgerpost_engine::{Engine, Protocol};

pub use client::ClientError;
pub use login::{BackendKey, ConnectError};

/// The adapter's types of request and response for the engine.
pub struct Postgres;

impl Protocol for Postgres {
    type Request = lease::LeaseRequest;
    type Response = ();
}

/// The engine that balances transactions over PostgreSQL servers.
pub type PostgresEngine = Engine<Postgres>;

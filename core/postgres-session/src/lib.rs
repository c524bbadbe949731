//! PostgreSQL sessions through a pooling proxy, as state machines without I/O.
//!
//! - [`frame`], [`message_tags`]: messages of the wire protocol
//! - [`startup`], [`scram`]: a client's first packets and its authentication
//! - [`session`]: which messages go where, what may be retried, what the client gets after a loss
//! - [`extended_query`], [`prepared_statements`], [`settings`]: state that follows a client from server to server
//! - [`sql_analysis`], [`sticky`]: what a statement does to its transaction and its session
//! - [`server_messages`]: responses that the proxy writes itself
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", versions 3.0 and 3.2. Lengths are in bytes and
//! include themselves, as on the wire. Nothing here does I/O, asks for the time or for random numbers.

pub mod extended_query;
pub mod frame;
pub mod message_tags;
pub mod prepared_statements;
pub mod scram;
pub mod server_messages;
pub mod session;
pub mod settings;
pub mod sql_analysis;
mod sql_statement;
pub mod startup;
pub mod sticky;

//! PostgreSQL sessions through a pooling proxy, as state machines without I/O.
//!
//! - [`frame`], [`message_tags`]: messages of the wire protocol
//! - [`startup`], [`scram`]: a client's first packets and authentication
//! - [`session`]: message forwarding, retries, and errors after a lost server connection
//! - [`extended_query`], [`prepared_statements`], [`settings`]: client state that is restored on each server connection
//! - [`sql_analysis`], [`sticky`]: effects of a statement on its transaction and session
//! - [`server_messages`]: server messages that the proxy reads, changes or creates
//!
//! Reference: PostgreSQL documentation, chapter "Frontend/Backend Protocol", versions 3.0 and 3.2. Lengths on the wire
//! are in bytes and include the length field. The crate does no I/O and uses neither clocks nor random numbers.

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

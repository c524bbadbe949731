//! PostgreSQL sessions through a pooling node, as pure state machines: the wire's frames ([`frame`]), a client's
//! first packets ([`startup`]) and its proof of identity ([`scram`]), what pins a session to its server ([`pins`]),
//! prepared statements
//! ([`statements`]) and settings ([`settings`]) that follow it from one to another, and the session itself ([`session`]):
//! what goes where, what may be sent again, what the client is told ([`answer`]).
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", versions 3.0 and 3.2. Lengths are in
//! bytes, and count themselves as they do on the wire. Nothing here does I/O, knows the time or draws lots.

pub mod frame;
pub mod prepared_statements;
pub mod scram;
pub mod server_messages;
pub mod session;
pub mod settings;
pub mod sql_analysis;
pub mod startup;

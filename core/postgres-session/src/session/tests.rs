//! Tests of a session between a client and fake servers: what is sent, answered, retried and rejected.

mod copy;
mod properties;
mod server_loss;
mod support;
mod transactions;

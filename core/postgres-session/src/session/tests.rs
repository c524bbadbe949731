//! Tests of a session between a client and fake servers.

mod chained_transactions;
mod copy;
mod large_batches;
mod lost_transaction;
mod properties;
mod server_loss;
mod support;
mod transactions;

//! Scripted peers of a node for tests: backends, a discovery service and clients on loopback sockets, with a thread for
//! each connection. Also starts the node as a process. The functions panic if a test has failed.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    reason = "test helpers, used by tests only"
)]

mod backend;
mod client;
mod configuration;
mod discovery;
mod latch;
mod load;
mod message;
mod node;
mod wait;

pub use backend::{Backend, ResponsePlan, TimedPart, ok, status};
pub use client::{Client, console_request, get, metric, post};
pub use configuration::{config, settings, target};
pub use discovery::Discovery;
pub use latch::Latch;
pub use load::{Load, LoadResult, RequestText};
pub use message::{Message, read_message, skip_head};
pub use node::{Node, NodeProcess, spawn, spawn_with_file};
pub use wait::{TEST_TIMEOUT, wait_until};

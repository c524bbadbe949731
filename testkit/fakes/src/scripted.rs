//! Peers for tests, scripted by hand on loopback sockets with a thread each: a node as a process, backends,
//! discovery and clients. They panic where a test has failed, and are of use in tests only.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    reason = "test helpers, used by tests only"
)]

mod backend;
mod client;
mod configuration;
mod discovery;
mod load;
mod message;
mod node;
mod wait;

pub use backend::{Backend, Does, Gate, ok, status};
pub use client::{Client, call, figure, get, post};
pub use configuration::{config, settings, target};
pub use discovery::Discovery;
pub use load::{Load, LoadResult, RequestText};
pub use message::{Message, read_message};
pub use node::{Node, spawn, spawn_in, spawn_with};
pub use wait::{PATIENCE, until};

//! The HTTP/1.1 front: clients ([`server`]), backends ([`upstream`]) and the platform's list of servers
//! ([`discovery`]) on sockets. What is sent where, again or not at all, the engine's module decides.

mod answer;
mod client_connection;
mod connection_ages;
mod connection_limiter;
pub mod discovery;
pub mod endpoint_list;
mod forwarded_body;
mod headers;
pub mod memory_budget;
mod observed_stream;
mod poll_schedule;
mod request_queue;
pub mod server;
mod upload;
pub mod upstream;

use badgerpost_engine::{Engine, Protocol};
use hyper::{HeaderMap, Method, Uri};

/// A body up to here is held whole, so that it can be sent again, and an answer cut short can be repeated; a larger one
/// is passed on as it comes.
pub const MAX_BODY: usize = 64 * 1024;

/// A client's request in the form in which it is passed on.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// The headers that go on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    body: upload::RequestBody,
    /// How long its client waits from its last byte on, in milliseconds.
    pub budget_ms: u64,
}

/// The front's types.
pub struct Http;

impl Protocol for Http {
    type Request = ForwardedRequest;
    type Response = answer::BackendResponse;
}

/// The engine of an HTTP fleet.
pub type HttpEngine = Engine<Http>;

//! The HTTP/1.1 adapter: serves clients ([`server`]), sends attempts to backends ([`upstream`]) and follows the
//! platform's endpoint list ([`discovery`]). The engine selects the backend of each request and decides on retries.
//!
//! A client's request passes through `server`, `connection_limiter`, `client_connection`, `routes`, `api` and from
//! there to the engine, which calls `upstream` for each attempt.

mod api;
mod api_request;
mod backend_response;
mod backend_stall;
mod bad_request;
mod client_connection;
mod client_response;
mod close_recorder;
mod connection_limiter;
mod connection_state;
pub mod discovery;
mod early_response;
pub mod endpoint_list;
mod forwarded_body;
mod headers;
pub mod memory_budget;
mod observed_stream;
mod poll_schedule;
mod request_body;
mod request_queue;
mod routes;
mod send_time;
pub mod server;
mod server_context;
mod timeouts;
mod tracked_connection;
mod upload;
pub mod upstream;

use badgerpost_engine::{Engine, Protocol};
use hyper::{HeaderMap, Method, Uri};

/// Largest body in bytes that is buffered as a whole. A request with a buffered body can be retried, and a truncated
/// response that was still being buffered can be replaced by the response to another attempt. Larger bodies are
/// streamed.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Largest number of bytes that a buffer for a body takes: a larger body is recognised once another chunk has been read.
pub(crate) const MAX_BUFFER_BYTES: usize = MAX_BUFFERED_BODY_BYTES + 8 * 1024;

/// A client's request in the form in which it is forwarded to backends.
pub struct ForwardedRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// End-to-end headers only.
    pub(crate) headers: HeaderMap,
    body: upload::RequestBody,
    /// How long the client waits, in milliseconds from the last byte of the request.
    pub(crate) budget_ms: u64,
}

/// The [`Protocol`] of the engine: HTTP requests and responses.
pub struct Http;

impl Protocol for Http {
    type Request = ForwardedRequest;
    type Response = backend_response::BackendResponse;
}

/// An engine that balances HTTP requests.
pub type HttpEngine = Engine<Http>;

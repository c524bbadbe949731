//! The HTTP/1.1 adapter: serves clients ([`server`]), makes attempts at backends ([`upstream`]) and watches the platform's
//! endpoint list ([`discovery`]). Which backend a request is sent to, and whether it is retried, the engine decides.
//!
//! A client's request passes through `server`, `connection_limiter`, `client_connection`, `routes`, `api` and from there
//! to the engine, which calls `upstream` for each attempt.

mod api;
mod api_request;
mod backend_response;
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
pub mod server;
mod server_context;
mod timeouts;
mod tracked_connection;
mod upload;
pub mod upstream;

use badgerpost_engine::{Engine, Protocol};
use hyper::{HeaderMap, Method, Uri};

/// Largest body in bytes that is buffered: such a request can be sent again, and such a response can be replaced by that of
/// another attempt if it is truncated. A larger body is streamed.
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// A client's request as it is forwarded to backends.
pub struct ForwardedRequest {
    /// The method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) target: Uri,
    /// The end-to-end headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    body: upload::RequestBody,
    /// How long the client waits from the last byte of the request on, in milliseconds.
    pub(crate) budget_ms: u64,
}

/// The types of HTTP requests and responses, for the engine.
pub struct Http;

impl Protocol for Http {
    type Request = ForwardedRequest;
    type Response = backend_response::BackendResponse;
}

/// The engine of an HTTP fleet.
pub type HttpEngine = Engine<Http>;

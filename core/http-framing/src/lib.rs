//! Message framing of HTTP/1.1 requests (RFC 9112): finds the beginning and end of each request on a client's
//! connection, and rejects requests with ambiguous framing.
//!
//! [`RequestFramer`] observes the bytes that the HTTP library parses, without consuming them. The library hides
//! ambiguous framing: the library drops a Content-Length beside a Transfer-Encoding and accepts a repeated
//! Content-Length. If two recipients disagree on the length of a body, one of them parses part of the body as another
//! request (request smuggling, section 11.2). Such a request is therefore rejected before any part is forwarded.
//!
//! The crate does no I/O. For each connection, only a bounded part of one line is stored.

mod chunk;
mod error;
mod framer;
mod head;
mod line;

pub use error::FramingError;
pub use framer::{FramingEvent, RequestFramer};

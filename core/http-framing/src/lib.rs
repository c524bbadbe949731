//! Message framing of HTTP/1.1 requests (RFC 9112): finds where the requests on a client's connection begin and end, and
//! rejects those whose framing is ambiguous.
//!
//! [`RequestFramer`] observes the bytes that the HTTP library parses; it consumes none of them. The library hides what
//! matters for security: it drops a Content-Length beside a Transfer-Encoding and accepts a repeated Content-Length. If
//! two recipients disagree on the length of a body, one of them reads part of it as another request (request smuggling,
//! section 11.2), so such a request is rejected before any of it is forwarded.
//!
//! No I/O; memory for each connection is bounded by the prefix of one line.

mod chunk;
mod error;
mod framer;
mod head;
mod line;

pub use error::FramingError;
pub use framer::{FramingEvent, RequestFramer};

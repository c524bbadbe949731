//! Time limits of client connections, and related thresholds.

use std::time::Duration;

use badgerpost_time::{MILLISECOND, Nanos};

// Reading a request.

/// Longest time from the first byte of a request head to the last; for the first head of a connection, from the accept.
/// Received bytes do not extend this limit. Every client must get a response or a close within 3 s, including
/// [`TIMEOUT_RESPONSE_GRACE`].
pub(crate) const HEAD_READ_TIMEOUT: Duration = Duration::from_millis(2300);
/// Longest time without a byte of an incomplete body: as for a head, its client must get a response within 3 s.
pub(crate) const BODY_STALL_TIMEOUT: Duration = HEAD_READ_TIMEOUT;
/// Lowest average rate of a request body: half of the 64 kB/s that the slowest legitimate clients send.
pub(crate) const MIN_BODY_BYTES_PER_SECOND: u64 = 32 * 1024;
/// Longest time for the body of an upload; passed to the engine as the request's budget until the body is complete.
/// Stalled and slow uploads are ended earlier by the two limits above.
pub(crate) const UPLOAD_TIMEOUT: Duration = Duration::from_secs(3600);
/// Time from a read timeout to the close of the connection. Within this time a request whose body timed out gets a 408
/// response. A request whose head timed out gets none.
pub(crate) const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// Interval at which an upload is checked for progress. Whether the upload waits for its client or for a backend
/// changes without a notification.
pub(crate) const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time in which a backend that has sent an early response reads nothing of the body. After that the rest is
/// discarded, because the client may read the response only after it has sent the whole body.
pub(crate) const FORWARD_STALL_TIMEOUT: Duration = Duration::from_secs(1);

// Sending a response.

/// Network time of a request and its response, subtracted from the client's budget. The client's deadline covers the
/// time from the first byte that the client sends to the last byte that the client receives.
pub(crate) const NETWORK_ALLOWANCE: Nanos = 4 * MILLISECOND;
/// Longest time without progress of a response, on the client's or the backend's side. Progress towards the client is
/// seen only when the operating system takes more bytes: a full send buffer takes more once a third of it is free,
/// which can take a client that reads 64 kB/s this long. That also holds for the last bytes of a response, and for a
/// small response behind a large one.
pub(crate) const RESPONSE_PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time without a byte from the backend of a forwarded response that may be small: as for a request body, its
/// client must be able to tell within 3 s that the rest does not come.
pub(crate) const FORWARDED_RESPONSE_STALL_TIMEOUT: Duration = BODY_STALL_TIMEOUT;

// Keep-alive.

/// Longest time between requests on a connection. Legitimate clients send the next request sooner, and connections of
/// clients that send no more must not accumulate.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of the connection limit. Once that many connections are idle, further ones close after their response, which
/// leaves capacity for new connections: clients that keep a connection and send no more would use up all of it.
pub(crate) const IDLE_LIMIT_DIVISOR: usize = 2;
// Eviction at the connection limit.

/// Minimum idle time before a connection may be evicted. A client that waits to be accepted most likely has a request,
/// an idle one has none. Protects clients that send their next request right after a response; HTTP clients must handle
/// the close of an idle connection (RFC 9112, section 9.5).
pub(crate) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(200);
/// Minimum time from the accept before a connection without a received byte may be evicted. Clients usually send their
/// first request immediately after the connect.
pub(crate) const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(20);
/// Minimum time without a byte of an incomplete request before its connection may be evicted. Longer than the pauses of
/// legitimate slow clients, which send a head of some lines within 2 s and a body at 64 kB/s.
pub(crate) const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(500);
/// Interval at which admission is retried while no connection may be evicted.
pub(crate) const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which all connections are checked for timeouts.
pub(crate) const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

// Closing a connection.

/// Time from the accept in which the first request is awaited while the node drains or stops.
pub(crate) const DRAIN_FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Longest time for a client to close its side after the node has closed its own.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without a byte in a lingering close (RFC 9112, section 9.6). After an error or an early response, the
/// node reads and discards what the client still sends: closing a socket with unread bytes sends a reset, which can
/// destroy the response before the client reads it.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest lingering close of a client that keeps sending, in addition to the time that what it sends may take at
/// [`MIN_BODY_BYTES_PER_SECOND`]; at most [`UPLOAD_TIMEOUT`] in all.
pub(crate) const MAX_LINGER_DURATION: Duration = Duration::from_secs(30);
/// Interval at which a busy connection is checked for quiescence while the node closes idle connections.
pub(crate) const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

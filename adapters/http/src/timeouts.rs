//! Time limits of the client side, and the thresholds that go with them.

use std::time::Duration;

use badgerpost_time::{MILLISECOND, Nanos};

// Reading a request.

/// Longest time from the first byte of a request's head to its last; for the first head of a connection, from the accept.
/// Clients are owed a response or a close within 3 s, so bytes that trickle in do not extend it.
pub(crate) const HEAD_READ_TIMEOUT: Duration = Duration::from_millis(2300);
/// Longest time without a byte of a body that is incomplete: the same as for a head, for the same reason.
pub(crate) const BODY_STALL_TIMEOUT: Duration = HEAD_READ_TIMEOUT;
/// Lowest average rate of a body, from its head on: half of the 64 kB/s that the slowest clients in service keep up.
pub(crate) const MIN_BODY_BYTES_PER_SECOND: u64 = 32 * 1024;
/// Longest time in which the body of an upload may arrive. Its progress is limited by the two limits above; this one is
/// the budget that the engine is given until the body is complete.
pub(crate) const UPLOAD_TIMEOUT: Duration = Duration::from_secs(3600);
/// Time after a read timeout until the connection is closed. A body that timed out gets its 408 first; a head that timed
/// out gets no response, only the close.
pub(crate) const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// Interval at which an upload is checked for progress: whether it waits for its client or for a backend changes without
/// a notification.
pub(crate) const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time in which a backend that has responded to an incomplete upload takes no more of it. The rest is discarded
/// then, as its client may read the response only once it has sent everything.
pub(crate) const FORWARD_STALL_TIMEOUT: Duration = Duration::from_secs(1);

// Sending a response.

/// Time that a request and its response spend on the network, subtracted from the client's budget. The client counts its
/// time from its send to the last byte of the response: one that leaves as the budget ends arrives too late.
pub(crate) const NETWORK_ALLOWANCE: Nanos = 4 * MILLISECOND;
/// Longest time without progress of a streamed response, whichever side stalls. A client that reads slowly (64 kB/s) takes
/// this long to empty the system's buffers on both sides before more can be written.
pub(crate) const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time in which a client has to take a response that is complete.
pub(crate) const SEND_TIMEOUT: Duration = Duration::from_secs(3);

// Keep-alive.

/// Longest time between requests. Clients in service send the next request sooner, and those that sent one and stay must
/// not accumulate over a long day.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of the connection limit: with more than that part of it idle, a connection closes after its response. Clients
/// that keep a connection and send no more would occupy what the system holds for connections, and leave none to others.
pub(crate) const IDLE_LIMIT_DIVISOR: usize = 2;
// Admission of new connections at the connection limit.

/// Time between requests after which a connection may be evicted: long enough that a client with sequential requests is
/// not closed as it sends one. A client that waits to be accepted most likely has a request, an idle one has none, and
/// by the protocol a client whose connection is closed between requests opens another at no loss.
pub(crate) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(200);
/// Time from the accept after which a connection without a byte may be evicted: the first request of a client in service
/// arrives right behind its connect.
pub(crate) const MIN_SILENCE_BEFORE_EVICTION: Duration = Duration::from_millis(20);
/// Time without a byte of an incomplete request after which its connection may be evicted, if none is idle: slow clients
/// in service send sooner (2 s for a head of some lines, 64 kB a second).
pub(crate) const MIN_STALL_BEFORE_EVICTION: Duration = Duration::from_millis(500);
/// Interval at which a new connection is tried again to be admitted if none may be evicted yet.
pub(crate) const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which all connections are checked for timeouts.
pub(crate) const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

// Closing a connection.

/// While the node drains or stops, time from the accept in which a first request is still waited for: clients in service
/// connect to send one at once.
pub(crate) const DRAIN_FIRST_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// Longest time in which a client has to close its side after the node has closed its own: some network round trips.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time without a byte in a lingering close (RFC 9112, section 9.6): after an error or an early response, what the
/// client still sends is read and discarded, or the reset for unread bytes could destroy the response before the client
/// reads it.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest lingering close of a client that goes on sending: some megabytes at the slowest rate of clients in service.
pub(crate) const MAX_LINGER_DURATION: Duration = Duration::from_secs(30);
/// Interval at which a connection in use is checked for having become idle while the node closes idle ones.
pub(crate) const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

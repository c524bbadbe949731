//! The state of one client connection, shared by the tasks that read from, write to or close the connection.

mod closing;
mod request_tracker;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use badgerpost_engine::{Clock, ConnectionLimit};
use badgerpost_http_framing::FramingError;
use badgerpost_time::Nanos;
use tokio::sync::Notify;

use crate::close_recorder::CloseRecorder;
use crate::connection_state::ConnectionState;
use crate::early_response::EarlyResponse;
use crate::request_queue::RequestQueue;
use crate::timeouts::IDLE_LIMIT_DIVISOR;

pub(crate) use self::closing::ForcedClose;
pub(crate) use self::request_tracker::RequestTracker;

/// How a connection is closed after its last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// The client has nothing more to send.
    Graceful,
    /// The client may still be sending the request that was responded to.
    Lingering,
    /// With a reset: the response was truncated, and its framing does not show this to the client.
    Reset,
}

/// The number of idle connections, and the connection limit.
pub(crate) struct IdleConnections {
    count: Cell<usize>,
    max_connections: Rc<Cell<usize>>,
}

impl IdleConnections {
    pub(crate) fn new(max_connections: Rc<Cell<usize>>) -> Self {
        Self {
            count: Cell::new(0),
            max_connections,
        }
    }

    /// Whether so many connections are idle that further ones should close instead of becoming idle.
    fn is_at_limit(&self) -> bool {
        self.count.get() >= self.max_connections.get() / IDLE_LIMIT_DIVISOR
    }

    /// Records a state change of a connection.
    fn record(&self, from: ConnectionState, to: ConnectionState) {
        let is_idle = |state| usize::from(matches!(state, ConnectionState::Idle { .. }));
        self.count
            .set(self.count.get() + is_idle(to) - is_idle(from));
    }
}

/// The state of one client connection.
pub(crate) struct TrackedConnection {
    state: Cell<ConnectionState>,
    last_received_at: Cell<Nanos>,
    last_sent_at: Cell<Nanos>,
    /// When all bytes that had arrived were last read, so that more were awaited.
    read_blocked_at: Cell<Nanos>,
    /// Since when the current request is being read. The node's own delays before this time do not count against the
    /// client.
    read_since: Cell<Nanos>,
    /// Whether some of the client's bytes stay unread until the response in progress has been sent.
    is_reading_paused: Cell<bool>,
    /// The requests that have begun to arrive.
    requests: RefCell<RequestQueue>,
    close_mode: Cell<CloseMode>,
    early_response: EarlyResponse,
    /// Notified when the connection has to be closed immediately.
    abort: Notify,
    /// Notified when the connection should be closed, unless the client has made progress meanwhile.
    close_requested: Notify,
    /// Whether the connection should be closed to admit another one.
    is_eviction_requested: Cell<bool>,
    /// Whether the streamed response waits for the backend, and not for the client.
    is_stream_waiting_for_backend: Cell<bool>,
    idle_connections: Rc<IdleConnections>,
    close_recorder: Rc<CloseRecorder>,
    clock: Clock,
}

impl TrackedConnection {
    /// The state of a connection that has just been accepted.
    pub(crate) fn new(
        idle_connections: Rc<IdleConnections>,
        close_recorder: Rc<CloseRecorder>,
        clock: Clock,
    ) -> Self {
        let now = clock.now();
        Self {
            state: Cell::new(ConnectionState::New { accepted_at: now }),
            last_received_at: Cell::new(now),
            last_sent_at: Cell::new(now),
            read_blocked_at: Cell::new(now),
            read_since: Cell::new(now),
            is_reading_paused: Cell::new(false),
            requests: RefCell::default(),
            close_mode: Cell::new(CloseMode::Graceful),
            early_response: EarlyResponse::default(),
            abort: Notify::new(),
            close_requested: Notify::new(),
            is_eviction_requested: Cell::new(false),
            is_stream_waiting_for_backend: Cell::new(false),
            idle_connections,
            close_recorder,
            clock,
        }
    }

    fn enter(&self, state: ConnectionState) {
        let left = self.state.replace(state);
        self.idle_connections.record(left, state);
    }
}

/// The requests: the one being served, and those pipelined behind it.
impl TrackedConnection {
    /// Called when hyper has parsed the head of the next request.
    ///
    /// # Errors
    ///
    /// The request's framing is ambiguous.
    pub(crate) fn head_parsed(&self) -> Result<(), FramingError> {
        let state = self.state.get();
        self.enter(state.head_parsed(self.clock.now(), self.last_progress_at()));
        self.requests.borrow_mut().advance()
    }

    /// Time since the last byte of the request arrived; 0 while the request is incomplete.
    pub(crate) fn time_since_complete(&self) -> Nanos {
        let completed_at = self.requests.borrow().completed_at();
        completed_at.map_or(0, |at| self.clock.now().saturating_sub(at))
    }

    /// Whether the last byte of the request has arrived. Any further bytes belong to the next request.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.requests.borrow().completed_at().is_some()
    }

    /// Whether another request has begun to arrive behind the current one.
    pub(crate) fn has_pipelined_request(&self) -> bool {
        self.requests.borrow().has_next()
    }

    /// Whether a request has begun to arrive and its head has not been parsed.
    pub(crate) fn has_partial_request(&self) -> bool {
        self.is_reading_head() && self.has_pipelined_request()
    }

    pub(crate) fn is_reading_head(&self) -> bool {
        self.state.get().is_reading_head()
    }

    pub(crate) fn is_reading_request(&self) -> bool {
        self.state.get().is_reading_request()
    }

    /// When the request's body has to be complete, unless more bytes arrive first; `Nanos::MAX` if no body is being
    /// read.
    pub(crate) fn body_deadline(&self) -> Nanos {
        let deadline = self.state.get().body_deadline(self.last_progress_at());
        deadline.unwrap_or(Nanos::MAX)
    }

    /// The time that the received part of the body may take at the minimum rate.
    pub(crate) fn body_time_at_lowest_rate(&self) -> Nanos {
        self.state.get().body_time_at_lowest_rate()
    }

    /// When all bytes that had arrived were last read, so that more were awaited.
    pub(crate) fn read_blocked_at(&self) -> Nanos {
        self.read_blocked_at.get()
    }

    /// Called when the request has been submitted while its body is still arriving.
    pub(crate) fn upload_submitted(&self) {
        self.enter(self.state.get().upload_submitted());
    }

    /// Sets whether the upload waits for a backend, and not for the client.
    pub(crate) fn set_backend_blocked(&self, is_backend_blocked: bool) {
        let state = self.state.get();
        if state.is_backend_blocked() && !is_backend_blocked {
            self.read_since.set(self.clock.now());
        }
        self.enter(state.backend_blocked(is_backend_blocked));
    }

    /// The start of the current wait for the client: when the last bytes arrived or when the node resumed reading,
    /// whichever is later. While an earlier response was unsent or no backend read the body, the client's bytes may
    /// have been left unread; this time must not count against the client.
    fn last_progress_at(&self) -> Nanos {
        self.last_received_at.get().max(self.read_since.get())
    }

    /// Called when the response in progress has been sent: the next request is read.
    fn read_next_request(&self, now: Nanos) {
        self.read_since.set(now);
        let is_paused = self.is_reading_paused.replace(false);
        let requests = self.requests.borrow();
        // The time limit of a head that was read as it arrived counts from its first byte, also if the head was
        // pipelined.
        let since = requests.incomplete_since().map(|started_at| {
            let is_waited_for = !is_paused && !requests.has_next_head();
            if is_waited_for { started_at } else { now }
        });
        self.enter(self.state.get().flushed(now, since));
    }

    /// Called when the request is complete and has been submitted.
    pub(crate) fn request_complete(&self) {
        self.enter(ConnectionState::AwaitingResponse);
    }

    /// Whether a submitted request awaits its response. Such a request is cancelled if the client disconnects.
    pub(crate) fn awaits_response(&self) -> bool {
        self.state.get().awaits_response()
    }
}

/// The response.
impl TrackedConnection {
    /// Called when a response begins that is forwarded as it arrives from a backend.
    pub(crate) fn stream_started(&self) {
        self.is_reading_paused.set(true);
        self.enter(ConnectionState::Streaming {
            last_progress_at: self.clock.now(),
        });
    }

    /// State of the response that begins before its request is complete.
    pub(crate) fn early_response(&self) -> &EarlyResponse {
        &self.early_response
    }

    /// Called when the whole response has been passed to the operating system.
    fn response_sent(&self) {
        if self.early_response.has_begun() {
            self.lingering_close_started();
        } else {
            self.read_next_request(self.clock.now());
        }
    }

    /// Sets whether the streamed response waits for the backend, and not for the client.
    pub(crate) fn set_stream_waiting_for_backend(&self, is_waiting_for_backend: bool) {
        self.is_stream_waiting_for_backend
            .set(is_waiting_for_backend);
    }

    /// Called when the last byte of a streamed response has arrived from the backend.
    pub(crate) fn stream_ended(&self) {
        self.enter(self.state.get().stream_ended(self.clock.now()));
    }

    /// Records that a streamed response ends because its backend has stopped sending.
    pub(crate) fn stream_stalled(&self) {
        self.record_close(ConnectionLimit::StreamFromBackend);
    }

    pub(crate) fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Called when the streamed response was truncated and only a reset can show this to the client.
    pub(crate) fn stream_truncated(&self) {
        self.close_mode.set(CloseMode::Reset);
    }

    /// Called when a response begins. `close_mode` applies if the connection closes after the response.
    pub(crate) fn response_started(&self, close_mode: CloseMode) {
        self.close_mode.set(close_mode);
        self.enter(self.state.get().response_started(self.clock.now()));
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        self.lingering_close_started();
    }
}

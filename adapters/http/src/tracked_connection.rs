//! The state of one client connection, shared by all that read from, write to or may close it.

mod closing;
mod request_tracker;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use badgerpost_engine::Clock;
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

/// How a connection has to be closed, by its last response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// The client has nothing more to send.
    Graceful,
    /// The client may still be sending the request that was responded to.
    Lingering,
    /// By a reset: the response was truncated, and its framing does not show that to the client.
    Reset,
}

/// The number of idle connections, and how many may be open in all.
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

    /// Whether there are so many that a further connection had better close than become idle.
    fn is_at_limit(&self) -> bool {
        self.count.get() >= self.max_connections.get() / IDLE_LIMIT_DIVISOR
    }

    /// A connection has changed its state.
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
    /// Since when the request that is arriving is read: nothing before that tells how fast its client sends.
    read_since: Cell<Nanos>,
    /// Whether a part of what the client has sent is left unread until the response in progress has been sent.
    is_reading_paused: Cell<bool>,
    /// The requests that have begun to arrive.
    requests: RefCell<RequestQueue>,
    close_mode: Cell<CloseMode>,
    early_response: EarlyResponse,
    /// Notified when the connection has to be closed at once.
    abort: Notify,
    /// Notified when the connection is to be closed, unless its client has done meanwhile what it is waited for.
    close_requested: Notify,
    /// Whether it is to be closed so that another one can be admitted.
    is_eviction_requested: Cell<bool>,
    /// Whether the response that is streamed waits for its backend, and not for its client.
    is_stream_waiting_for_backend: Cell<bool>,
    idle_connections: Rc<IdleConnections>,
    close_recorder: Rc<CloseRecorder>,
    clock: Clock,
}

impl TrackedConnection {
    /// A connection that has just been accepted.
    pub(crate) fn new(
        idle_connections: Rc<IdleConnections>,
        close_recorder: Rc<CloseRecorder>,
        clock: Clock,
    ) -> Self {
        let now = clock.now();
        Self {
            state: Cell::new(ConnectionState::New { accepted_at: now }),
            last_received_at: Cell::new(now),
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

/// The request that is being served, and those behind it.
impl TrackedConnection {
    /// The HTTP library has parsed the head of the next request.
    ///
    /// # Errors
    ///
    /// The request's framing is ambiguous.
    pub(crate) fn head_parsed(&self) -> Result<(), FramingError> {
        let state = self.state.get();
        self.enter(state.head_parsed(self.clock.now(), self.last_progress_at()));
        self.requests.borrow_mut().advance()
    }

    /// How long ago the last byte of the request arrived; 0 before that.
    pub(crate) fn time_since_complete(&self) -> Nanos {
        let completed_at = self.requests.borrow().completed_at();
        completed_at.map_or(0, |at| self.clock.now().saturating_sub(at))
    }

    /// Whether the last byte of the request has arrived: what follows is another one.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.requests.borrow().completed_at().is_some()
    }

    /// Whether another request has begun to arrive behind the current one. It is owed a response too.
    pub(crate) fn has_pipelined_request(&self) -> bool {
        self.requests.borrow().has_next()
    }

    /// Whether a request has begun to arrive whose head has not been parsed.
    pub(crate) fn has_partial_request(&self) -> bool {
        self.is_reading_head() && self.has_pipelined_request()
    }

    /// Whether a request's head is arriving.
    pub(crate) fn is_reading_head(&self) -> bool {
        self.state.get().is_reading_head()
    }

    /// Whether a request's head or body is arriving.
    pub(crate) fn is_reading_request(&self) -> bool {
        self.state.get().is_reading_request()
    }

    /// When the request's body has to be complete, or more of it to have arrived.
    pub(crate) fn body_deadline(&self) -> Nanos {
        let deadline = self.state.get().body_deadline(self.last_progress_at());
        deadline.unwrap_or(Nanos::MAX)
    }

    /// The time that the part of the body that has arrived may take at the lowest rate.
    pub(crate) fn body_time_at_lowest_rate(&self) -> Nanos {
        self.state.get().body_time_at_lowest_rate()
    }

    /// The request has been submitted with its body still arriving.
    pub(crate) fn upload_submitted(&self) {
        self.enter(self.state.get().upload_submitted());
    }

    /// Sets whether the upload waits for a backend, and not for its client.
    pub(crate) fn set_backend_blocked(&self, is_backend_blocked: bool) {
        let state = self.state.get();
        if state.is_backend_blocked() && !is_backend_blocked {
            self.read_since.set(self.clock.now());
        }
        self.enter(state.backend_blocked(is_backend_blocked));
    }

    /// When the client last did what is waited for: when its last bytes arrived, or when the node began to read on. A
    /// time limit that counted from the arrival alone would also count the time in which the client's next bytes lay
    /// unread, because the response to an earlier request was not sent yet, or no backend took the body.
    fn last_progress_at(&self) -> Nanos {
        self.last_received_at.get().max(self.read_since.get())
    }

    /// The response in progress has been sent, and the next request is read.
    fn read_next_request(&self, now: Nanos) {
        self.read_since.set(now);
        let is_paused = self.is_reading_paused.replace(false);
        let requests = self.requests.borrow();
        // A head that was read as it arrived has its time from its first byte on, also behind another request.
        let since = requests.incomplete_since().map(|started_at| {
            let is_waited_for = !is_paused && !requests.has_next_head();
            if is_waited_for { started_at } else { now }
        });
        self.enter(self.state.get().flushed(now, since));
    }

    /// The request is complete and has been submitted.
    pub(crate) fn request_complete(&self) {
        self.enter(ConnectionState::AwaitingResponse);
    }

    /// Whether a submitted request awaits its response: if its client disconnects, it is cancelled.
    pub(crate) fn awaits_response(&self) -> bool {
        self.state.get().awaits_response()
    }
}

/// The response.
impl TrackedConnection {
    /// A response has begun that is forwarded as it arrives from a backend.
    pub(crate) fn stream_started(&self) {
        self.is_reading_paused.set(true);
        self.enter(ConnectionState::Streaming {
            last_progress_at: self.clock.now(),
        });
    }

    /// The response that has begun before its request was complete.
    pub(crate) fn early_response(&self) -> &EarlyResponse {
        &self.early_response
    }

    /// All of a response is with the system.
    fn response_sent(&self) {
        if self.early_response.has_begun() {
            self.lingering_close_started();
        } else {
            self.read_next_request(self.clock.now());
        }
    }

    /// Sets whether the response that is streamed waits for its backend, and not for its client.
    pub(crate) fn set_stream_waiting_for_backend(&self, is_waiting_for_backend: bool) {
        self.is_stream_waiting_for_backend
            .set(is_waiting_for_backend);
    }

    /// The last byte of a streamed response has arrived from the backend.
    pub(crate) fn stream_ended(&self) {
        self.enter(self.state.get().stream_ended(self.clock.now()));
    }

    /// The response that is streamed has been truncated, and only a reset shows that to the client.
    pub(crate) fn stream_truncated(&self) {
        self.close_mode.set(CloseMode::Reset);
    }

    /// A response has begun. If it ends the connection, it does so in this mode.
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

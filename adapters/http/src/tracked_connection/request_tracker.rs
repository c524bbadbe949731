use std::rc::Rc;

use badgerpost_http_framing::{FramingEvent, RequestFramer};

use super::TrackedConnection;
use crate::observed_stream::StreamObserver;

/// Updates a [`TrackedConnection`] from the bytes on its socket.
pub(crate) struct RequestTracker {
    connection: Rc<TrackedConnection>,
    framer: RequestFramer,
}

impl RequestTracker {
    /// Creates the observer for the stream of this connection.
    pub(crate) fn new(connection: Rc<TrackedConnection>) -> Self {
        Self {
            connection,
            framer: RequestFramer::new(),
        }
    }
}

impl StreamObserver for RequestTracker {
    fn bytes_read(&mut self, bytes: &[u8]) {
        let Self { connection, framer } = self;
        let now = connection.clock.now();
        connection.last_received_at.set(now);
        let state = connection.state.get();
        connection.enter(state.bytes_received(now, bytes.len() as u64));
        connection.early_response.bytes_received(bytes.len() as u64);
        if connection.early_response.allows_sending(now) {
            connection.enter(connection.state.get().body_continued(now));
        }
        let mut requests = connection.requests.borrow_mut();
        framer.feed(bytes, &mut |event: FramingEvent| {
            requests.record(event, now);
        });
    }

    fn bytes_written(&mut self) {
        let connection = &self.connection;
        let now = connection.clock.now();
        connection.last_sent_at.set(now);
        connection.enter(connection.state.get().bytes_sent(now));
    }

    fn flushed(&mut self) {
        let connection = &self.connection;
        if connection.state.get().is_sending() {
            connection.response_sent();
        }
    }

    fn read_blocked(&mut self) {
        let connection = &self.connection;
        connection.read_blocked_at.set(connection.clock.now());
    }

    fn read_ahead_full(&mut self) {
        self.connection.is_reading_paused.set(true);
    }
}

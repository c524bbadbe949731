use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use badgerpost_engine::{ConnectionLimit, Metrics, VirtualClock, nanos};

use super::*;
use crate::observed_stream::StreamObserver;
use crate::tracked_connection::{ForcedClose, RequestTracker};

/// A limiter with a clock that is controlled by the test.
struct TestLimiter {
    limiter: Rc<ConnectionLimiter>,
    metrics: Arc<Metrics>,
    clock: Rc<VirtualClock>,
}

impl TestLimiter {
    fn new(max_connections: usize) -> Self {
        let clock = VirtualClock::at(0);
        let max_connections = Rc::new(Cell::new(max_connections));
        let metrics = Arc::new(Metrics::new(Vec::new()));
        let limiter = ConnectionLimiter::new(
            max_connections,
            Clock::from_virtual(clock.clone()),
            metrics.clone(),
        );
        Self {
            limiter,
            metrics,
            clock,
        }
    }

    fn advance(&self, milliseconds: u64) {
        let now = Clock::from_virtual(self.clock.clone()).now();
        self.clock
            .advance(now + nanos(Duration::from_millis(milliseconds)));
    }

    /// Admits a connection while the limit is not reached.
    fn admit(&self) -> ConnectionPermit {
        match poll(pin!(self.limiter.admit())) {
            Poll::Ready(permit) => permit,
            Poll::Pending => panic!("the connection limit is reached"),
        }
    }
}

fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// How a connection has to be closed now, if a close was requested and no bytes are unread.
fn forced_close(permit: &ConnectionPermit) -> Option<ForcedClose> {
    let is_requested = poll(pin!(permit.connection().close_requested())).is_ready();
    is_requested
        .then(|| permit.connection().forced_close(|| false))
        .flatten()
}

fn is_aborted(permit: &ConnectionPermit) -> bool {
    forced_close(permit) == Some(ForcedClose::Abort)
}

fn receive(permit: &ConnectionPermit, bytes: &[u8]) {
    RequestTracker::new(permit.connection().clone()).bytes_read(bytes);
}

#[test]
fn at_the_limit_a_connection_is_admitted_once_another_ends() {
    let test = TestLimiter::new(1);
    let first = test.admit();
    let mut second = pin!(test.limiter.admit());
    assert!(poll(second.as_mut()).is_pending());
    assert!(!is_aborted(&first), "its first request may still arrive");
    drop(first);
    assert!(poll(second.as_mut()).is_ready());
}

#[test]
fn the_longest_silent_connection_is_evicted_and_never_one_with_a_request() {
    let test = TestLimiter::new(3);
    let [busy, silent, recent] = [(); 3].map(|()| {
        test.advance(20);
        test.admit()
    });
    receive(&busy, b"GET /api HTTP/1.1\r\n\r\n");
    busy.connection().head_parsed().expect("valid framing");
    busy.connection().request_complete();
    test.advance(5000);
    let mut next = pin!(test.limiter.admit());
    assert!(poll(next.as_mut()).is_pending());
    assert_eq!(
        [&busy, &silent, &recent].map(is_aborted),
        [false, true, false]
    );
}

#[test]
fn a_timeout_before_a_request_is_parsed_closes_gracefully_and_a_later_one_aborts() {
    let test = TestLimiter::new(2);
    let [silent, stalled] = [(); 2].map(|()| test.admit());
    receive(&stalled, b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n");
    stalled.connection().head_parsed().expect("valid framing");
    let mut timeouts = pin!(test.limiter.clone().run_timeouts());
    assert!(poll(timeouts.as_mut()).is_pending());
    for _ in 0..24 {
        test.advance(100);
        assert!(poll(timeouts.as_mut()).is_pending());
    }
    assert_eq!(
        (forced_close(&silent), forced_close(&stalled)),
        (None, None)
    );
    test.advance(100);
    assert!(poll(timeouts.as_mut()).is_pending());
    assert_eq!(forced_close(&silent), Some(ForcedClose::Graceful));
    assert_eq!(forced_close(&stalled), Some(ForcedClose::Abort));
}

#[test]
fn a_connection_closes_after_its_response_while_half_of_the_limit_is_idle() {
    let test = TestLimiter::new(4);
    let permits = [(); 3].map(|()| test.admit());
    let respond = |permit: &ConnectionPermit| {
        receive(permit, b"GET /api HTTP/1.1\r\n\r\n");
        permit.connection().head_parsed().expect("valid framing");
        let mut tracker = RequestTracker::new(permit.connection().clone());
        permit
            .connection()
            .response_started(crate::tracked_connection::CloseMode::Graceful);
        tracker.flushed();
    };
    respond(&permits[0]);
    assert!(!permits[2].connection().should_close_after_response());
    respond(&permits[1]);
    assert!(permits[2].connection().should_close_after_response());
    let [first, ..] = permits;
    drop(first);
    assert!(!test.admit().connection().should_close_after_response());
}

/// Operators need to tell stalls of clients from stalls of backends, although the time limit is the same.
#[test]
fn a_stalled_stream_is_counted_for_the_side_that_stalls() {
    for (is_waiting_for_backend, limit) in [
        (false, ConnectionLimit::StreamToClient),
        (true, ConnectionLimit::StreamFromBackend),
    ] {
        let test = TestLimiter::new(1);
        let permit = test.admit();
        permit.connection().stream_started();
        permit
            .connection()
            .set_stream_waiting_for_backend(is_waiting_for_backend);
        let mut timeouts = pin!(test.limiter.clone().run_timeouts());
        for _ in 0..300 {
            assert!(poll(timeouts.as_mut()).is_pending());
            assert_eq!(forced_close(&permit), None);
            assert_eq!(test.metrics.connections_closed(limit), 0);
            test.advance(100);
        }
        assert!(poll(timeouts.as_mut()).is_pending());
        assert_eq!(forced_close(&permit), Some(ForcedClose::Abort));
        let closed = ConnectionLimit::ALL.map(|limit| test.metrics.connections_closed(limit));
        assert_eq!(closed.iter().sum::<u64>(), 1);
        assert_eq!(test.metrics.connections_closed(limit), 1);
    }
}

/// While no backend reads the body, the client cannot send.
#[test]
fn an_upload_is_not_stalled_right_after_it_has_waited_for_a_backend() {
    let test = TestLimiter::new(1);
    let upload = test.admit();
    receive(
        &upload,
        b"POST /api HTTP/1.1\r\nContent-Length: 99999\r\n\r\n",
    );
    upload.connection().head_parsed().expect("valid framing");
    upload.connection().upload_submitted();
    upload.connection().set_backend_blocked(true);
    test.advance(5000);
    upload.connection().set_backend_blocked(false);
    let now = || Clock::from_virtual(test.clock.clone()).now();
    assert_eq!(upload.connection().eviction_rank(now()), None);
    test.advance(500);
    assert!(upload.connection().eviction_rank(now()).is_some());
}

/// Guards against closing a connection by a time limit or an eviction although bytes have arrived in time.
#[test]
fn a_connection_that_received_bytes_in_time_is_not_closed_by_a_limit() {
    let test = TestLimiter::new(3);
    let [silent, resumed, idle] = [(); 3].map(|()| test.admit());
    receive(&resumed, b"GET /api HTTP/1.1\r\nHost:");
    let mut timeouts = pin!(test.limiter.clone().run_timeouts());
    for _ in 0..26 {
        assert!(poll(timeouts.as_mut()).is_pending());
        test.advance(100);
    }
    assert!(poll(timeouts.as_mut()).is_pending());
    // The rest of the head arrives in the moment in which the time limit expires.
    receive(&resumed, b" a\r\n\r\n");
    resumed.connection().head_parsed().expect("valid framing");
    resumed.connection().request_complete();
    assert_eq!(forced_close(&resumed), None);
    // The socket holds an unread byte.
    assert_eq!(silent.connection().forced_close(|| true), None);
    assert_eq!(forced_close(&silent), Some(ForcedClose::Graceful));
    idle.connection().request_eviction();
    assert_eq!(idle.connection().forced_close(|| true), None);
}

use super::*;
use crate::clock::VirtualClock;

/// Guards against a log that is flooded by a warning for every request.
#[test]
fn burst_of_warnings_is_logged_as_one_message() {
    let virtual_clock = VirtualClock::at(0);
    let mut limiter = LogLimiter::new(Clock::from_virtual(virtual_clock.clone()));
    let mut messages = Vec::new();
    for _ in 0..1000 {
        limiter.log(|suppressed| messages.push(suppressed));
    }
    assert_eq!(
        (messages.as_slice(), limiter.suppressed),
        ([0].as_slice(), 999)
    );
    virtual_clock.advance(MIN_LOG_INTERVAL_NS);
    limiter.log(|suppressed| messages.push(suppressed));
    assert_eq!(messages, [0, 999]);
}

use super::*;
use crate::clock::VirtualClock;

/// Guards the log against a warning that comes with every request.
#[test]
fn a_burst_of_warnings_is_one_line() {
    let steps = VirtualClock::at(0);
    let (mut limiter, mut lines) = (LogLimiter::new(Clock::stepped(steps.clone())), Vec::new());
    (0..1000).for_each(|_| limiter.log(|more| lines.push(more)));
    assert_eq!(
        (lines.as_slice(), limiter.suppressed),
        ([0].as_slice(), 999)
    );
    steps.advance(SPAN);
    limiter.log(|more| lines.push(more));
    assert_eq!(lines, [0, 999]);
}

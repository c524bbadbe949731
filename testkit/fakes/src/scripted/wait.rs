//! Waiting for conditions. Panics where a test has failed.

use std::thread;
use std::time::Duration;

/// Nothing that a test waits for takes this long unless the test has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until the condition is met; fails the test after [`TEST_TIMEOUT`].
#[expect(clippy::panic, reason = "a test fails here")]
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..TEST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if is_met() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("in vain: {description}");
}

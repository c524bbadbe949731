//! Waits for conditions. Panics if a test has failed.

use std::thread;
use std::time::Duration;

/// How long tests wait for a condition before they fail.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls until the condition is met; panics after [`TEST_TIMEOUT`]. `description` names the condition.
#[expect(clippy::panic, reason = "a test fails here")]
pub fn wait_until(description: &str, mut is_met: impl FnMut() -> bool) {
    for _ in 0..TEST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if is_met() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("condition not met within {TEST_TIMEOUT:?}: {description}");
}

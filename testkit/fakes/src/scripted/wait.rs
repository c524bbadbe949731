//! Waits for conditions. Panics where a test has failed.

use std::thread;
use std::time::Duration;

/// Nothing here takes that long; a test that waits for it has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits for a condition.
#[expect(clippy::panic, reason = "a test fails here")]
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..PATIENCE.as_millis() / 5 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("in vain: {what}");
}

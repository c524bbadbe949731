//! A one-time latch for threads. Panics if a test has failed.

use std::sync::{Condvar, Mutex};

use super::wait::TEST_TIMEOUT;

/// Blocks the threads that wait for the latch until it is released; it stays released.
#[derive(Default)]
pub struct Latch {
    is_released: Mutex<bool>,
    changed: Condvar,
}

impl Latch {
    pub fn release(&self) {
        *self.is_released.lock().unwrap() = true;
        self.changed.notify_all();
    }

    /// Waits until the latch is released; panics after [`TEST_TIMEOUT`].
    pub fn wait(&self) {
        let is_released = self.is_released.lock().unwrap();
        let (_is_released, result) = self
            .changed
            .wait_timeout_while(is_released, TEST_TIMEOUT, |is_released| !*is_released)
            .unwrap();
        assert!(
            !result.timed_out(),
            "the latch was not released within {TEST_TIMEOUT:?}"
        );
    }
}

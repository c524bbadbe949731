//! A latch that threads wait for. Panics where a test has failed.

use std::sync::{Condvar, Mutex};

use super::wait::TEST_TIMEOUT;

/// Holds back the threads that wait for it until it is released, once and for all.
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

    /// Waits until the latch is released; fails the test where that does not happen.
    pub fn wait(&self) {
        let is_released = self.is_released.lock().unwrap();
        let (_is_released, result) = self
            .changed
            .wait_timeout_while(is_released, TEST_TIMEOUT, |is_released| !*is_released)
            .unwrap();
        assert!(!result.timed_out(), "the latch was never released");
    }
}

//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one that a thread has left by a panic.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

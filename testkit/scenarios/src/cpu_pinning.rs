//! Pins a run to one processor. On virtual time, only one of the many processes runs at a time. On one processor, no other
//! processor has to be woken for a switch between processes, and loopback delivers in the order of sending.

use std::sync::atomic::{AtomicUsize, Ordering};

use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};

/// The number of runs that this process has pinned, from which the processor of the next run is chosen.
static PINNED_RUNS: AtomicUsize = AtomicUsize::new(0);

/// Keeps this thread and the processes that it starts on one processor until the guard is dropped. Has no effect where the
/// system does not allow pinning.
pub struct CpuPinning {
    /// The allowed processors to restore; none if pinning had no effect.
    previous: Option<CpuSet>,
}

impl CpuPinning {
    /// Pins this thread to one of its allowed processors. Concurrent runs get different processors if there are enough.
    pub fn acquire() -> Self {
        let Ok(previous) = sched_getaffinity(None) else {
            return Self { previous: None };
        };
        let allowed: Vec<usize> = (0..CpuSet::MAX_CPU)
            .filter(|cpu| previous.is_set(*cpu))
            .collect();
        if allowed.len() < 2 {
            return Self { previous: None };
        }
        // With the process id, concurrent programs begin at different processors.
        let offset = std::process::id() as usize + PINNED_RUNS.fetch_add(1, Ordering::Relaxed);
        let mut chosen = CpuSet::new();
        chosen.set(allowed[offset % allowed.len()]);
        let is_pinned = sched_setaffinity(None, &chosen).is_ok();
        Self {
            previous: is_pinned.then_some(previous),
        }
    }
}

impl Drop for CpuPinning {
    fn drop(&mut self) {
        if let Some(previous) = &self.previous {
            // On failure the thread stays on one processor, which is harmless.
            let _ = sched_setaffinity(None, previous);
        }
    }
}

#[cfg(test)]
mod tests;

//! Pins a run to one processor. A run on virtual time goes on by turns in many processes, one at a time: on one processor
//! a turn changes without another being woken, which doubles its pace, and loopback delivers in the order of sending.

use std::sync::atomic::{AtomicUsize, Ordering};

use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};

/// The number of runs that this process has pinned; they take the processors in turn.
static PINNED_RUNS: AtomicUsize = AtomicUsize::new(0);

/// Keeps this thread, and the processes that it starts, on one processor until it is dropped. Where the system does not
/// allow that, they stay where they are.
pub struct CpuPinning {
    /// The processors to restore; none if nothing was changed.
    previous: Option<CpuSet>,
}

impl CpuPinning {
    /// Pins to one of the processors that this thread may use; runs beside each other get different ones, as far as there
    /// are enough.
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
        // The process id lets programs beside each other begin at different processors.
        let turn = std::process::id() as usize + PINNED_RUNS.fetch_add(1, Ordering::Relaxed);
        let mut chosen = CpuSet::new();
        chosen.set(allowed[turn % allowed.len()]);
        let is_pinned = sched_setaffinity(None, &chosen).is_ok();
        Self {
            previous: is_pinned.then_some(previous),
        }
    }
}

impl Drop for CpuPinning {
    fn drop(&mut self) {
        if let Some(previous) = &self.previous {
            // Nothing is lost if this fails: the thread stays on one processor.
            let _ = sched_setaffinity(None, previous);
        }
    }
}

#[cfg(test)]
mod tests;

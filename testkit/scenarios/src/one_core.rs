//! A rehearsal in steps is one thing after the other, by turns in many processes: on one processor its turns change
//! without waking another, which doubles its pace, and what goes over loopback comes in the order in which it was sent.

use std::sync::atomic::{AtomicUsize, Ordering};

use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};

/// The next of the processors that rehearsals of this process go to, by turns.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// This thread, and the processes that it starts, are on one processor until this is dropped; where the system does not
/// allow that they stay where they are.
pub struct OneCore {
    before: Option<CpuSet>,
}

impl OneCore {
    /// Goes to one of the processors that this thread may use: another one for each rehearsal that goes on beside it, as
    /// far as there are any.
    pub fn take() -> Self {
        let Ok(before) = sched_getaffinity(None) else {
            return Self { before: None };
        };
        let allowed: Vec<usize> = (0..CpuSet::MAX_CPU)
            .filter(|cpu| before.is_set(*cpu))
            .collect();
        if allowed.len() < 2 {
            return Self { before: None };
        }
        // Programs beside each other begin at different ones.
        let turn = std::process::id() as usize + NEXT.fetch_add(1, Ordering::Relaxed);
        let mut one = CpuSet::new();
        one.set(allowed[turn % allowed.len()]);
        Self {
            before: sched_setaffinity(None, &one).is_ok().then_some(before),
        }
    }
}

impl Drop for OneCore {
    fn drop(&mut self) {
        if let Some(before) = &self.before {
            let _ = sched_setaffinity(None, before);
        }
    }
}

#[cfg(test)]
mod tests;

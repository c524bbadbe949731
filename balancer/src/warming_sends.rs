//! Work sent to one backend while it warms up.

use std::collections::VecDeque;

use crate::api::Nanos;

/// A send to a warming backend.
struct WarmingSend {
    sent_at: Nanos,
    work: f64,
}

/// Sends to one backend while it warms up, oldest first.
#[derive(Default)]
pub(crate) struct WarmingSends {
    sends: VecDeque<WarmingSend>,
}

impl WarmingSends {
    /// Counts a send of so much work.
    pub(crate) fn record(&mut self, now: Nanos, work: f64) {
        self.sends.push_back(WarmingSend { sent_at: now, work });
    }

    /// Work sent since that time, in nanoseconds on a standard core.
    pub(crate) fn work_since(&self, since: Nanos) -> f64 {
        self.sends
            .iter()
            .rev()
            .take_while(|send| send.sent_at >= since)
            .map(|send| send.work)
            .sum()
    }
}

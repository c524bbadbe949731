//! Requests sent to one backend while it warms up, with their expected service times.

use std::collections::VecDeque;

use crate::api::Nanos;

/// A send to a warming backend.
struct WarmingSend {
    sent_at: Nanos,
    service_time: f64,
}

/// Sends to one backend while it warms up, oldest first.
#[derive(Default)]
pub(crate) struct WarmingSends {
    sends: VecDeque<WarmingSend>,
}

impl WarmingSends {
    /// Records a send now, by the request's expected service time in nanoseconds.
    pub(crate) fn record(&mut self, now: Nanos, service_time: f64) {
        self.sends.push_back(WarmingSend {
            sent_at: now,
            service_time,
        });
    }

    /// Sum of the service times sent at `since` or later, in nanoseconds on a standard core.
    pub(crate) fn service_time_since(&self, since: Nanos) -> f64 {
        self.sends
            .iter()
            .rev()
            .take_while(|send| send.sent_at >= since)
            .map(|send| send.service_time)
            .sum()
    }
}

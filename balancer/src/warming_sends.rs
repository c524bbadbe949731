//! Requests sent to one backend while it warms up, with their expected service times. One that is being uploaded is
//! reserved: it becomes work of the moment in which its body is complete, or none.

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
    /// Service time of the requests that are being uploaded, in nanoseconds.
    reserved: f64,
}

impl WarmingSends {
    /// Records a send now, by the request's expected service time in nanoseconds.
    pub(crate) fn record(&mut self, now: Nanos, service_time: f64) {
        self.sends.push_back(WarmingSend {
            sent_at: now,
            service_time,
        });
    }

    /// Reserves the service time of a request that is being uploaded.
    pub(crate) fn reserve(&mut self, service_time: f64) {
        self.reserved += service_time;
    }

    /// Ends a reservation: the upload is complete, or has ended before.
    pub(crate) fn release(&mut self, service_time: f64) {
        // The backend may have restarted since, and started again without reservations.
        self.reserved = (self.reserved - service_time).max(0.0);
    }

    /// Service time that is reserved or was sent at `since` or later, in nanoseconds on a standard core.
    pub(crate) fn consumed_since(&self, since: Nanos) -> f64 {
        self.reserved + self.service_time_since(since)
    }

    /// Sum of the service times sent at `since` or later, in nanoseconds on a standard core.
    fn service_time_since(&self, since: Nanos) -> f64 {
        self.sends
            .iter()
            .rev()
            .take_while(|send| send.sent_at >= since)
            .map(|send| send.service_time)
            .sum()
    }
}

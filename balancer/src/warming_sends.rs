//! Requests sent to one backend during warm-up, with their expected service times. A request that is being uploaded
//! only reserves budget, because the backend's work on it starts when the body is complete, if at all.

use std::collections::VecDeque;

use crate::api::Nanos;

/// A request sent to a warming backend.
struct WarmingSend {
    sent_at: Nanos,
    service_time: f64,
}

/// Requests sent to one backend during warm-up, oldest first.
#[derive(Default)]
pub(crate) struct WarmingSends {
    sends: VecDeque<WarmingSend>,
    /// Service time reserved for requests that are being uploaded, in nanoseconds.
    reserved: f64,
}

impl WarmingSends {
    /// Records a request sent at `now` with its expected service time in nanoseconds.
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

    /// Releases the reservation of an upload that is complete or has ended early.
    pub(crate) fn release(&mut self, service_time: f64) {
        // A restart of the backend since then has cleared all reservations.
        self.reserved = (self.reserved - service_time).max(0.0);
    }

    /// Service time that is reserved or was sent at `since` or later, in nanoseconds on a standard core.
    pub(crate) fn consumed_since(&self, since: Nanos) -> f64 {
        self.reserved + self.service_time_since(since)
    }

    /// Service time sent at `since` or later, in nanoseconds on a standard core.
    fn service_time_since(&self, since: Nanos) -> f64 {
        self.sends
            .iter()
            .rev()
            .take_while(|send| send.sent_at >= since)
            .map(|send| send.service_time)
            .sum()
    }
}

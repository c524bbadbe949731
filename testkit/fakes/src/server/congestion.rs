//! Congestion: a queue that stays long slows the server down until the server has been mostly idle for a while.

use badgerpost_time::Nanos;

/// When a server becomes congested, how much it slows down, and when it recovers.
#[derive(Clone, Copy, Debug)]
pub struct CongestionConfig {
    /// The queue length, in requests, from which the server becomes congested.
    pub queue_threshold: usize,
    /// How long the queue must have at least that length before the server becomes congested.
    pub onset: Nanos,
    /// The divisor of the speed of a congested server.
    pub slowdown: f64,
    /// How long the queue must be empty, with at most a quarter of the slots in use, before the server recovers.
    pub recovery: Nanos,
}

#[derive(Debug, Default)]
pub(super) struct CongestionState {
    is_congested: bool,
    /// Since when the condition for the opposite state has held; `None` while it does not hold.
    condition_met_since: Option<Nanos>,
}

impl CongestionState {
    pub(super) fn is_congested(&self) -> bool {
        self.is_congested
    }

    /// Updates the state from the current queue length and use of slots.
    pub(super) fn update(
        &mut self,
        config: &CongestionConfig,
        now: Nanos,
        queue_length: usize,
        is_mostly_idle: bool,
    ) {
        let (is_condition_met, required_duration) = if self.is_congested {
            (is_mostly_idle, config.recovery)
        } else {
            (queue_length >= config.queue_threshold, config.onset)
        };
        if !is_condition_met {
            self.condition_met_since = None;
            return;
        }
        let since = *self.condition_met_since.get_or_insert(now);
        if now.saturating_sub(since) >= required_duration {
            self.is_congested = !self.is_congested;
            self.condition_met_since = None;
        }
    }
}

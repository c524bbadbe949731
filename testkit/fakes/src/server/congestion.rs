//! Congestion of a server: a queue that stays long slows it down until it has been mostly idle for a while.

use badgerpost_time::Nanos;

/// When a server becomes congested, and what that does to it.
#[derive(Clone, Copy, Debug)]
pub struct CongestionConfig {
    /// A queue of at least this length ...
    pub queue_threshold: usize,
    /// ... for this long congests the server.
    pub onset: Nanos,
    /// The speed is divided by this ...
    pub slowdown: f64,
    /// ... until the queue has been empty, and at most a quarter of the slots in use, for this long.
    pub recovery: Nanos,
}

/// Whether a server is congested, and since when the condition for the opposite has held.
#[derive(Debug, Default)]
pub(super) struct CongestionState {
    is_congested: bool,
    changing_since: Option<Nanos>,
}

impl CongestionState {
    pub(super) fn is_congested(&self) -> bool {
        self.is_congested
    }

    /// Applies the state of the queue and the slots at this time.
    pub(super) fn update(
        &mut self,
        config: &CongestionConfig,
        now: Nanos,
        queue_length: usize,
        is_mostly_idle: bool,
    ) {
        let (is_changing, required) = if self.is_congested {
            (is_mostly_idle, config.recovery)
        } else {
            (queue_length >= config.queue_threshold, config.onset)
        };
        if !is_changing {
            self.changing_since = None;
            return;
        }
        let since = *self.changing_since.get_or_insert(now);
        if now.saturating_sub(since) >= required {
            self.is_congested = !self.is_congested;
            self.changing_since = None;
        }
    }
}

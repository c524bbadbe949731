//! The real-time loop: events are processed when the monotonic clock has reached their time.

use std::time::{Duration, Instant};

use badgerpost_time::{MILLISECOND, Nanos};

use super::{RunError, Runner};

/// The longest wait for sockets.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);
/// How often the processes of the nodes are checked for an exit.
const NODE_CHECK_PERIOD: Nanos = 100 * MILLISECOND;

impl Runner {
    /// Processes the events that are due, and then those of the sockets.
    pub(super) fn real_time_turn(&mut self) -> Result<(), RunError> {
        let now = |started_at: Instant| {
            u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(Nanos::MAX)
        };
        self.measure_stall(now(self.started_at));
        self.finish_starts()?;
        while self
            .simulation
            .next_event_at()
            .is_some_and(|next| next <= now(self.started_at))
        {
            let outcome = self.simulation.step()?;
            self.apply(outcome)?;
        }
        let left = self
            .simulation
            .next_event_at()
            .map_or(Nanos::MAX, |next| next.saturating_sub(now(self.started_at)));
        // The poll has a resolution of milliseconds: less is waited for by polling without a timeout.
        let wait = if left < 2 * MILLISECOND {
            Duration::ZERO
        } else {
            MAX_POLL_WAIT.min(Duration::from_nanos(left - MILLISECOND))
        };
        let mut events = std::mem::take(&mut self.events);
        self.simulation.poll(wait, &mut events)?;
        self.simulation.advance(now(self.started_at));
        events
            .drain(..)
            .for_each(|event| self.simulation.handle_socket_event(event));
        self.events = events;
        if self.simulation.now() >= self.checked_at {
            self.checked_at = self.simulation.now() + NODE_CHECK_PERIOD;
            self.check_exits()?;
        }
        Ok(())
    }

    /// Measures how much later than it should a turn begins: all peers of the nodes stood still meanwhile.
    fn measure_stall(&mut self, now: Nanos) {
        let expected = self.turned_at + MAX_POLL_WAIT.as_nanos() as Nanos;
        if self.turned_at > 0 {
            self.longest_stall = self.longest_stall.max(now.saturating_sub(expected));
        }
        self.turned_at = now;
    }

    /// Runs the simulation in real time until `over`.
    pub fn run_until(&mut self, over: &dyn Fn() -> bool) -> Result<(), RunError> {
        while !over() {
            self.real_time_turn()?;
        }
        Ok(())
    }
}

//! The loop of a run in real time: events are processed when the monotonic clock reaches their time.

use std::time::{Duration, Instant};

use badgerpost_time::{MILLISECOND, Nanos};

use super::{RunError, Runner};

/// The longest wait for socket events in one turn.
const MAX_POLL_WAIT: Duration = Duration::from_millis(20);
/// How often the nodes' processes are checked for an exit.
const EXIT_CHECK_PERIOD: Nanos = 100 * MILLISECOND;

impl Runner {
    /// Processes the events that are due, and then waits for and processes socket events.
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
        let time_to_next = self
            .simulation
            .next_event_at()
            .map_or(Nanos::MAX, |next| next.saturating_sub(now(self.started_at)));
        // Polls have a resolution of milliseconds. For a shorter wait the loop polls without waiting.
        let wait = if time_to_next < 2 * MILLISECOND {
            Duration::ZERO
        } else {
            MAX_POLL_WAIT.min(Duration::from_nanos(time_to_next - MILLISECOND))
        };
        let mut events = std::mem::take(&mut self.events);
        self.simulation.poll(wait, &mut events)?;
        self.simulation.advance(now(self.started_at));
        events
            .drain(..)
            .for_each(|event| self.simulation.handle_socket_event(event));
        self.events = events;
        if self.simulation.now() >= self.next_exit_check {
            self.next_exit_check = self.simulation.now() + EXIT_CHECK_PERIOD;
            self.check_exits()?;
        }
        Ok(())
    }

    /// Records how late a turn begins. No simulated process responds to a node during such a stall.
    fn measure_stall(&mut self, now: Nanos) {
        let expected = self.last_turn_at + MAX_POLL_WAIT.as_nanos() as Nanos;
        if self.last_turn_at > 0 {
            self.longest_stall = self.longest_stall.max(now.saturating_sub(expected));
        }
        self.last_turn_at = now;
    }

    /// Runs the simulation in real time until `is_over` returns true.
    pub fn run_until(&mut self, is_over: &dyn Fn() -> bool) -> Result<(), RunError> {
        while !is_over() {
            self.real_time_turn()?;
        }
        Ok(())
    }
}

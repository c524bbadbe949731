//! Model of a match server: slots, a bounded queue, utilization reports, slow start and congestion. It does no I/O and is
//! told the time.

mod congestion;

use std::collections::{BTreeSet, VecDeque};

use badgerpost_time::Nanos;

pub use congestion::CongestionConfig;
use congestion::CongestionState;

/// Expected requests below this vary more, relative to their number, than a normal distribution's two deviations.
const SMALL_SAMPLE: f64 = 30.0;
/// The lowest share of its speed at which a server that is warming up works.
const MIN_WARMTH: f64 = 0.001;

/// Properties of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Requests that run concurrently, each at full speed.
    pub slots: usize,
    /// Requests that may wait for a slot; beyond this requests are rejected.
    pub queue_limit: usize,
    /// Speed relative to a standard server.
    pub speed: f64,
    /// Share of the speed at which the server starts.
    pub slow_start_capacity: f64,
    /// Time after its start until it is warm; the speed grows linearly until then.
    pub slow_start_duration: Nanos,
    /// A server that is warming up crashes when it is sent more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this length.
    pub overload_window: Nanos,
    /// The mean service time of a request. Where it is set, the server bears as many more requests as chance may bring:
    /// N + 2 * sqrt(N) + 2, N being what the multiple allows, or N + 3 * sqrt(N) + 3 for an N under 30. Such a server runs
    /// at full speed while it is warming up, so that nothing shows before it crashes.
    pub mean_service_time: Option<Nanos>,
    /// Time between two refreshes of the utilization report.
    pub report_period: Nanos,
    /// How the server slows down with a long queue, if it does.
    pub congestion: Option<CongestionConfig>,
}

/// What became of a request that was offered to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs, or waits in the queue.
    Accepted,
    /// The queue is full; the request never runs.
    Rejected,
    /// It has overloaded a server that was warming up, which has crashed with all its requests.
    Crashed,
}

/// Caller's id of a request.
type RequestId = u64;

#[derive(Debug)]
struct QueuedRequest {
    id: RequestId,
    service_time: Nanos,
}

/// A request that was offered during slow start.
#[derive(Debug)]
struct SentRequest {
    at: Nanos,
    service_time: Nanos,
}

/// State of one server.
#[derive(Debug)]
pub struct Server {
    config: ServerConfig,
    /// When it started; none for long ago.
    started_at: Option<Nanos>,
    /// Running requests by the time of their completion.
    running: BTreeSet<(Nanos, RequestId)>,
    queue: VecDeque<QueuedRequest>,
    slow_start_sends: VecDeque<SentRequest>,
    has_crashed: bool,
    /// Service times are multiplied by this.
    slowdown: f64,
    congestion: CongestionState,
    /// Slot time used since the last report, up to `accounted_until`.
    used_slot_time: Nanos,
    accounted_until: Nanos,
    reported_at: Nanos,
    utilization: f64,
}

impl Server {
    /// A server that started at `started_at`, or long ago.
    pub fn new(config: ServerConfig, started_at: Option<Nanos>, now: Nanos) -> Self {
        Self {
            config,
            started_at,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            slow_start_sends: VecDeque::new(),
            has_crashed: false,
            slowdown: 1.0,
            congestion: CongestionState::default(),
            used_slot_time: 0,
            accounted_until: now,
            reported_at: now,
            utilization: 0.0,
        }
    }

    /// Restarts the process: its requests are lost, and it warms up again.
    pub fn restart(&mut self, now: Nanos) {
        *self = Self {
            slowdown: self.slowdown,
            ..Self::new(self.config, Some(now), now)
        };
    }

    /// Multiplies the service times of requests that start from now on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1.0);
    }

    /// Whether it has crashed from overload during slow start.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Whether it is slow because its queue was long.
    pub fn is_congested(&self) -> bool {
        self.congestion.is_congested()
    }

    fn update_congestion(&mut self, now: Nanos) {
        if let Some(config) = &self.config.congestion {
            let is_mostly_idle =
                self.queue.is_empty() && self.running.len() <= self.config.slots / 4;
            self.congestion
                .update(config, now, self.queue.len(), is_mostly_idle);
        }
    }

    /// The speed at this time, relative to a standard server.
    fn speed(&self, now: Nanos) -> f64 {
        let ServerConfig {
            speed,
            slow_start_capacity,
            slow_start_duration,
            ..
        } = self.config;
        let warmth = self.started_at.map_or(1.0, |started_at| {
            let age = now.saturating_sub(started_at) as f64 / slow_start_duration.max(1) as f64;
            (slow_start_capacity + (1.0 - slow_start_capacity) * age).clamp(MIN_WARMTH, 1.0)
        });
        let congestion = self.config.congestion.filter(|_| self.is_congested());
        let congestion_slowdown = congestion.map_or(1.0, |config| config.slowdown);
        speed * warmth / self.slowdown / congestion_slowdown
    }

    fn is_warming_up(&self, now: Nanos) -> bool {
        self.started_at.is_some_and(|started_at| {
            now.saturating_sub(started_at) < self.config.slow_start_duration
        })
    }

    /// Service time that the server can provide in one overload window at its speed now.
    fn capacity_per_window(&self, now: Nanos) -> f64 {
        self.speed(now) * self.config.slots as f64 * self.config.overload_window as f64
    }

    /// Service time offered in the last overload window, as a multiple of the capacity; none once warm.
    pub fn slow_start_load(&self, now: Nanos) -> Option<f64> {
        let window = self.config.overload_window;
        let recent = self
            .slow_start_sends
            .iter()
            .filter(|sent| now.saturating_sub(sent.at) < window);
        let offered: Nanos = recent.map(|sent| sent.service_time).sum();
        let capacity = self.capacity_per_window(now);
        self.is_warming_up(now).then(|| offered as f64 / capacity)
    }

    /// The load that the server bears at this time, in the unit of [`Server::slow_start_load`].
    fn max_slow_start_load(&self, now: Nanos) -> f64 {
        let multiple = self.config.overload_multiple;
        let Some(mean_service_time) = self.config.mean_service_time else {
            return multiple;
        };
        let expected = multiple * self.capacity_per_window(now) / mean_service_time as f64;
        let deviations = if expected < SMALL_SAMPLE { 3.0 } else { 2.0 };
        let max_requests = expected + deviations * expected.sqrt() + deviations;
        multiple * max_requests / expected
    }

    /// Offers a request. `service_time` is what it takes on a standard server.
    pub fn offer(&mut self, now: Nanos, id: u64, service_time: Nanos) -> Admission {
        self.account_slot_time(now);
        self.update_congestion(now);
        if self.is_warming_up(now) {
            self.record_slow_start_send(now, service_time);
            if self
                .slow_start_load(now)
                .is_some_and(|load| load > self.max_slow_start_load(now))
            {
                self.has_crashed = true;
                self.running.clear();
                self.queue.clear();
                return Admission::Crashed;
            }
        }
        if self.running.len() < self.config.slots {
            self.start_request(now, id, service_time);
        } else if self.queue.len() < self.config.queue_limit {
            self.queue.push_back(QueuedRequest { id, service_time });
        } else {
            return Admission::Rejected;
        }
        self.update_congestion(now);
        Admission::Accepted
    }

    fn record_slow_start_send(&mut self, now: Nanos, service_time: Nanos) {
        self.slow_start_sends.push_back(SentRequest {
            at: now,
            service_time,
        });
        let window = self.config.overload_window;
        while self
            .slow_start_sends
            .front()
            .is_some_and(|sent| now.saturating_sub(sent.at) >= window)
        {
            self.slow_start_sends.pop_front();
        }
    }

    fn start_request(&mut self, now: Nanos, id: RequestId, service_time: Nanos) {
        let speed = match self.config.mean_service_time {
            Some(_) => self.config.speed / self.slowdown,
            None => self.speed(now),
        };
        let duration = (service_time as f64 / speed) as Nanos;
        self.running
            .insert((now.saturating_add(duration.max(1)), id));
    }

    /// When the next request completes.
    pub fn next_completion(&self) -> Option<Nanos> {
        self.running.first().map(|(at, _)| *at)
    }

    /// Takes a request that has completed by now, if there is one; a queued one starts in its slot.
    pub fn take_completed(&mut self, now: Nanos) -> Option<u64> {
        let (at, id) = *self.running.first().filter(|(at, _)| *at <= now)?;
        self.account_slot_time(at);
        self.update_congestion(at);
        self.running.remove(&(at, id));
        if let Some(next) = self.queue.pop_front() {
            self.start_request(at, next.id, next.service_time);
        }
        self.update_congestion(at);
        Some(id)
    }

    /// The share of slots in use, as in the last report.
    pub fn utilization(&mut self, now: Nanos) -> f64 {
        self.account_slot_time(now);
        self.utilization
    }

    /// Adds the slot time used since the last call, and refreshes the report when it is due.
    fn account_slot_time(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.accounted_until);
        self.used_slot_time += elapsed.saturating_mul(self.running.len() as u64);
        self.accounted_until = self.accounted_until.max(now);
        let since_report = now.saturating_sub(self.reported_at);
        if since_report >= self.config.report_period {
            let slot_time = since_report as f64 * self.config.slots as f64;
            self.utilization = self.used_slot_time as f64 / slot_time;
            self.used_slot_time = 0;
            self.reported_at = now;
        }
    }
}

#[cfg(test)]
mod tests;

//! Model of a match server: slots, a bounded queue, utilization reports, slow start and congestion. The model does no
//! I/O; callers pass the current time.

mod congestion;

use std::collections::{BTreeSet, VecDeque};

use badgerpost_time::Nanos;

pub use congestion::CongestionConfig;
use congestion::CongestionState;

/// Below this expected number of requests, three standard deviations are allowed in place of two: a normal
/// distribution approximates small counts poorly.
const SMALL_SAMPLE_REQUESTS: f64 = 30.0;
/// The lowest share of its full speed that a server has during slow start.
const MIN_SLOW_START_CAPACITY: f64 = 0.001;

/// The capacity of a server and its behaviour under load.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// The most requests that run concurrently; they do not slow each other down.
    pub slots: usize,
    /// The most requests that wait for a slot; further ones are rejected.
    pub queue_limit: usize,
    /// Speed relative to a standard server, which has 1.
    pub speed: f64,
    /// Share of the full speed, from 0 to 1, that the server has when it starts.
    pub slow_start_capacity: f64,
    /// Length of slow start, during which the speed grows linearly to the full speed.
    pub slow_start_duration: Nanos,
    /// During slow start the server crashes when the service time offered within `overload_window` exceeds this
    /// multiple of its capacity.
    pub overload_multiple: f64,
    /// Length of the window over which overload is measured.
    pub overload_window: Nanos,
    /// The mean service time of a request. If set, the overload limit allows for random variation of the load: where
    /// `overload_multiple` allows N requests, the limit is N + 2 * sqrt(N) + 2, or N + 3 * sqrt(N) + 3 for an N under
    /// 30. Requests then run at full speed during slow start, so that latencies give no warning before a crash.
    pub mean_service_time: Option<Nanos>,
    /// Interval between updates of the reported utilization.
    pub report_period: Nanos,
    /// How a long queue slows the server down; `None` for no effect.
    pub congestion: Option<CongestionConfig>,
}

/// The result of offering a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request runs or waits in the queue.
    Accepted,
    /// The queue is full: the request never runs.
    Rejected,
    /// The request has overloaded the server during slow start: the server has crashed and lost all its requests.
    Crashed,
}

/// An id that the caller assigns to a request.
type RequestId = u64;

#[derive(Debug)]
struct QueuedRequest {
    id: RequestId,
    service_time: Nanos,
}

/// A request that was offered during slow start.
#[derive(Debug)]
struct SlowStartRequest {
    at: Nanos,
    service_time: Nanos,
}

/// A server that executes requests at the times that the caller passes.
#[derive(Debug)]
pub struct Server {
    config: ServerConfig,
    /// When the server started; `None` if slow start ended long ago.
    started_at: Option<Nanos>,
    /// Running requests by the time of their completion.
    running: BTreeSet<(Nanos, RequestId)>,
    queue: VecDeque<QueuedRequest>,
    slow_start_requests: VecDeque<SlowStartRequest>,
    has_crashed: bool,
    /// Factor on the service times of requests; at least 1.
    slowdown: f64,
    congestion: CongestionState,
    /// Busy time, summed over the slots, from the last report to `accounted_until`.
    used_slot_time: Nanos,
    accounted_until: Nanos,
    reported_at: Nanos,
    utilization: f64,
}

impl Server {
    /// Creates a server that started at `started_at`; `None` skips slow start.
    pub fn new(config: ServerConfig, started_at: Option<Nanos>, now: Nanos) -> Self {
        Self {
            config,
            started_at,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            slow_start_requests: VecDeque::new(),
            has_crashed: false,
            slowdown: 1.0,
            congestion: CongestionState::default(),
            used_slot_time: 0,
            accounted_until: now,
            reported_at: now,
            utilization: 0.0,
        }
    }

    /// Restarts the server: all its requests are lost, and slow start begins again. The slowdown stays.
    pub fn restart(&mut self, now: Nanos) {
        *self = Self {
            slowdown: self.slowdown,
            ..Self::new(self.config, Some(now), now)
        };
    }

    /// Sets the factor on the service times of requests that start from now on; factors below 1 count as 1.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(1.0);
    }

    /// Whether overload during slow start has crashed the server.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed
    }

    /// Whether a long queue has slowed the server down.
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

    /// The current speed relative to a standard server.
    fn speed(&self, now: Nanos) -> f64 {
        let ServerConfig {
            speed,
            slow_start_capacity,
            slow_start_duration,
            ..
        } = self.config;
        let slow_start_factor = self.started_at.map_or(1.0, |started_at| {
            let age = now.saturating_sub(started_at) as f64 / slow_start_duration.max(1) as f64;
            (slow_start_capacity + (1.0 - slow_start_capacity) * age)
                .clamp(MIN_SLOW_START_CAPACITY, 1.0)
        });
        let congestion = self.config.congestion.filter(|_| self.is_congested());
        let congestion_slowdown = congestion.map_or(1.0, |config| config.slowdown);
        speed * slow_start_factor / self.slowdown / congestion_slowdown
    }

    fn is_in_slow_start(&self, now: Nanos) -> bool {
        self.started_at.is_some_and(|started_at| {
            now.saturating_sub(started_at) < self.config.slow_start_duration
        })
    }

    /// Service time that the server can provide within one overload window at its current speed.
    fn capacity_per_window(&self, now: Nanos) -> f64 {
        self.speed(now) * self.config.slots as f64 * self.config.overload_window as f64
    }

    /// Service time offered within the last overload window, as a multiple of the capacity; `None` after slow start.
    pub fn slow_start_load(&self, now: Nanos) -> Option<f64> {
        let window = self.config.overload_window;
        let recent = self
            .slow_start_requests
            .iter()
            .filter(|request| now.saturating_sub(request.at) < window);
        let offered: Nanos = recent.map(|request| request.service_time).sum();
        let capacity = self.capacity_per_window(now);
        self.is_in_slow_start(now)
            .then(|| offered as f64 / capacity)
    }

    /// The load above which the server crashes, in the unit of [`Server::slow_start_load`].
    fn max_slow_start_load(&self, now: Nanos) -> f64 {
        let multiple = self.config.overload_multiple;
        let Some(mean_service_time) = self.config.mean_service_time else {
            return multiple;
        };
        let expected = multiple * self.capacity_per_window(now) / mean_service_time as f64;
        let deviations = if expected < SMALL_SAMPLE_REQUESTS {
            3.0
        } else {
            2.0
        };
        let max_requests = expected + deviations * expected.sqrt() + deviations;
        multiple * max_requests / expected
    }

    /// Offers a request to the server. `service_time` is the time that a standard server needs for it.
    pub fn offer(&mut self, now: Nanos, id: u64, service_time: Nanos) -> Admission {
        self.account_slot_time(now);
        self.update_congestion(now);
        if self.is_in_slow_start(now) {
            self.record_slow_start_request(now, service_time);
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

    fn record_slow_start_request(&mut self, now: Nanos, service_time: Nanos) {
        self.slow_start_requests.push_back(SlowStartRequest {
            at: now,
            service_time,
        });
        let window = self.config.overload_window;
        while self
            .slow_start_requests
            .front()
            .is_some_and(|request| now.saturating_sub(request.at) >= window)
        {
            self.slow_start_requests.pop_front();
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

    /// When the next running request completes; `None` if no request runs.
    pub fn next_completion(&self) -> Option<Nanos> {
        self.running.first().map(|(at, _)| *at)
    }

    /// Removes the earliest request that has completed by `now` and returns its id. The first queued request starts in
    /// its slot.
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

    /// The mean share of slots in use, from 0 to 1, over the period before the last report.
    pub fn utilization(&mut self, now: Nanos) -> f64 {
        self.account_slot_time(now);
        self.utilization
    }

    /// Adds the slot time used since the last call, and updates the reported utilization when that is due.
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

//! The balancer: dispatches events to the modules that own the state, and sets the timer.
//!
//! Reading order of the decisions: `balancer/requests.rs` handles a request from arrival to final answer,
//! `zone_routing.rs` and `endpoint_selection.rs` choose the backend, `retry_safety.rs` decides whether a request
//! may be sent there, `admission.rs` whether a request is admitted, and `outlier_detection.rs` ejects and readmits
//! backends.

mod attempts;
mod requests;
mod retries;
mod stalled_responses;

use crate::admission::Admission;
use crate::api::{
    Action, Discovery, Endpoint, EndpointUpdate, Event, LogEvent, Nanos, Outcome, RequestId,
    Settings, SettingsError, WeightSource, ZoneId,
};
use crate::backend::Backend;
use crate::discovery_polling::DiscoveryPolling;
use crate::endpoint_selection::EndpointSelection;
use crate::fleet::Fleet;
use crate::health_checks::HealthChecks;
use crate::load_feedback::LoadFeedback;
use crate::random::Random;
use crate::request_table::RequestTable;
use crate::retry_budget::RetryBudget;
use crate::retry_safety;
use crate::tuning::SUBSET_SIZE;
use crate::zone::ZoneTransition;
use crate::zone_routing::{ZoneRouting, utilization};
use badgerpost_time::{MILLISECOND, SECOND};

/// Maximum period of the checks on queued requests: short compared to latency objectives of tens of milliseconds,
/// long enough to cost little CPU time.
const QUEUE_CHECK_PERIOD: Nanos = 10 * MILLISECOND;
/// Minimum duration of a timer.
const MIN_TIMER: Nanos = MILLISECOND;
/// Minimum time between two log events.
const LOG_INTERVAL: Nanos = SECOND;

/// The decision state machine of one node. Deterministic: the same settings, seed and events produce the same
/// actions.
pub struct Balancer {
    fleet: Fleet,
    random: Random,
    requests: RequestTable,
    routing: ZoneRouting,
    admission: Admission,
    load_feedback: LoadFeedback,
    retry_budget: RetryBudget,
    discovery: DiscoveryPolling,
    health_checks: HealthChecks,
    next_log_at: Nanos,
    timer_at: Option<Nanos>,
}

impl Balancer {
    /// Creates a balancer without backends. `seed` determines the random draws; `now` is the current time on the
    /// embedder's clock.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            random: Random::new(seed),
            requests: RequestTable::default(),
            routing: ZoneRouting::new(now),
            admission: Admission::new(&settings),
            load_feedback: LoadFeedback::new(),
            retry_budget: RetryBudget::new(&settings),
            discovery: DiscoveryPolling::default(),
            health_checks: HealthChecks::new(),
            next_log_at: 0,
            timer_at: None,
            fleet: Fleet::new(settings, now),
        })
    }

    /// Handles one event and appends the resulting actions to `actions`. A `now` before the latest event's time is
    /// replaced by that time.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.fleet.now = self.fleet.now.max(now);
        self.dispatch_event(event, actions);
        self.requests.prune_queue();
        self.set_timer(actions);
    }

    /// Dispatches an event to the module that handles it.
    fn dispatch_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.start(actions),
            Event::EndpointsUpdated { update, endpoints } => {
                self.update_endpoints(update, endpoints);
            }
            Event::DiscoveryFailed => {
                self.discovery
                    .schedule_poll_backoff(self.fleet.now, &mut self.random);
            }
            Event::RequestArrived(arrival) => self.on_arrival(&arrival, false, actions),
            Event::UploadStarted(arrival) => self.on_arrival(&arrival, true, actions),
            Event::UploadComplete {
                request,
                expires_at,
            } => self.on_upload_complete(request, expires_at),
            Event::BodyConsumed { request } => self.requests.mark_body_consumed(request),
            Event::ResponseAborted { backend } => {
                self.record_for_outlier_detection(backend, Outcome::Reset, actions);
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(&result, actions),
            Event::ResponseStalled {
                request,
                attempt,
                is_replaceable,
            } => self.on_response_stalled(request, attempt, is_replaceable, actions),
            Event::ResponseStarted { request } => self.requests.mark_streaming(request),
            Event::HealthCheckEnded {
                backend, report, ..
            } => {
                if let Some(state) = self.fleet.backends.get_mut(backend) {
                    state.record_report(self.fleet.now, report);
                }
            }
            Event::ClientDisconnected { request } => self.requests.finish(request),
            Event::ZoneShareChanged { zone, share } => {
                self.on_zone_share_changed(zone, share, actions);
            }
            Event::ZoneProbeRequested { zone, timeout } => {
                if let Some(state) = self.fleet.zones.get_mut(zone) {
                    state.request_probe(timeout);
                }
            }
            Event::TimerFired { .. } => self.on_timer(actions),
        }
    }

    /// Number of listed backends that receive no new requests now, or trial requests only: draining, ejected and
    /// half-open backends, and those paused after rejecting a request.
    pub fn avoided_backend_count(&self, now: Nanos) -> usize {
        self.fleet.backends.count_avoided(now)
    }

    /// Number of requests that the balancer tracks: open ones, and ended ones with an attempt in flight.
    pub fn tracked_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Whether an attempt may still be written at the time `now`. The embedder asks once the connection is
    /// established, because connecting can take longer than the window for which backends remember idempotency
    /// keys.
    pub fn may_write(&self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let at = now.max(self.fleet.now);
        self.requests.get(id).is_some_and(|request| {
            retry_safety::may_write(&self.fleet.settings, request, attempt as usize, at)
        })
    }

    /// Handles the start of the node.
    fn start(&mut self, actions: &mut Vec<Action>) {
        self.retry_budget.fill();
        if self.fleet.settings.discovery == Discovery::Polled {
            actions.push(Action::WatchEndpoints);
        }
    }

    /// Applies an endpoint list.
    fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        let is_current = update != EndpointUpdate::Cached;
        if is_current {
            self.discovery.reset_backoff();
        }
        let is_load_adjusted = self.fleet.settings.weight_source == WeightSource::LoadAdjusted;
        self.fleet
            .backends
            .apply(update, endpoints, is_load_adjusted, &self.random);
        for (zone, state) in self.fleet.zones.iter_mut() {
            state.set_endpoint_ranks(self.fleet.backends.subset_ranks(zone), SUBSET_SIZE);
        }
        if is_load_adjusted && is_current {
            self.load_feedback
                .apply_load_adjusted_sizes(&mut self.fleet);
            self.update_spill_and_admission();
        }
    }

    /// Corrects the spilled and the admitted fraction by the latest load data.
    fn update_spill_and_admission(&mut self) {
        let target = self.routing.best_overflow_zone();
        self.admission
            .update_spill_and_admission(&self.fleet, &self.load_feedback, target);
    }

    /// Applies a zone's new traffic share.
    fn on_zone_share_changed(&mut self, zone: ZoneId, share: f64, actions: &mut Vec<Action>) {
        let transition = self
            .fleet
            .zones
            .get_mut(zone)
            .map(|state| state.set_traffic_share(share));
        match transition {
            Some(ZoneTransition::Closed) => self.on_zone_closed(zone, actions),
            Some(ZoneTransition::Reopened) => self.on_zone_reopened(zone),
            Some(ZoneTransition::Unchanged) | None => {}
        }
        self.dispatch_queued(actions);
    }

    /// Handles the closing of a zone: open requests there may be hedged in other zones.
    fn on_zone_closed(&mut self, zone: ZoneId, actions: &mut Vec<Action>) {
        if zone == self.fleet.local_zone() {
            // The admitted fractions derived from the local zone's responses do not apply to the other zones.
            self.fleet.classes.reset_rates();
            self.admission.reset_admitted_fractions();
        }
        self.hedge_out_of_closed_zone(zone, actions);
    }

    /// Handles the reopening of a zone.
    fn on_zone_reopened(&mut self, zone: ZoneId) {
        let backends = self.fleet.backends.values_mut();
        backends
            .filter(|backend| backend.zone() == zone)
            .for_each(Backend::reset_after_zone_reopened);
    }

    /// Handles the timer.
    fn on_timer(&mut self, actions: &mut Vec<Action>) {
        if self.discovery.take_due_poll(self.fleet.now) {
            actions.push(Action::WatchEndpoints);
        }
        self.refresh(actions);
        self.dispatch_queued(actions);
        self.end_expired(actions);
    }

    /// Updates state derived from measurements, if due: class values, capacities, zone scores and admission.
    fn refresh(&mut self, actions: &mut Vec<Action>) {
        let now = self.fleet.now;
        if !self.routing.is_scoring_due(now) {
            return;
        }
        self.routing.schedule_scoring(now, &mut self.random);
        self.health_checks.run(&mut self.fleet, actions);
        self.admission.update_class_values(&self.fleet);
        self.fleet.measure_capacity();
        for (_, zone) in self.fleet.zones.iter_mut() {
            zone.age_min_latency();
        }
        self.routing.score_zones(&self.fleet);
        self.apply_report_feedback();
        if self.fleet.settings.is_large_fleet() {
            self.admission
                .update_admitted_fractions(&self.fleet, &self.load_feedback);
        }
        if let Some(event) = self.routing.update_spilling(&self.fleet) {
            self.log(actions, event);
        }
    }

    /// Derives the zones' load from load reports, if due.
    fn apply_report_feedback(&mut self) {
        let settings = &self.fleet.settings;
        if !self
            .load_feedback
            .is_report_feedback_due(settings, self.fleet.now)
        {
            return;
        }
        let zones = (0..settings.zone_count).map(ZoneId);
        let utilizations: Vec<Option<f64>> =
            zones.map(|zone| utilization(&self.fleet, zone)).collect();
        self.load_feedback
            .apply_reports(&mut self.fleet, &utilizations);
        self.update_spill_and_admission();
    }

    /// Logs an event, unless another one was logged within [`LOG_INTERVAL`].
    fn log(&mut self, actions: &mut Vec<Action>, event: LogEvent) {
        if self.fleet.now >= self.next_log_at {
            self.next_log_at = self.fleet.now + LOG_INTERVAL;
            actions.push(Action::Log(event));
        }
    }

    /// The state that endpoint selection reads.
    fn selection(&self) -> EndpointSelection<'_> {
        EndpointSelection {
            fleet: &self.fleet,
            admission: &self.admission,
            random: &self.random,
        }
    }

    /// Period of the checks on queued requests.
    fn queue_check_period(&self) -> Nanos {
        let settings = &self.fleet.settings;
        QUEUE_CHECK_PERIOD
            .min(settings.rules.answer_grace / 2)
            .max(settings.timer_resolution)
            .max(MIN_TIMER)
    }

    /// Sets the next timer, only if something waits for one: with many nodes, timers that always run cost more than
    /// all requests together.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.fleet.now;
        let queue_check =
            (!self.requests.queued().is_empty()).then(|| now + self.queue_check_period());
        let poll = self
            .discovery
            .next_poll_at()
            .map(|at| at.max(now + MIN_TIMER));
        let Some(next) = queue_check.into_iter().chain(poll).min() else {
            return;
        };
        if self.timer_at.is_none_or(|at| at <= now || next < at) {
            self.timer_at = Some(next);
            actions.push(Action::SetTimer {
                after: next - now,
                token: 0,
            });
        }
    }
}

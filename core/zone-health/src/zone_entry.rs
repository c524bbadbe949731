//! All that a monitor keeps about one zone.

use crate::event::{ListedServer, OverrideMode, ZoneOverride};
use crate::evidence::{AttemptResult, OutstandingAttempt};
use crate::observation_publisher::ObservationPublisher;
use crate::recovery_probes::ProbeContext;
use crate::share_publisher::SharePublisher;
use crate::traffic_division::ZoneCapacity;
use crate::zone_state::ZoneState;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// How long a reported utilization is used.
const UTILIZATION_LIFETIME: Nanos = 4 * SECOND;
/// A usable response within this time refutes the other nodes' evidence of silence.
const RECENT_SUCCESS_PERIOD: Nanos = 100 * MILLISECOND;
/// Weight of the newest report in the smoothed utilization.
const UTILIZATION_EWMA_WEIGHT: f64 = 0.1;
/// Greatest utilization that is plausible.
const MAXIMUM_UTILIZATION: f64 = 2.0;

/// Smoothed utilization of a zone's cores.
#[derive(Clone, Copy)]
struct Utilization {
    value: f64,
    /// When it was last reported, on the caller's clock.
    reported_at: Nanos,
}

/// One zone: state, servers, utilization, override, and what was published about it.
pub(crate) struct ZoneEntry {
    /// The state that follows from the evidence.
    pub(crate) state: ZoneState,
    server_count: u32,
    /// Sum of the servers' sizes.
    capacity: f64,
    utilization: Option<Utilization>,
    zone_override: Option<ZoneOverride>,
    /// The share that was last published to the caller.
    pub(crate) share_publisher: SharePublisher,
    /// The observation that was last sent to the other nodes.
    pub(crate) observation_publisher: ObservationPublisher,
}

impl ZoneEntry {
    /// A healthy zone without servers, for this number of request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            state: ZoneState::new(class_count),
            server_count: 0,
            capacity: 0.0,
            utilization: None,
            zone_override: None,
            share_publisher: SharePublisher::default(),
            observation_publisher: ObservationPublisher::default(),
        }
    }

    /// Number of servers in service.
    pub(crate) fn server_count(&self) -> u32 {
        self.server_count
    }

    /// Replaces the servers in service.
    pub(crate) fn set_servers<'a>(
        &mut self,
        awake_now: Nanos,
        servers: impl Iterator<Item = &'a ListedServer> + Clone,
    ) {
        let had_servers = self.server_count > 0;
        self.server_count = u32::try_from(servers.clone().count()).unwrap_or(u32::MAX);
        if !had_servers && self.server_count > 0 {
            self.state.recover_with_new_servers(awake_now);
        }
        self.capacity = servers.map(|server| server.capacity).sum();
    }

    /// Records a usable response that took `slowdown` times as long as usual.
    pub(crate) fn record_success(
        &mut self,
        awake_now: Nanos,
        attempt: &OutstandingAttempt,
        slowdown: f64,
        baseline_failure_rate: f64,
    ) {
        let evidence = &mut self.state.evidence;
        evidence.record_success(awake_now, slowdown);
        evidence.record_result(
            awake_now,
            attempt,
            AttemptResult::Success,
            baseline_failure_rate,
        );
        self.state
            .record_successful_attempt(awake_now, self.server_count);
    }

    /// Records an error response. It is a response all the same: the zone is not silent.
    pub(crate) fn record_error(
        &mut self,
        awake_now: Nanos,
        attempt: &OutstandingAttempt,
        baseline_failure_rate: f64,
        probes: ProbeContext,
    ) {
        let evidence = &mut self.state.evidence;
        evidence.record_response(awake_now);
        evidence.record_result(
            awake_now,
            attempt,
            AttemptResult::ErrorResponse,
            baseline_failure_rate,
        );
        self.state.record_failed_attempt(awake_now, probes);
    }

    /// Records a connection that could not be established, or broke.
    pub(crate) fn record_connection_failure(
        &mut self,
        awake_now: Nanos,
        attempt: &OutstandingAttempt,
        baseline_failure_rate: f64,
        probes: ProbeContext,
    ) {
        self.state.evidence.record_result(
            awake_now,
            attempt,
            AttemptResult::ConnectionFailed,
            baseline_failure_rate,
        );
        self.state.record_failed_attempt(awake_now, probes);
    }

    /// Evidence of failures, of this node alone.
    pub(crate) fn failure_evidence(&self, awake_now: Nanos) -> f64 {
        self.state
            .evidence
            .failure_evidence(awake_now, self.server_count)
    }

    /// Whether a usable response came a moment ago.
    pub(crate) fn has_recent_success(&self, awake_now: Nanos) -> bool {
        self.state
            .evidence
            .has_success_within(awake_now, RECENT_SUCCESS_PERIOD)
    }

    /// Takes a server's report of its utilization into account, if it is plausible.
    pub(crate) fn record_utilization(&mut self, now: Nanos, reported: f64) {
        if !(0.0..=MAXIMUM_UTILIZATION).contains(&reported) {
            return;
        }
        let average = self
            .utilization
            .map_or(reported, |utilization| utilization.value);
        self.utilization = Some(Utilization {
            value: average + UTILIZATION_EWMA_WEIGHT * (reported - average),
            reported_at: now,
        });
    }

    /// The utilization, if it was reported lately.
    fn recent_utilization(&self, now: Nanos) -> Option<f64> {
        self.utilization
            .filter(|utilization| now < utilization.reported_at + UTILIZATION_LIFETIME)
            .map(|utilization| utilization.value)
    }

    /// Sets the operators' override, or ends it.
    pub(crate) fn set_override(&mut self, zone_override: Option<ZoneOverride>) {
        self.zone_override = zone_override;
    }

    /// When the override ends or has ended, if there is one.
    pub(crate) fn override_until(&self) -> Option<Nanos> {
        self.zone_override.map(|zone_override| zone_override.until)
    }

    /// The override in force, if any.
    pub(crate) fn active_override(&self, now: Nanos) -> Option<OverrideMode> {
        self.zone_override
            .filter(|zone_override| now < zone_override.until)
            .map(|zone_override| zone_override.mode)
    }

    /// Whether the zone can take requests that another zone does not.
    pub(crate) fn can_take_traffic(&self, now: Nanos) -> bool {
        self.server_count > 0
            && self.active_override(now) != Some(OverrideMode::ForceEjected)
            && self.state.traffic_fraction() > 0.0
    }

    /// The fraction of its usual requests that the zone gets, by override or by its state.
    pub(crate) fn traffic_fraction(&self, now: Nanos) -> f64 {
        match self.active_override(now) {
            Some(OverrideMode::ForceEjected) => 0.0,
            Some(OverrideMode::ForceHealthy) => 1.0,
            None => self.state.traffic_fraction(),
        }
    }

    /// The zone's capacity for requests that the local zone does not take.
    pub(crate) fn spill_capacity(&self, now: Nanos, is_local: bool) -> ZoneCapacity {
        let fraction = self.traffic_fraction(now);
        ZoneCapacity {
            capacity: self.capacity * fraction,
            utilization: self.recent_utilization(now),
            is_available: !is_local && fraction > 0.0,
        }
    }
}

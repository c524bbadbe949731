//! State, servers, utilization and publication records of one zone.

use crate::event::{ListedServer, OverrideMode, ZoneOverride};
use crate::evidence::{AttemptResult, OutstandingAttempt};
use crate::observation_publisher::ObservationPublisher;
use crate::recovery_probes::ProbeContext;
use crate::share_publisher::SharePublisher;
use crate::traffic_division::ZoneCapacity;
use crate::zone_state::ZoneState;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// How long a reported utilization stays valid.
const UTILIZATION_LIFETIME: Nanos = 4 * SECOND;
/// A usable response within this period refutes the other nodes' evidence of silence.
const RECENT_SUCCESS_PERIOD: Nanos = 100 * MILLISECOND;
/// Weight of the newest report in the utilization, an exponentially weighted moving average.
const UTILIZATION_EWMA_WEIGHT: f64 = 0.1;
/// Highest plausible utilization. Higher reports are ignored.
const MAXIMUM_UTILIZATION: f64 = 2.0;

/// Moving average of the utilization of a zone's cores.
#[derive(Clone, Copy)]
struct Utilization {
    value: f64,
    /// Time of the last report, on the caller's clock.
    reported_at: Nanos,
}

/// Everything that the monitor stores about one zone.
pub(crate) struct ZoneEntry {
    /// State machine driven by the evidence.
    pub(crate) state: ZoneState,
    server_count: u32,
    /// Sum of the servers' relative capacities.
    capacity: f64,
    utilization: Option<Utilization>,
    zone_override: Option<ZoneOverride>,
    /// Publishes the zone's share to the caller.
    pub(crate) share_publisher: SharePublisher,
    /// Selects the observations of the zone that are sent to the other nodes.
    pub(crate) observation_publisher: ObservationPublisher,
}

impl ZoneEntry {
    /// Creates a healthy zone without servers, for `class_count` request classes.
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

    /// Replaces the servers in service. An ejected zone that had no servers starts its recovery.
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

    /// Records a usable response. `slowdown` is the response time relative to the class's median.
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

    /// Records an error response, which is evidence of failures but ends any silence of the zone.
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

    /// Records an attempt whose connection could not be established, or broke.
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

    /// Evidence of failures from this node's own attempts.
    pub(crate) fn failure_evidence(&self, awake_now: Nanos) -> f64 {
        self.state
            .evidence
            .failure_evidence(awake_now, self.server_count)
    }

    /// Whether a usable response came within [`RECENT_SUCCESS_PERIOD`].
    pub(crate) fn has_recent_success(&self, awake_now: Nanos) -> bool {
        self.state
            .evidence
            .has_success_within(awake_now, RECENT_SUCCESS_PERIOD)
    }

    /// Adds a server's reported utilization to the moving average, unless the value is implausible.
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

    /// The utilization, if a report came within [`UTILIZATION_LIFETIME`].
    fn recent_utilization(&self, now: Nanos) -> Option<f64> {
        self.utilization
            .filter(|utilization| now < utilization.reported_at + UTILIZATION_LIFETIME)
            .map(|utilization| utilization.value)
    }

    /// Sets the operators' override; none ends the current one.
    pub(crate) fn set_override(&mut self, zone_override: Option<ZoneOverride>) {
        self.zone_override = zone_override;
    }

    /// When the override ends or ended; none without an override.
    pub(crate) fn override_until(&self) -> Option<Nanos> {
        self.zone_override.map(|zone_override| zone_override.until)
    }

    /// The override in force at `now`, if any.
    pub(crate) fn active_override(&self, now: Nanos) -> Option<OverrideMode> {
        self.zone_override
            .filter(|zone_override| now < zone_override.until)
            .map(|zone_override| zone_override.mode)
    }

    /// Whether the zone has servers, is not force-ejected, and is neither suspected nor ejected.
    pub(crate) fn can_take_traffic(&self, now: Nanos) -> bool {
        self.server_count > 0
            && self.active_override(now) != Some(OverrideMode::ForceEjected)
            && self.state.traffic_fraction() > 0.0
    }

    /// Fraction of the zone's full share that the override, or else the state, allows; from 0 to 1.
    pub(crate) fn traffic_fraction(&self, now: Nanos) -> f64 {
        match self.active_override(now) {
            Some(OverrideMode::ForceEjected) => 0.0,
            Some(OverrideMode::ForceHealthy) => 1.0,
            None => self.state.traffic_fraction(),
        }
    }

    /// The zone's capacity for requests that spill from the local zone. The local zone itself is never available.
    pub(crate) fn spill_capacity(&self, now: Nanos, is_local: bool) -> ZoneCapacity {
        let fraction = self.traffic_fraction(now);
        ZoneCapacity {
            capacity: self.capacity * fraction,
            utilization: self.recent_utilization(now),
            is_available: !is_local && fraction > 0.0,
        }
    }
}

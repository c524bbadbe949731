//! Transitions of the state machine, caused by constructed evidence snapshots.

use super::*;
use crate::recovery::{RECOVERY_FRACTIONS, STEP_BACK_DELAY, STEP_BACK_THRESHOLD, STEP_PERIOD};
use crate::suspicion::SUSPICION_PERIOD;
use badgerpost_time::MILLISECOND;

const START: Nanos = 100 * SECOND;
/// Context of a node that shares the recovery probes with no other node and adds no random delay.
const PROBES: ProbeContext = ProbeContext {
    probing_nodes: 1.0,
    random_fraction: 0.0,
};
const NO_EVIDENCE: EvidenceSnapshot = EvidenceSnapshot {
    silence: 0.0,
    tolerant_silence: 0.0,
    failures: 0.0,
    has_alternative: true,
    silent_duration: 0,
    peers: None,
    has_recent_success: false,
    own_evidence: 0.0,
};
const SILENCE: EvidenceSnapshot = EvidenceSnapshot {
    silence: SUSPECT_THRESHOLD,
    tolerant_silence: SUSPECT_THRESHOLD,
    own_evidence: SUSPECT_THRESHOLD,
    ..NO_EVIDENCE
};

fn healthy_zone() -> ZoneState {
    ZoneState::new(1)
}

/// A zone that is suspected of silence from [`START`].
fn suspected_zone() -> ZoneState {
    let mut zone = healthy_zone();
    zone.assess(START, SILENCE, PROBES);
    assert_eq!(zone.observed_state(START), ObservedState::Suspected);
    zone
}

/// A zone that is ejected for silence, with the time of the ejection.
fn ejected_zone() -> (ZoneState, Nanos) {
    let mut zone = suspected_zone();
    let ejected_at = START + SUSPICION_PERIOD;
    zone.assess(ejected_at, SILENCE, PROBES);
    assert!(matches!(zone.stage, ZoneStage::Ejected(_)));
    (zone, ejected_at)
}

#[test]
fn a_healthy_zone_is_not_suspected_below_the_threshold() {
    let mut zone = healthy_zone();
    let below_threshold = EvidenceSnapshot {
        silence: SUSPECT_THRESHOLD - 0.1,
        ..SILENCE
    };
    zone.assess(START, below_threshold, PROBES);
    assert!(zone.is_healthy());
}

#[test]
fn the_last_zone_is_suspected_only_after_a_long_silence() {
    let mut zone = healthy_zone();
    let without_alternative = EvidenceSnapshot {
        has_alternative: false,
        silent_duration: MAXIMUM_SUSPICION_PERIOD - 1,
        ..SILENCE
    };
    zone.assess(START, without_alternative, PROBES);
    assert!(zone.is_healthy());
    let after_long_silence = EvidenceSnapshot {
        silent_duration: MAXIMUM_SUSPICION_PERIOD,
        ..without_alternative
    };
    zone.assess(START, after_long_silence, PROBES);
    assert_eq!(zone.observed_state(START), ObservedState::Suspected);
}

#[test]
fn a_response_withdraws_a_suspicion_of_silence() {
    let mut zone = suspected_zone();
    zone.evidence.record_success(START, 1.0);
    zone.assess(START + MILLISECOND, NO_EVIDENCE, PROBES);
    assert!(zone.is_healthy());
}

#[test]
fn a_suspicion_ejects_the_zone_only_after_its_period() {
    let mut zone = suspected_zone();
    zone.assess(START + SUSPICION_PERIOD - 1, SILENCE, PROBES);
    assert_eq!(zone.observed_state(START), ObservedState::Suspected);
    zone.assess(START + SUSPICION_PERIOD, SILENCE, PROBES);
    assert!(matches!(zone.stage, ZoneStage::Ejected(_)));
    assert_eq!(zone.traffic_fraction(), 0.0);
}

#[test]
fn an_ejected_zone_recovers_after_enough_successful_probes() {
    let (mut zone, ejected_at) = ejected_zone();
    let probed_at = ejected_at + SECOND;
    zone.record_successful_attempt(probed_at, 10);
    zone.record_successful_attempt(probed_at, 10);
    assert_eq!(zone.reason(), ZoneStateReason::Probing);
    zone.record_failed_attempt(probed_at, PROBES);
    assert!(matches!(zone.reason(), ZoneStateReason::Silent { .. }));
    for _ in 0..3 {
        assert_eq!(zone.traffic_fraction(), 0.0);
        zone.record_successful_attempt(probed_at, 10);
    }
    assert_eq!(zone.traffic_fraction(), RECOVERY_FRACTIONS[0]);
}

#[test]
fn each_ejection_doubles_the_time_to_the_first_probe() {
    let (mut zone, first_ejected_at) = ejected_zone();
    let first_probe_at = zone.next_assessment_at().unwrap();
    zone.recover_with_new_servers(first_probe_at);
    zone.assess(first_probe_at, SILENCE, PROBES);
    let second_probe_at = zone.next_assessment_at().unwrap();
    assert_eq!(
        second_probe_at - first_probe_at,
        2 * (first_probe_at - first_ejected_at)
    );
}

#[test]
fn a_recovering_zone_needs_a_response_in_each_step_and_ends_healthy() {
    let (mut zone, ejected_at) = ejected_zone();
    let mut now = ejected_at + SECOND;
    zone.recover_with_new_servers(now);
    assert_eq!(zone.slowdown_tolerance(), RESTART_SLOWDOWN_TOLERANCE);
    for fraction in RECOVERY_FRACTIONS {
        now += STEP_PERIOD;
        zone.assess(now, NO_EVIDENCE, PROBES);
        assert_eq!(zone.traffic_fraction(), fraction, "no response yet");
        zone.evidence.record_success(now, 1.0);
        zone.assess(now, NO_EVIDENCE, PROBES);
    }
    assert!(zone.is_healthy());
    assert_eq!(zone.slowdown_tolerance(), SLOWDOWN_TOLERANCE);
}

#[test]
fn a_recovering_zone_goes_back_a_step_on_evidence_and_is_ejected_on_more() {
    let (mut zone, ejected_at) = ejected_zone();
    let mut now = ejected_at + SECOND;
    zone.recover_with_new_servers(now);
    zone.evidence.record_success(now, 1.0);
    now += STEP_PERIOD;
    zone.assess(now, NO_EVIDENCE, PROBES);
    assert_eq!(zone.traffic_fraction(), RECOVERY_FRACTIONS[1]);
    let some_silence = EvidenceSnapshot {
        tolerant_silence: STEP_BACK_THRESHOLD,
        ..NO_EVIDENCE
    };
    now += STEP_BACK_DELAY;
    zone.assess(now, some_silence, PROBES);
    assert_eq!(zone.traffic_fraction(), RECOVERY_FRACTIONS[0]);
    zone.assess(now, SILENCE, PROBES);
    assert!(matches!(zone.stage, ZoneStage::Ejected(_)));
}

#[test]
fn failures_common_to_all_zones_restore_the_zone_and_are_ignored_for_a_period() {
    let mut zone = healthy_zone();
    let failures = EvidenceSnapshot {
        failures: 10.0,
        own_evidence: 10.0,
        ..NO_EVIDENCE
    };
    zone.assess(START, failures, PROBES);
    assert!(!zone.is_healthy());
    assert!(!zone.is_failure_common(COMMON_FAILURE_RATE / 2.0));
    assert!(zone.is_failure_common(COMMON_FAILURE_RATE));
    zone.restore_and_ignore_failures(START);
    zone.assess(START + IGNORED_FAILURES_PERIOD - 1, failures, PROBES);
    assert!(zone.is_healthy());
    zone.assess(START + IGNORED_FAILURES_PERIOD, failures, PROBES);
    assert!(!zone.is_healthy());
}

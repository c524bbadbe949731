//! Summaries of observations from several nodes, zones and ages.

use super::*;
use crate::observation::{ObservedState, evidence_to_hundredths};
use crate::peer_summary::EVIDENCE_LIFETIME;

const NOW: Nanos = 100 * SECOND;
const ZONE_A: GossipZone = GossipZone(0);
const ZONE_B: GossipZone = GossipZone(1);
const ZONE_C: GossipZone = GossipZone(2);
/// Observation of a node that has neither evidence nor responses of its own.
const NO_OWN_OBSERVATION: OwnObservation = OwnObservation {
    silence: 0.0,
    failures: 0.0,
    has_recent_success: false,
};

/// An observation by a node of `observer_zone`, with a recent success unless there is evidence of silence.
fn observation(observer_zone: GossipZone, silence: f64) -> ZoneObservation {
    let silence_evidence = evidence_to_hundredths(silence);
    ZoneObservation {
        observer_zone,
        silence_evidence,
        failure_evidence: 0,
        has_recent_success: silence_evidence == 0,
        state: ObservedState::Healthy,
        is_first_hand: silence_evidence > 0,
    }
}

/// Observations of `count` other members in zone A, numbered from 1.
fn peers_in_zone_a(count: u64) -> PeerObservations {
    let mut peers = PeerObservations::default();
    for member in 1..=count {
        peers.update_member(MemberId(member), ZONE_A, true);
    }
    peers
}

/// Records a member's observation of zone A, sent and received at [`NOW`].
fn record(peers: &mut PeerObservations, member: u64, observation: ZoneObservation) -> bool {
    peers.record(NOW, MemberId(member), ZONE_A, NOW, observation)
}

/// Summary of the observations of zone A for a node of `home_zone`.
fn summary_of_zone_a(peers: &PeerObservations, now: Nanos, home_zone: GossipZone) -> PeerSummary {
    peers.summarize(now, ZONE_A, home_zone, NO_OWN_OBSERVATION)
}

#[test]
fn weak_evidence_of_several_nodes_adds_up_and_strong_evidence_of_one_does_not_count() {
    let mut peers = peers_in_zone_a(7);
    assert!(record(&mut peers, 1, observation(ZONE_A, 500.0)));
    assert_eq!(
        summary_of_zone_a(&peers, NOW, ZONE_A).silence,
        0.0,
        "evidence from a single node does not count"
    );
    record(&mut peers, 2, observation(ZONE_A, 2.4));
    record(&mut peers, 3, observation(ZONE_A, 2.4));
    let summary = summary_of_zone_a(&peers, NOW, ZONE_A);
    assert!((summary.silence - 7.3).abs() < 1e-9, "{summary:?}");
    // Nodes with recent responses outnumber the nodes with evidence against the zone.
    for member in 4..=6 {
        record(&mut peers, member, observation(ZONE_A, 0.0));
    }
    assert_eq!(summary_of_zone_a(&peers, NOW, ZONE_A).silence, 0.0);
    // The evidence expires.
    assert_eq!(
        summary_of_zone_a(&peers, NOW + EVIDENCE_LIFETIME, ZONE_A),
        PeerSummary {
            failed_probe_age: Nanos::MAX,
            ..PeerSummary::default()
        }
    );
}

#[test]
fn delayed_observations_and_those_from_third_zones_do_not_count() {
    let mut peers = peers_in_zone_a(4);
    let delayed_at = NOW - 5 * SECOND;
    assert!(!peers.record(
        NOW,
        MemberId(1),
        ZONE_A,
        delayed_at,
        observation(ZONE_A, 2.5)
    ));
    for member in 5..9 {
        peers.update_member(MemberId(member), ZONE_B, true);
        record(&mut peers, member, observation(ZONE_B, 2.5));
    }
    assert_eq!(
        summary_of_zone_a(&peers, NOW, ZONE_A).silence,
        0.0,
        "observations from zone B do not count for nodes of zone A"
    );
    assert_eq!(
        summary_of_zone_a(&peers, NOW, ZONE_C).silence,
        0.0,
        "observations from zone B do not count for nodes of zone C"
    );
    assert!(summary_of_zone_a(&peers, NOW, ZONE_B).silence > 5.0);
    // Observations by nodes of the observed zone count for nodes of every zone.
    for member in 1..4 {
        record(&mut peers, member, observation(ZONE_A, 2.5));
    }
    assert!(summary_of_zone_a(&peers, NOW, ZONE_C).silence > 5.0);
}

#[test]
fn the_common_recovery_step_is_the_median_of_at_least_two_recovering_nodes() {
    let mut peers = peers_in_zone_a(5);
    let in_state = |state| ZoneObservation {
        state,
        ..observation(ZONE_A, 0.0)
    };
    let recovering = |step, has_success| in_state(ObservedState::Recovering { step, has_success });
    record(&mut peers, 1, recovering(4, true));
    let one_recovering = summary_of_zone_a(&peers, NOW, ZONE_A);
    assert_eq!(
        (
            one_recovering.median_step,
            one_recovering.is_recovering_by_quorum,
            one_recovering.probing_peers
        ),
        (None, false, 1),
        "a single recovering node determines no common step"
    );
    record(&mut peers, 2, recovering(1, false));
    record(&mut peers, 3, recovering(0, true));
    let three_recovering = summary_of_zone_a(&peers, NOW, ZONE_A);
    assert_eq!(
        (
            three_recovering.median_step,
            three_recovering.has_success_at_step,
            three_recovering.is_recovering_by_quorum
        ),
        (Some(1), true, true)
    );
    let ejected = in_state(ObservedState::Ejected {
        successful_probes: 9,
        failed_probe_age_ms: 40,
    });
    record(&mut peers, 4, ejected);
    let with_ejected = summary_of_zone_a(&peers, NOW + MILLISECOND, ZONE_A);
    assert_eq!(
        (
            with_ejected.successful_probes,
            with_ejected.probing_peers,
            with_ejected.failed_probe_age
        ),
        (8, 4, 41 * MILLISECOND)
    );
}

//! Encoding and decoding of observations.

use super::*;

#[test]
fn an_observation_takes_at_most_16_bytes_and_decodes_only_from_all_of_them() {
    let observation = ZoneObservation {
        observer_zone: GossipZone(2),
        silence_evidence: 512,
        failure_evidence: evidence_to_hundredths(1e9),
        has_recent_success: false,
        state: ObservedState::Ejected {
            successful_probes: 3,
            failed_probe_age_ms: 800,
        },
        is_first_hand: true,
    };
    let bytes = observation.to_bytes();
    assert!(bytes.len() <= 16, "{}", bytes.len());
    assert_eq!(ZoneObservation::from_bytes(&bytes), Some(observation));
    for length in 0..bytes.len() {
        assert_eq!(ZoneObservation::from_bytes(&bytes[..length]), None);
    }
    let with_trailing_byte = [&bytes[..], b"x"].concat();
    assert_eq!(ZoneObservation::from_bytes(&with_trailing_byte), None);
}

/// Guards against incompatible encodings between releases whose nodes gossip with each other.
#[test]
fn encodes_to_the_recorded_bytes() {
    let observation = |state| ZoneObservation {
        observer_zone: GossipZone(2),
        silence_evidence: 512,
        failure_evidence: 7,
        has_recent_success: true,
        state,
        is_first_hand: false,
    };
    let recorded: [(ObservedState, &[u8]); 4] = [
        (ObservedState::Healthy, &[2, 0x80, 0x04, 7, 1, 0, 0]),
        (ObservedState::Suspected, &[2, 0x80, 0x04, 7, 1, 1, 0]),
        (
            ObservedState::Ejected {
                successful_probes: 200,
                failed_probe_age_ms: u16::MAX,
            },
            &[2, 0x80, 0x04, 7, 1, 2, 200, 0xff, 0xff, 0x03, 0],
        ),
        (
            ObservedState::Recovering {
                step: 4,
                has_success: true,
            },
            &[2, 0x80, 0x04, 7, 1, 3, 4, 1, 0],
        ),
    ];
    for (state, bytes) in recorded {
        assert_eq!(observation(state).to_bytes(), bytes, "{state:?}");
        assert_eq!(ZoneObservation::from_bytes(bytes), Some(observation(state)));
    }
}

use super::*;

#[test]
fn a_sight_is_small_and_comes_back_as_it_was() {
    let at = ObservedState::Ejected {
        good: 3,
        bad_ms: 800,
    };
    let sight = ZoneObservation {
        home: 2,
        silent: 512,
        failing: hundredths(1e9),
        has_answers: false,
        state: at,
        is_own: true,
    };
    let bytes = sight.to_bytes();
    assert!(bytes.len() <= 16, "{}", bytes.len());
    assert_eq!(ZoneObservation::from_bytes(&bytes), Some(sight));
    (0..bytes.len()).for_each(|cut| assert_eq!(ZoneObservation::from_bytes(&bytes[..cut]), None));
    assert_eq!(
        ZoneObservation::from_bytes(&[&bytes[..], b"x"].concat()),
        None
    );
}

/// The form on the wire, byte for byte: nodes of two releases gossip with each other.
#[test]
fn encodes_to_the_recorded_bytes() {
    let observation = |state| ZoneObservation {
        home: 2,
        silent: 512,
        failing: 7,
        has_answers: true,
        state,
        is_own: false,
    };
    let recorded: [(ObservedState, &[u8]); 4] = [
        (ObservedState::Healthy, &[2, 0x80, 0x04, 7, 1, 0, 0]),
        (ObservedState::Suspected, &[2, 0x80, 0x04, 7, 1, 1, 0]),
        (
            ObservedState::Ejected {
                good: 200,
                bad_ms: u16::MAX,
            },
            &[2, 0x80, 0x04, 7, 1, 2, 200, 0xff, 0xff, 0x03, 0],
        ),
        (
            ObservedState::Recovering {
                step: 4,
                good: true,
            },
            &[2, 0x80, 0x04, 7, 1, 3, 4, 1, 0],
        ),
    ];
    for (state, bytes) in recorded {
        assert_eq!(observation(state).to_bytes(), bytes, "{state:?}");
        assert_eq!(ZoneObservation::from_bytes(bytes), Some(observation(state)));
    }
}

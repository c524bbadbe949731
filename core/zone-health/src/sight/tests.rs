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

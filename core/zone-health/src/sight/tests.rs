use super::*;

#[test]
fn a_sight_is_small_and_comes_back_as_it_was() {
    let at = At::Closed { good: 3, bad_ms: 800 };
    let sight = Sight { home: 2, silent: 512, failing: hundredths(1e9), hears: false, at, saw: true };
    let bytes = sight.to_bytes();
    assert!(bytes.len() <= 16, "{}", bytes.len());
    assert_eq!(Sight::from_bytes(&bytes), Some(sight));
    (0..bytes.len()).for_each(|cut| assert_eq!(Sight::from_bytes(&bytes[..cut]), None));
    assert_eq!(Sight::from_bytes(&[&bytes[..], b"x"].concat()), None);
}

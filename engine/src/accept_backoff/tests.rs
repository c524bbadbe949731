use super::*;

#[test]
fn delay_doubles_up_to_its_limit_and_resets_after_a_success() {
    let mut backoff = AcceptBackoff::default();
    let delays = [0, 1, 2, 4, 8, 16, 20, 20].map(Duration::from_millis);
    assert_eq!([(); 8].map(|()| backoff.advance()), delays);
    backoff.succeeded();
    assert_eq!(backoff.advance(), delays[0]);
}

use super::*;

#[test]
fn the_wait_doubles_up_to_its_limit_and_begins_again_after_a_success() {
    let mut backoff = AcceptBackoff::default();
    let waits = [0, 1, 2, 4, 8, 16, 20, 20].map(Duration::from_millis);
    assert_eq!([(); 8].map(|()| backoff.advance()), waits);
    backoff.succeeded();
    assert_eq!(backoff.advance(), waits[0]);
}

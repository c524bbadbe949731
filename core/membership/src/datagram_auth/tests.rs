use super::*;

#[test]
fn what_was_sealed_opens_and_nothing_else_does() {
    let key = Key::read(" one key for the fleet\n").unwrap();
    let datagram = key.seal(b"hello");
    assert_eq!(key.open(&datagram), Ok(&b"hello"[..]));
    assert_eq!(
        Key::read("another key, no less").unwrap().open(&datagram),
        Err(DropReason::Unauthenticated)
    );
    for at in 0..datagram.len() {
        let mut spoilt = datagram.clone();
        spoilt[at] ^= 1;
        assert!(key.open(&spoilt).is_err(), "byte {at}");
        assert!(key.open(&datagram[..at]).is_err(), "cut at {at}");
    }
    assert_eq!(
        key.open(&key.seal(&[0; MAX_CONTENT_LENGTH + 1])),
        Err(DropReason::Malformed)
    );
    assert!(Key::read("short").is_err() && Key::read(&"x".repeat(129)).is_err());
    assert_ne!(member_id("n0"), member_id("n1"));
}

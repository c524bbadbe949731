use super::*;
use crate::api::MemberId;

#[test]
fn only_datagrams_signed_with_the_same_key_are_accepted() {
    let key = Key::parse(" one key for the fleet\n").unwrap();
    let datagram = key.sign(b"hello");
    assert_eq!(key.verify(&datagram), Ok(&b"hello"[..]));
    assert_eq!(
        Key::parse("another key, no less")
            .unwrap()
            .verify(&datagram),
        Err(DropReason::Unauthenticated)
    );
    for at in 0..datagram.len() {
        let mut corrupted = datagram.clone();
        corrupted[at] ^= 1;
        assert!(key.verify(&corrupted).is_err(), "byte {at}");
        assert!(key.verify(&datagram[..at]).is_err(), "truncated at {at}");
    }
    assert_eq!(
        key.verify(&key.sign(&[0; MAX_CONTENT_BYTES + 1])),
        Err(DropReason::Malformed)
    );
    assert!(Key::parse("short").is_err() && Key::parse(&"x".repeat(129)).is_err());
    assert_ne!(MemberId::from_name("n0"), MemberId::from_name("n1"));
}

/// Guards against an incompatible change of the encoding: members of earlier versions use these bytes.
#[test]
fn a_signed_datagram_is_encoded_as_recorded() {
    let key = Key::parse("one key for the fleet").unwrap();
    let datagram = b"\x01\xec\xf3\x63\x72\x52\x7c\xa0\x92\xa9\x00\xf8\x3c\x5a\xf3\x67\x57hello";
    assert_eq!(key.sign(b"hello"), datagram);
    assert_eq!(key.verify(datagram), Ok(&b"hello"[..]));
}

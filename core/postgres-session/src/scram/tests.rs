use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::*;

/// The client's side is another's, from the drivers' own crate.
fn exchange(
    verifier: &Verifier,
    password: &str,
    binding: ChannelBinding,
    mechanism: &str,
    channel: Option<&[u8]>,
) -> Result<(), Refused> {
    let mut client = ScramSha256::new(password.as_bytes(), binding);
    let (exchange, answer) = begin(verifier.clone(), mechanism, client.message(), channel, "servernonce")?;
    client.update(answer.as_bytes()).expect("a good first answer");
    let last = exchange.finish(client.message())?;
    client.finish(last.as_bytes()).expect("the node has proved itself");
    Ok(())
}

#[test]
fn who_knows_the_password_gets_in_and_nobody_else() {
    let verifier = Verifier::of("secret", b"salt of sixteen.");
    let same = Verifier::read(&verifier.write()).expect("as written");
    let plain = ChannelBinding::unsupported;
    assert_eq!(exchange(&same, "secret", plain(), PLAIN, None), Ok(()));
    assert_eq!(exchange(&same, "Secret", plain(), PLAIN, None), Err(Refused::Proof));
    let unknown = Verifier::unknown(b"of this process", "ann");
    assert_eq!(exchange(&unknown, "secret", plain(), PLAIN, None), Err(Refused::Proof));
}

#[test]
fn a_channel_is_bound_or_the_exchange_fails() {
    let verifier = Verifier::of("secret", b"salt");
    let end = |bytes: &[u8]| ChannelBinding::tls_server_end_point(bytes.to_vec());
    assert_eq!(exchange(&verifier, "secret", end(b"one"), PLUS, Some(b"one")), Ok(()));
    assert_eq!(exchange(&verifier, "secret", end(b"one"), PLUS, Some(b"two")), Err(Refused::Binding));
    assert_eq!(exchange(&verifier, "secret", end(b"one"), PLUS, None), Err(Refused::Mechanism));
    assert_eq!(exchange(&verifier, "secret", end(b"one"), "MD5", Some(b"one")), Err(Refused::Mechanism));
    // One who believes that the node can't bind, while it can, has been lied to.
    let believes = ChannelBinding::unrequested;
    assert_eq!(exchange(&verifier, "secret", believes(), PLAIN, Some(b"one")), Err(Refused::Binding));
    assert_eq!(exchange(&verifier, "secret", believes(), PLAIN, None), Ok(()));
}

#[test]
fn what_is_malformed_is_refused() {
    let verifier = Verifier::of("secret", b"salt");
    for first in ["", "n", "n,,", "n,a=bob,n=,r=x", "n,,n=,r=", "n,,r=x,n=", "q,,n=,r=x"] {
        assert!(begin(verifier.clone(), PLAIN, first.as_bytes(), None, "n").is_err(), "{first}");
    }
    for last in ["", "c=biws", "c=biws,r=xn", "c=biws,r=other,p=AAAA", "c=biws,r=xn,p=AAAA", "c=,r=xn,p=AAAA"]
    {
        let (exchange, _) = begin(verifier.clone(), PLAIN, b"n,,n=,r=x", None, "n").expect("good");
        assert!(exchange.finish(last.as_bytes()).is_err(), "{last}");
    }
    for text in
        ["", "md5abc", "SCRAM-SHA-256$0:c2FsdA==$x:y", "SCRAM-SHA-256$4096:c2FsdA==$c2FsdA==:c2FsdA=="]
    {
        assert!(Verifier::read(text).is_err(), "{text}");
    }
}

use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::*;

/// The client's side is another's, from the drivers' own crate.
fn exchange(
    verifier: &Verifier,
    password: &str,
    binding: ChannelBinding,
    mechanism: &str,
    channel: Option<&[u8]>,
) -> Result<(), ScramError> {
    let mut client = ScramSha256::new(password.as_bytes(), binding);
    let (exchange, answer) = begin(
        verifier.clone(),
        mechanism,
        client.message(),
        channel,
        "servernonce",
    )?;
    client
        .update(answer.as_bytes())
        .expect("a good first answer");
    let last = exchange.finish(client.message())?;
    client
        .finish(last.as_bytes())
        .expect("the node has proved itself");
    Ok(())
}

#[test]
fn who_knows_the_password_gets_in_and_nobody_else() {
    let verifier = Verifier::of("secret", b"salt of sixteen.");
    let same = Verifier::read(&verifier.write()).expect("as written");
    let plain = ChannelBinding::unsupported;
    assert_eq!(exchange(&same, "secret", plain(), MECHANISM, None), Ok(()));
    assert_eq!(
        exchange(&same, "Secret", plain(), MECHANISM, None),
        Err(ScramError::Proof)
    );
    let unknown = Verifier::unknown(b"of this process", "ann");
    assert_eq!(
        exchange(&unknown, "secret", plain(), MECHANISM, None),
        Err(ScramError::Proof)
    );
}

#[test]
fn a_channel_is_bound_or_the_exchange_fails() {
    let verifier = Verifier::of("secret", b"salt");
    let end = |bytes: &[u8]| ChannelBinding::tls_server_end_point(bytes.to_vec());
    assert_eq!(
        exchange(
            &verifier,
            "secret",
            end(b"one"),
            MECHANISM_WITH_BINDING,
            Some(b"one")
        ),
        Ok(())
    );
    assert_eq!(
        exchange(
            &verifier,
            "secret",
            end(b"one"),
            MECHANISM_WITH_BINDING,
            Some(b"two")
        ),
        Err(ScramError::Binding)
    );
    assert_eq!(
        exchange(
            &verifier,
            "secret",
            end(b"one"),
            MECHANISM_WITH_BINDING,
            None
        ),
        Err(ScramError::Mechanism)
    );
    assert_eq!(
        exchange(&verifier, "secret", end(b"one"), "MD5", Some(b"one")),
        Err(ScramError::Mechanism)
    );
    // One who believes that the node can't bind, while it can, has been lied to.
    let believes = ChannelBinding::unrequested;
    assert_eq!(
        exchange(&verifier, "secret", believes(), MECHANISM, Some(b"one")),
        Err(ScramError::Binding)
    );
    assert_eq!(
        exchange(&verifier, "secret", believes(), MECHANISM, None),
        Ok(())
    );
}

#[test]
fn what_is_malformed_is_refused() {
    let verifier = Verifier::of("secret", b"salt");
    for first in [
        "",
        "n",
        "n,,",
        "n,a=bob,n=,r=x",
        "n,,n=,r=",
        "n,,r=x,n=",
        "q,,n=,r=x",
    ] {
        assert!(
            begin(verifier.clone(), MECHANISM, first.as_bytes(), None, "n").is_err(),
            "{first}"
        );
    }
    for last in [
        "",
        "c=biws",
        "c=biws,r=xn",
        "c=biws,r=other,p=AAAA",
        "c=biws,r=xn,p=AAAA",
        "c=,r=xn,p=AAAA",
    ] {
        let (exchange, _) =
            begin(verifier.clone(), MECHANISM, b"n,,n=,r=x", None, "n").expect("good");
        assert!(exchange.finish(last.as_bytes()).is_err(), "{last}");
    }
    for text in [
        "",
        "md5abc",
        "SCRAM-SHA-256$0:c2FsdA==$x:y",
        "SCRAM-SHA-256$4096:c2FsdA==$c2FsdA==:c2FsdA==",
    ] {
        assert!(Verifier::read(text).is_err(), "{text}");
    }
}

use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};

use super::*;

/// Runs an exchange with the client of the `postgres_protocol` crate.
fn exchange(
    verifier: &Verifier,
    password: &str,
    binding: ChannelBinding,
    mechanism: &str,
    channel: Option<&[u8]>,
) -> Result<(), ScramError> {
    let mut client = ScramSha256::new(password.as_bytes(), binding);
    let started = start_exchange(
        verifier.clone(),
        mechanism,
        client.message(),
        channel,
        "servernonce",
    )?;
    client
        .update(started.server_first.as_bytes())
        .expect("a good first message");
    let last = started.exchange.finish(client.message())?;
    client.finish(last.as_bytes()).expect("the server's proof");
    Ok(())
}

#[test]
fn only_the_right_password_is_accepted() {
    let verifier = Verifier::from_password("secret", b"salt of sixteen.");
    let same = Verifier::parse(&verifier.to_text()).expect("as written");
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
fn a_wrong_channel_binding_fails_the_exchange() {
    let verifier = Verifier::from_password("secret", b"salt");
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
    // A client that supports channel binding but was not offered it must be rejected if the server offered it.
    let not_offered = ChannelBinding::unrequested;
    assert_eq!(
        exchange(&verifier, "secret", not_offered(), MECHANISM, Some(b"one")),
        Err(ScramError::Binding)
    );
    assert_eq!(
        exchange(&verifier, "secret", not_offered(), MECHANISM, None),
        Ok(())
    );
}

#[test]
fn malformed_messages_and_verifiers_are_errors() {
    let verifier = Verifier::from_password("secret", b"salt");
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
            start_exchange(verifier.clone(), MECHANISM, first.as_bytes(), None, "n").is_err(),
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
        let started = start_exchange(verifier.clone(), MECHANISM, b"n,,n=,r=x", None, "n")
            .unwrap_or_else(|error| panic!("{error}"));
        assert!(started.exchange.finish(last.as_bytes()).is_err(), "{last}");
    }
    for text in [
        "",
        "md5abc",
        "SCRAM-SHA-256$0:c2FsdA==$x:y",
        "SCRAM-SHA-256$4096:c2FsdA==$c2FsdA==:c2FsdA==",
    ] {
        assert!(Verifier::parse(text).is_err(), "{text}");
    }
}

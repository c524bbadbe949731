//! The server's side of SCRAM-SHA-256 (RFC 5802, RFC 7677), as PostgreSQL uses it ("SASL Authentication"). The node
//! keeps verifiers, from which no password can be had.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The mechanism without channel binding.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// The mechanism with it.
pub const MECHANISM_WITH_BINDING: &str = "SCRAM-SHA-256-PLUS";
/// Iterations of a verifier made here, as the server's own default.
const ITERATIONS: u32 = 4096;
/// A message of an exchange is no longer.
const MOST: usize = 2048;

type Key = [u8; 32];

/// What a password is checked by.
#[derive(Clone)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored: Key,
    server: Key,
}

/// A text that is no verifier. The text itself is secret enough not to be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a verifier of the form SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>")]
pub struct VerifierError;

fn hmac(key: &[u8], text: &[u8]) -> Key {
    // Any length of key will do for HMAC, so this never fails.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes any key"));
    mac.update(text);
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Reads a verifier as the server keeps them in `pg_authid`.
    pub fn read(text: &str) -> Result<Self, VerifierError> {
        let read = || {
            let rest = text.trim().strip_prefix("SCRAM-SHA-256$")?;
            let (first, keys) = rest.split_once('$')?;
            let (iterations, salt) = first.split_once(':')?;
            let (stored, server) = keys.split_once(':')?;
            let key = |text: &str| BASE64.decode(text).ok()?.try_into().ok();
            let iterations = iterations
                .parse()
                .ok()
                .filter(|count| (1..=1_000_000).contains(count))?;
            let salt = BASE64
                .decode(salt)
                .ok()
                .filter(|salt| (1..=256).contains(&salt.len()))?;
            Some(Self {
                iterations,
                salt,
                stored: key(stored)?,
                server: key(server)?,
            })
        };
        read().ok_or(VerifierError)
    }

    /// The verifier of a password, with this salt. The password is taken as it is: SASLprep changes nothing of
    /// one in ASCII.
    pub fn of(password: &str, salt: &[u8]) -> Self {
        let mut salted = [0; 32];
        pbkdf2::pbkdf2_hmac::<Sha256>(password.as_bytes(), salt, ITERATIONS, &mut salted);
        let stored = Sha256::digest(hmac(&salted, b"Client Key")).into();
        Self {
            iterations: ITERATIONS,
            salt: salt.to_vec(),
            stored,
            server: hmac(&salted, b"Server Key"),
        }
    }

    /// What an unknown user is asked by, so that the exchange does not tell who is known. No password fits it.
    pub fn unknown(secret: &[u8], user: &str) -> Self {
        let salt = hmac(secret, user.as_bytes())[..16].to_vec();
        let stored = hmac(secret, b"no such key");
        Self {
            iterations: ITERATIONS,
            salt,
            stored,
            server: hmac(secret, b"nor such"),
        }
    }

    /// As [`Verifier::read`] reads it.
    pub fn write(&self) -> String {
        let [salt, stored, server] =
            [&self.salt[..], &self.stored, &self.server].map(|bytes| BASE64.encode(bytes));
        format!("SCRAM-SHA-256${}:{salt}${stored}:{server}", self.iterations)
    }
}

/// Why an exchange has failed. A client is told no more than that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// The mechanism is none that was offered.
    #[error("a mechanism that was not offered")]
    Mechanism,
    /// A message that does not follow the RFC.
    #[error("a malformed message")]
    Malformed,
    /// The channel is not the one that the client sees: somebody may stand between.
    #[error("the channel binding does not fit")]
    Binding,
    /// The proof does not fit the verifier.
    #[error("the proof does not fit")]
    Proof,
}

/// An exchange that waits for the client's last message.
pub struct ScramExchange {
    verifier: Verifier,
    binding: Vec<u8>,
    nonce: String,
    /// The client's first message without its header, and the answer to it.
    auth: String,
}

/// Begins an exchange: the client's choice of mechanism and first message, and the binding of the channel where
/// TLS is on. `nonce` is random, printable and without commas. Returns the answer too.
pub fn begin(
    verifier: Verifier,
    mechanism: &str,
    first: &[u8],
    channel: Option<&[u8]>,
    nonce: &str,
) -> Result<(ScramExchange, String), ScramError> {
    let plus = match (mechanism, channel) {
        (MECHANISM, _) => None,
        (MECHANISM_WITH_BINDING, Some(channel)) => Some(channel),
        _ => return Err(ScramError::Mechanism),
    };
    let text = std::str::from_utf8(first)
        .ok()
        .filter(|text| text.len() <= MOST)
        .ok_or(ScramError::Malformed)?;
    // The header names the binding and, after a comma, an identity to act for, which is not allowed.
    let (flag, rest) = text.split_once(',').ok_or(ScramError::Malformed)?;
    let (acts_for, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
    if !acts_for.is_empty() {
        return Err(ScramError::Malformed);
    }
    let mut binding = format!("{flag},,").into_bytes();
    match (flag, plus) {
        ("n", None) => {}
        // The client could bind and believes that the server can't. Where it can, somebody has cut that out.
        ("y", None) if channel.is_none() => {}
        ("p=tls-server-end-point", Some(channel)) => binding.extend_from_slice(channel),
        _ => return Err(ScramError::Binding),
    }
    let mut parts = bare.split(',');
    let user = parts.next().filter(|part| part.starts_with("n="));
    let client = parts
        .next()
        .and_then(|part| part.strip_prefix("r="))
        .filter(|nonce| !nonce.is_empty());
    let (Some(_), Some(client)) = (user, client) else {
        return Err(ScramError::Malformed);
    };
    let nonce = format!("{client}{nonce}");
    let answer = format!(
        "r={nonce},s={},i={}",
        BASE64.encode(&verifier.salt),
        verifier.iterations
    );
    let auth = format!("{bare},{answer}");
    Ok((
        ScramExchange {
            verifier,
            binding,
            nonce,
            auth,
        },
        answer,
    ))
}

impl ScramExchange {
    /// Checks the client's last message; the answer proves that the node knows the verifier.
    pub fn finish(self, last: &[u8]) -> Result<String, ScramError> {
        let text = std::str::from_utf8(last)
            .ok()
            .filter(|text| text.len() <= MOST)
            .ok_or(ScramError::Malformed)?;
        let (unproven, proof) = text.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut parts = unproven.split(',');
        let binding = parts
            .next()
            .and_then(|part| part.strip_prefix("c="))
            .ok_or(ScramError::Malformed)?;
        let nonce = parts
            .next()
            .and_then(|part| part.strip_prefix("r="))
            .ok_or(ScramError::Malformed)?;
        if BASE64.decode(binding).ok().as_ref() != Some(&self.binding) {
            return Err(ScramError::Binding);
        }
        if nonce != self.nonce {
            return Err(ScramError::Malformed);
        }
        let proof: Key = BASE64
            .decode(proof)
            .ok()
            .and_then(|p| p.try_into().ok())
            .ok_or(ScramError::Malformed)?;
        let auth = format!("{},{unproven}", self.auth);
        let signature = hmac(&self.verifier.stored, auth.as_bytes());
        let mut key = proof;
        key.iter_mut()
            .zip(signature)
            .for_each(|(byte, with)| *byte ^= with);
        let stored: Key = Sha256::digest(key).into();
        if !bool::from(stored.ct_eq(&self.verifier.stored)) {
            return Err(ScramError::Proof);
        }
        Ok(format!(
            "v={}",
            BASE64.encode(hmac(&self.verifier.server, auth.as_bytes()))
        ))
    }
}

#[cfg(test)]
mod tests;

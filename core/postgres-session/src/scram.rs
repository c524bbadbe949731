//! Server side of SCRAM-SHA-256 (RFC 5802, RFC 7677) as used by PostgreSQL ("SASL Authentication"). Only verifiers are
//! stored, not passwords.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Name of the SASL mechanism without channel binding.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// Name of the SASL mechanism with channel binding.
pub const MECHANISM_WITH_BINDING: &str = "SCRAM-SHA-256-PLUS";
/// Iteration count of a verifier that is created from a password, as in PostgreSQL.
const DEFAULT_ITERATIONS: u32 = 4096;
/// Maximum iteration count of a parsed verifier.
const MAX_ITERATIONS: u32 = 1_000_000;
/// Maximum length of a parsed verifier's salt, in bytes.
const MAX_SALT_LENGTH: usize = 256;
/// Length of the salt for an unknown user, in bytes.
const UNKNOWN_USER_SALT_LENGTH: usize = 16;
/// Maximum length of a client's message in an exchange, in bytes.
const MAX_MESSAGE_LENGTH: usize = 2048;

/// Length of a SHA-256 hash, in bytes.
const KEY_LENGTH: usize = 32;

type Key = [u8; KEY_LENGTH];

/// Salt, iteration count and derived keys that a password is verified with.
#[derive(Clone)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: Key,
    server_key: Key,
}

/// A text that is not a verifier. The error omits the text, which may be a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a verifier of the form SCRAM-SHA-256$<iterations>:<salt>$<stored key>:<server key>")]
pub struct VerifierError;

fn hmac(key: &[u8], text: &[u8]) -> Key {
    // HMAC accepts keys of any length, so this never fails.
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key).unwrap_or_else(|_| unreachable!("HMAC takes any key"));
    mac.update(text);
    mac.finalize().into_bytes().into()
}

impl Verifier {
    /// Parses a verifier in the format of PostgreSQL's `pg_authid`.
    ///
    /// # Errors
    /// [`VerifierError`] if the text does not have this format.
    pub fn parse(text: &str) -> Result<Self, VerifierError> {
        Self::read_fields(text).ok_or(VerifierError)
    }

    fn read_fields(text: &str) -> Option<Self> {
        let fields = text.trim().strip_prefix("SCRAM-SHA-256$")?;
        let (parameters, keys) = fields.split_once('$')?;
        let (iterations, salt) = parameters.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let iterations = iterations.parse().ok()?;
        if !(1..=MAX_ITERATIONS).contains(&iterations) {
            return None;
        }
        let salt = BASE64.decode(salt).ok()?;
        if !(1..=MAX_SALT_LENGTH).contains(&salt.len()) {
            return None;
        }
        Some(Self {
            iterations,
            salt,
            stored_key: read_key(stored_key)?,
            server_key: read_key(server_key)?,
        })
    }

    /// Creates the verifier of a password. The password is not normalized with SASLprep, which does not change ASCII
    /// passwords.
    #[must_use]
    pub fn from_password(password: &str, salt: &[u8]) -> Self {
        let mut salted_password = [0; KEY_LENGTH];
        pbkdf2::pbkdf2_hmac::<Sha256>(
            password.as_bytes(),
            salt,
            DEFAULT_ITERATIONS,
            &mut salted_password,
        );
        let client_key = hmac(&salted_password, b"Client Key");
        Self {
            iterations: DEFAULT_ITERATIONS,
            salt: salt.to_vec(),
            stored_key: Sha256::digest(client_key).into(),
            server_key: hmac(&salted_password, b"Server Key"),
        }
    }

    /// Creates a verifier that rejects every password, for an unknown user, so that the exchange does not reveal which
    /// users exist. `secret` must be the same for all exchanges, so that the salt of a user name stays the same.
    #[must_use]
    pub fn unknown(secret: &[u8], user: &str) -> Self {
        Self {
            iterations: DEFAULT_ITERATIONS,
            salt: hmac(secret, user.as_bytes())[..UNKNOWN_USER_SALT_LENGTH].to_vec(),
            stored_key: hmac(secret, b"no such key"),
            server_key: hmac(secret, b"nor such"),
        }
    }

    /// Formats the verifier for [`Verifier::parse`].
    #[must_use]
    pub fn to_text(&self) -> String {
        let salt = BASE64.encode(&self.salt);
        let stored_key = BASE64.encode(self.stored_key);
        let server_key = BASE64.encode(self.server_key);
        format!(
            "SCRAM-SHA-256${}:{salt}${stored_key}:{server_key}",
            self.iterations
        )
    }
}

fn read_key(base64: &str) -> Option<Key> {
    BASE64.decode(base64).ok()?.try_into().ok()
}

/// Why an exchange failed. The reason is not reported to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// The client chose a mechanism that was not offered.
    #[error("SASL mechanism was not offered")]
    Mechanism,
    /// A message violates the RFC.
    #[error("malformed SCRAM message")]
    Malformed,
    /// The client's channel binding differs from the server's, possibly because of a man-in-the-middle attack.
    #[error("SCRAM channel binding does not match")]
    Binding,
    /// The client's proof does not match the verifier, usually because of a wrong password.
    #[error("SCRAM proof does not match")]
    Proof,
}

/// An exchange that waits for the client's final message.
pub struct ScramExchange {
    verifier: Verifier,
    /// Channel binding required in the client's final message.
    channel_binding: Vec<u8>,
    /// The client's nonce followed by the server's nonce.
    nonce: String,
    /// The client's first message without its header and the server's first message, separated by a comma.
    first_messages: String,
}

/// Result of [`start_exchange`].
pub struct StartedExchange {
    /// Verifies the client's final message.
    pub exchange: ScramExchange,
    /// The server's first message, to be sent to the client.
    pub server_first: String,
}

/// Starts an exchange with the client's mechanism and first message. `channel_binding` is the `tls-server-end-point`
/// data, or `None` without TLS; `server_nonce` must be random, printable and without commas.
///
/// # Errors
/// [`ScramError`] if the mechanism was not offered, or the message is malformed or its channel binding does not match.
pub fn start_exchange(
    verifier: Verifier,
    mechanism: &str,
    client_first: &[u8],
    channel_binding: Option<&[u8]>,
    server_nonce: &str,
) -> Result<StartedExchange, ScramError> {
    let binding_in_use = match (mechanism, channel_binding) {
        (MECHANISM, _) => None,
        (MECHANISM_WITH_BINDING, Some(binding)) => Some(binding),
        _ => return Err(ScramError::Mechanism),
    };
    let client_first = ClientFirst::read(message_text(client_first)?)?;
    let mut expected_binding = format!("{},,", client_first.binding_flag).into_bytes();
    match (client_first.binding_flag, binding_in_use) {
        ("n", None) => {}
        // "y": the client supports channel binding but was not offered it. If the server did offer channel binding, the
        // offer was tampered with.
        ("y", None) if channel_binding.is_none() => {}
        ("p=tls-server-end-point", Some(binding)) => expected_binding.extend_from_slice(binding),
        _ => return Err(ScramError::Binding),
    }
    let nonce = format!("{}{server_nonce}", client_first.nonce()?);
    let server_first = format!(
        "r={nonce},s={},i={}",
        BASE64.encode(&verifier.salt),
        verifier.iterations
    );
    Ok(StartedExchange {
        exchange: ScramExchange {
            verifier,
            channel_binding: expected_binding,
            nonce,
            first_messages: format!("{},{server_first}", client_first.bare),
        },
        server_first,
    })
}

fn message_text(message: &[u8]) -> Result<&str, ScramError> {
    std::str::from_utf8(message)
        .ok()
        .filter(|text| text.len() <= MAX_MESSAGE_LENGTH)
        .ok_or(ScramError::Malformed)
}

/// The client's first message: `<binding flag>,[<authorization identity>],n=<user>,r=<nonce>`.
struct ClientFirst<'a> {
    /// `n`, `y` or `p=<channel binding type>`.
    binding_flag: &'a str,
    /// The message without its header.
    bare: &'a str,
}

impl<'a> ClientFirst<'a> {
    /// Splits the message. An authorization identity is not allowed.
    fn read(text: &'a str) -> Result<Self, ScramError> {
        let (binding_flag, rest) = text.split_once(',').ok_or(ScramError::Malformed)?;
        let (authorization_identity, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
        if !authorization_identity.is_empty() {
            return Err(ScramError::Malformed);
        }
        Ok(Self { binding_flag, bare })
    }

    /// Returns the client's nonce, which must follow the user name. The user name is ignored, as in PostgreSQL, because
    /// the start-up message contains the user name.
    fn nonce(&self) -> Result<&'a str, ScramError> {
        let mut attributes = self.bare.split(',');
        attributes
            .next()
            .filter(|user| user.starts_with("n="))
            .ok_or(ScramError::Malformed)?;
        attributes
            .next()
            .and_then(|attribute| attribute.strip_prefix("r="))
            .filter(|nonce| !nonce.is_empty())
            .ok_or(ScramError::Malformed)
    }
}

/// The client's final message: `c=<channel binding>,r=<nonce>[,<extensions>],p=<proof>`.
struct ClientFinal<'a> {
    channel_binding: &'a str,
    nonce: &'a str,
    proof: &'a str,
    /// The message up to the proof.
    without_proof: &'a str,
}

impl<'a> ClientFinal<'a> {
    fn read(text: &'a str) -> Result<Self, ScramError> {
        let (without_proof, proof) = text.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut attributes = without_proof.split(',');
        let mut attribute = |prefix: &str| {
            attributes
                .next()
                .and_then(|attribute| attribute.strip_prefix(prefix))
                .ok_or(ScramError::Malformed)
        };
        Ok(Self {
            channel_binding: attribute("c=")?,
            nonce: attribute("r=")?,
            proof,
            without_proof,
        })
    }
}

impl ScramExchange {
    /// Verifies the client's final message. Returns the server's final message, which contains the server signature.
    ///
    /// # Errors
    /// [`ScramError`] if the message is malformed, or the channel binding or the proof does not match.
    pub fn finish(self, client_final: &[u8]) -> Result<String, ScramError> {
        let client_final = ClientFinal::read(message_text(client_final)?)?;
        let channel_binding = BASE64.decode(client_final.channel_binding).ok();
        if channel_binding.as_ref() != Some(&self.channel_binding) {
            return Err(ScramError::Binding);
        }
        if client_final.nonce != self.nonce {
            return Err(ScramError::Malformed);
        }
        let proof = read_key(client_final.proof).ok_or(ScramError::Malformed)?;
        let auth_message = format!("{},{}", self.first_messages, client_final.without_proof);
        if !self.is_valid_proof(&proof, auth_message.as_bytes()) {
            return Err(ScramError::Proof);
        }
        let server_signature = hmac(&self.verifier.server_key, auth_message.as_bytes());
        Ok(format!("v={}", BASE64.encode(server_signature)))
    }

    /// Whether the proof contains the client key whose hash is the stored key. Compares in constant time.
    fn is_valid_proof(&self, proof: &Key, auth_message: &[u8]) -> bool {
        let client_signature = hmac(&self.verifier.stored_key, auth_message);
        let mut client_key = *proof;
        for (byte, signature_byte) in client_key.iter_mut().zip(client_signature) {
            *byte ^= signature_byte;
        }
        let stored_key: Key = Sha256::digest(client_key).into();
        stored_key.ct_eq(&self.verifier.stored_key).into()
    }
}

#[cfg(test)]
mod tests;

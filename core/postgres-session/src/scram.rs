//! The server's side of SCRAM-SHA-256 (RFC 5802, RFC 7677), as PostgreSQL uses it ("SASL Authentication"). Only verifiers
//! are stored, from which passwords can't be recovered.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Name of the mechanism without channel binding.
pub const MECHANISM: &str = "SCRAM-SHA-256";
/// Name of the mechanism with channel binding.
pub const MECHANISM_WITH_BINDING: &str = "SCRAM-SHA-256-PLUS";
/// Iterations of a verifier that is made from a password; the default of PostgreSQL itself.
const DEFAULT_ITERATIONS: u32 = 4096;
/// Most iterations of a verifier that is read.
const MAX_ITERATIONS: u32 = 1_000_000;
/// Most bytes of the salt of a verifier that is read.
const MAX_SALT_LENGTH: usize = 256;
/// Bytes of the salt that an unknown user is shown.
const UNKNOWN_USER_SALT_LENGTH: usize = 16;
/// Most bytes of a client's message in an exchange.
const MAX_MESSAGE_LENGTH: usize = 2048;

/// Bytes of a SHA-256 hash.
const KEY_LENGTH: usize = 32;

type Key = [u8; KEY_LENGTH];

/// What a password is checked against: keys that are derived from it.
#[derive(Clone)]
pub struct Verifier {
    iterations: u32,
    salt: Vec<u8>,
    stored_key: Key,
    server_key: Key,
}

/// A text that is no verifier. The error does not contain the text, as that may be a secret.
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
    /// Reads a verifier in the form in which PostgreSQL keeps them in `pg_authid`.
    ///
    /// # Errors
    /// [`VerifierError`] if the text does not have this form.
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

    /// The verifier of a password with this salt. The password is used as it is: SASLprep changes nothing of one in
    /// ASCII.
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

    /// A verifier that no password fits, for an unknown user: the exchange then does not show which users exist.
    /// `secret` must be the same for all exchanges, so that a user's salt does not change.
    #[must_use]
    pub fn unknown(secret: &[u8], user: &str) -> Self {
        Self {
            iterations: DEFAULT_ITERATIONS,
            salt: hmac(secret, user.as_bytes())[..UNKNOWN_USER_SALT_LENGTH].to_vec(),
            stored_key: hmac(secret, b"no such key"),
            server_key: hmac(secret, b"nor such"),
        }
    }

    /// The form that [`Verifier::parse`] reads.
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

/// Why an exchange has failed. The client only learns that it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScramError {
    /// The client chose a mechanism that was not offered.
    #[error("a mechanism that was not offered")]
    Mechanism,
    /// A message does not follow the RFC.
    #[error("a malformed message")]
    Malformed,
    /// The client sees another channel than this process: there may be a man in the middle.
    #[error("the channel binding does not fit")]
    Binding,
    /// The proof does not fit the verifier.
    #[error("the proof does not fit")]
    Proof,
}

/// An exchange that waits for the client's final message.
pub struct ScramExchange {
    verifier: Verifier,
    /// What the client's final message must contain as channel binding.
    channel_binding: Vec<u8>,
    /// The client's nonce and the server's.
    nonce: String,
    /// The client's first message without its header, and the server's, separated by a comma.
    first_messages: String,
}

/// An exchange that has begun.
pub struct StartedExchange {
    /// What checks the client's final message.
    pub exchange: ScramExchange,
    /// The server's first message, which is to be sent to the client.
    pub server_first: String,
}

/// Begins an exchange with the client's choice of mechanism and its first message. `channel_binding` is the data of
/// `tls-server-end-point` where TLS is on; `server_nonce` must be random, printable and without commas.
///
/// # Errors
/// [`ScramError`] if the mechanism was not offered, or the message is malformed or does not fit the channel.
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
        // The client could bind and believes that the server can't. Where it can, somebody has changed the offer.
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
    /// Whether and how the client binds the channel.
    binding_flag: &'a str,
    /// What follows the header.
    bare: &'a str,
}

impl<'a> ClientFirst<'a> {
    /// Splits the message. An identity to act for is not allowed.
    fn read(text: &'a str) -> Result<Self, ScramError> {
        let (binding_flag, rest) = text.split_once(',').ok_or(ScramError::Malformed)?;
        let (authorization_identity, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
        if !authorization_identity.is_empty() {
            return Err(ScramError::Malformed);
        }
        Ok(Self { binding_flag, bare })
    }

    /// The client's nonce, which must follow the user's name. The name is ignored, as in PostgreSQL: it is known from
    /// the start-up message.
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
    /// All before the proof.
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
    /// Checks the client's final message. Returns the server's, which proves that this process knows the verifier.
    ///
    /// # Errors
    /// [`ScramError`] if the message is malformed, or the channel binding or the proof does not fit.
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
        if !self.proof_fits(&proof, auth_message.as_bytes()) {
            return Err(ScramError::Proof);
        }
        let server_signature = hmac(&self.verifier.server_key, auth_message.as_bytes());
        Ok(format!("v={}", BASE64.encode(server_signature)))
    }

    /// Whether the client knows the key whose hash the verifier holds; compared in constant time.
    fn proof_fits(&self, proof: &Key, auth_message: &[u8]) -> bool {
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

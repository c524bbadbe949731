//! Authentication of clients: SCRAM-SHA-256 (RFC 5802, RFC 7677) against stored verifiers, from which no password can
//! be recovered.

use std::collections::BTreeMap;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::authentication;
use badgerpost_postgres_session::scram::{
    self, MECHANISM, MECHANISM_WITH_BINDING, ScramError, Verifier,
};
use badgerpost_postgres_session::server_messages::authentication_request;

use crate::client::{Client, ClientError, random_bytes};

/// Bytes of the secret from which the salts of unknown users come.
const SECRET_LENGTH: usize = 32;
/// Characters of the server's part of the nonce.
const NONCE_LENGTH: usize = 18;
/// Bytes of the length that precedes the message itself in a `SASLInitialResponse`.
const LENGTH_FIELD_LENGTH: usize = 4;

/// All users and their verifiers.
pub struct Users {
    verifiers: BTreeMap<String, Verifier>,
    /// For exchanges with unknown users, which look like any other.
    secret: [u8; SECRET_LENGTH],
}

impl Users {
    /// These users, by name.
    ///
    /// # Errors
    /// [`ClientError::Random`] if the system gives no random numbers.
    pub fn new(verifiers: BTreeMap<String, Verifier>) -> Result<Self, ClientError> {
        Ok(Self {
            verifiers,
            secret: random_bytes()?,
        })
    }

    /// Checks that a client knows the password of its user. With TLS, `channel_binding` lets the proof be bound to the
    /// connection.
    ///
    /// # Errors
    /// [`ClientError`] if it does not, or if the connection has ended.
    pub async fn authenticate(
        &self,
        client: &mut Client,
        user: &str,
        channel_binding: Option<&[u8]>,
    ) -> Result<(), ClientError> {
        let mechanisms = offered_mechanisms(channel_binding.is_some());
        let request = authentication_request(authentication::SASL, mechanisms.as_bytes());
        client.send(&[request]).await?;

        let response = client.read_password_message().await?;
        let initial = InitialResponse::read(&response)?;
        let started = scram::start_exchange(
            self.verifier(user),
            &initial.mechanism,
            initial.client_first,
            channel_binding,
            &random_nonce()?,
        )?;
        let server_first = started.server_first.as_bytes();
        let request = authentication_request(authentication::SASL_CONTINUE, server_first);
        client.send(&[request]).await?;

        let response = client.read_password_message().await?;
        let server_final = started.exchange.finish(&response.body)?;
        let request = authentication_request(authentication::SASL_FINAL, server_final.as_bytes());
        Ok(client.send(&[request]).await?)
    }

    fn verifier(&self, user: &str) -> Verifier {
        let known = self.verifiers.get(user).cloned();
        known.unwrap_or_else(|| Verifier::unknown(&self.secret, user))
    }
}

/// The mechanisms' names, each ended by a zero, with one zero more at the end.
fn offered_mechanisms(has_channel_binding: bool) -> String {
    if has_channel_binding {
        format!("{MECHANISM_WITH_BINDING}\0{MECHANISM}\0\0")
    } else {
        format!("{MECHANISM}\0\0")
    }
}

/// A client's `SASLInitialResponse`.
struct InitialResponse<'a> {
    mechanism: String,
    client_first: &'a [u8],
}

impl<'a> InitialResponse<'a> {
    fn read(response: &'a Frame) -> Result<Self, ScramError> {
        let name = response.first_string().ok_or(ScramError::Malformed)?;
        let message_start = name.len() + 1 + LENGTH_FIELD_LENGTH;
        Ok(Self {
            mechanism: String::from_utf8_lossy(name).into_owned(),
            client_first: response.body.get(message_start..).unwrap_or_default(),
        })
    }
}

/// The server's part of the nonce, in letters.
fn random_nonce() -> Result<String, ClientError> {
    let bytes: [u8; NONCE_LENGTH] = random_bytes()?;
    Ok(bytes
        .iter()
        .map(|byte| char::from(b'a' + byte % 26))
        .collect())
}

//! Authentication of clients by SCRAM-SHA-256 (RFC 5802, RFC 7677) against stored verifiers.

use std::collections::BTreeMap;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::authentication;
use badgerpost_postgres_session::scram::{
    self, MECHANISM, MECHANISM_WITH_BINDING, ScramError, Verifier,
};
use badgerpost_postgres_session::server_messages::authentication_request;

use crate::client::{Client, ClientError, random_bytes};
use crate::unauthenticated_clients::PendingClient;

/// Length of the secret from which the salts of unknown users are derived, in bytes.
const SECRET_LENGTH: usize = 32;
/// Length of the node's part of the nonce, in characters.
const NONCE_LENGTH: usize = 18;
/// Size of the length field before the SASL data in a `SASLInitialResponse`, in bytes.
const LENGTH_FIELD_LENGTH: usize = 4;

/// The client users and their SCRAM verifiers.
pub struct Users {
    verifiers: BTreeMap<String, Verifier>,
    /// Derives stable salts for unknown users, so that clients cannot probe which users exist.
    secret: [u8; SECRET_LENGTH],
}

impl Users {
    /// Creates the set of users from verifiers by user name.
    ///
    /// # Errors
    /// [`ClientError::Random`] if the operating system returns no random bytes.
    pub fn new(verifiers: BTreeMap<String, Verifier>) -> Result<Self, ClientError> {
        Ok(Self {
            verifiers,
            secret: random_bytes()?,
        })
    }

    /// Runs a SCRAM exchange that proves that the client knows the password of `user`. `channel_binding` is the
    /// `tls-server-end-point` data of a TLS connection, `None` without TLS. `pending` is the client's slot.
    ///
    /// # Errors
    /// [`ClientError`] if the proof is invalid or the connection ends.
    pub async fn authenticate(
        &self,
        client: &mut Client,
        user: &str,
        channel_binding: Option<&[u8]>,
        pending: &PendingClient,
    ) -> Result<(), ClientError> {
        let mechanisms = offered_mechanisms(channel_binding.is_some());
        let request = authentication_request(authentication::SASL, mechanisms.as_bytes());
        client.send(&[request]).await?;

        let response = client.read_password_message(pending).await?;
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

        let response = client.read_password_message(pending).await?;
        let server_final = started.exchange.finish(&response.body)?;
        let request = authentication_request(authentication::SASL_FINAL, server_final.as_bytes());
        Ok(client.send(&[request]).await?)
    }

    fn verifier(&self, user: &str) -> Verifier {
        let known = self.verifiers.get(user).cloned();
        known.unwrap_or_else(|| Verifier::unknown(&self.secret, user))
    }
}

/// The list of mechanisms in `AuthenticationSASL`: names terminated by a zero byte, and a final zero byte.
fn offered_mechanisms(has_channel_binding: bool) -> String {
    if has_channel_binding {
        format!("{MECHANISM_WITH_BINDING}\0{MECHANISM}\0\0")
    } else {
        format!("{MECHANISM}\0\0")
    }
}

/// The contents of a client's `SASLInitialResponse`.
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

/// The node's part of the nonce, in lowercase letters.
fn random_nonce() -> Result<String, ClientError> {
    let bytes: [u8; NONCE_LENGTH] = random_bytes()?;
    Ok(bytes
        .iter()
        .map(|byte| char::from(b'a' + byte % 26))
        .collect())
}

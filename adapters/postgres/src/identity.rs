//! Who clients are: the exchange by which one shows that it knows its password (SCRAM-SHA-256, RFC 5802 and RFC
//! 7677), against verifiers that tell nobody the password.

use std::collections::BTreeMap;

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::scram::{self, Verifier};

use crate::client::{Client, ClientError, random};

/// All users that may come.
pub struct Users {
    verifiers: BTreeMap<String, Verifier>,
    /// For exchanges with unknown users, which look like any other.
    secret: [u8; 32],
}

impl Users {
    /// These users, by name.
    pub fn new(verifiers: BTreeMap<String, Verifier>) -> Result<Self, ClientError> {
        Ok(Self {
            verifiers,
            secret: random()?,
        })
    }

    /// The exchange by which a client shows that it knows its password.
    pub async fn prove(
        &self,
        client: &mut Client,
        user: &str,
        binding: Option<&[u8]>,
    ) -> Result<(), ClientError> {
        let known = self.verifiers.get(user).cloned();
        let verifier = known.unwrap_or_else(|| Verifier::unknown(&self.secret, user));
        // With TLS the proof can be bound to this very channel.
        let plus = binding.map_or(String::new(), |_| {
            format!("{}\0", scram::MECHANISM_WITH_BINDING)
        });
        let offered = format!("{plus}{}\0\0", scram::MECHANISM);
        client.send(&[request(10, offered.as_bytes())]).await?;
        let first = client.password().await?;
        let name = first
            .first_string()
            .ok_or(ClientError::Identity(scram::ScramError::Malformed))?;
        let mechanism = String::from_utf8_lossy(name).into_owned();
        // Its length stands before the message itself.
        let message = first.body.get(name.len() + 5..).unwrap_or_default();
        let nonce = random::<18>()?
            .map(|byte| char::from(b'a' + byte % 26))
            .iter()
            .collect::<String>();
        let begun = scram::begin(verifier, &mechanism, message, binding, &nonce);
        let started = begun.map_err(ClientError::Identity)?;
        client
            .send(&[request(11, started.server_first.as_bytes())])
            .await?;
        let last = client.password().await?;
        let proof = started
            .exchange
            .finish(&last.body)
            .map_err(ClientError::Identity)?;
        client.send(&[request(12, proof.as_bytes())]).await?;
        Ok(())
    }
}

/// An authentication request.
fn request(kind: u32, rest: &[u8]) -> Frame {
    Frame::new(b'R', [&kind.to_be_bytes(), rest].concat())
}

//! Authentication of the node at a server by SCRAM-SHA-256, with channel binding on TLS connections (RFC 5802, RFC
//! 7677).

use badgerpost_postgres_session::frame::Frame;
use badgerpost_postgres_session::message_tags::authentication;
use badgerpost_postgres_session::scram::{MECHANISM, MECHANISM_WITH_BINDING};
use bytes::Buf;
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::message::frontend;

use super::{ConnectError, NewConnection, ProtocolViolation};
use crate::logins::Credentials;

/// Length of the code at the start of an authentication request, in bytes.
const REQUEST_CODE_LENGTH: usize = 4;

/// The state of the authentication of one login.
pub(super) struct Authentication<'a> {
    credentials: &'a Credentials,
    /// Channel binding data `tls-server-end-point`; `None` without TLS.
    channel_binding: Option<Vec<u8>>,
    /// The SCRAM exchange in progress; `None` before it starts and after the server's signature is verified.
    exchange: Option<ScramSha256>,
}

impl<'a> Authentication<'a> {
    pub(super) fn new(credentials: &'a Credentials, channel_binding: Option<Vec<u8>>) -> Self {
        Self {
            credentials,
            channel_binding,
            exchange: None,
        }
    }

    /// Handles an authentication request of the server.
    pub(super) async fn handle(
        &mut self,
        connection: &mut NewConnection,
        request: Frame,
    ) -> Result<(), ConnectError> {
        let mut body = request.body;
        if body.len() < REQUEST_CODE_LENGTH {
            return Err(ProtocolViolation::ShortAuthenticationRequest.into());
        }
        let unsupported = ConnectError::UnsupportedAuthentication;
        match body.get_u32() {
            authentication::OK => self.check_complete(),
            authentication::CLEARTEXT_PASSWORD => Err(unsupported("a cleartext password")),
            authentication::MD5_PASSWORD => Err(unsupported("an MD5 password")),
            authentication::SASL => self.start_exchange(connection, &body).await,
            authentication::SASL_CONTINUE if self.exchange.is_some() => {
                self.continue_exchange(connection, &body).await
            }
            authentication::SASL_FINAL if self.exchange.is_some() => self.finish_exchange(&body),
            _ => Err(unsupported(
                "an unsupported or unexpected authentication method",
            )),
        }
    }

    fn check_complete(&self) -> Result<(), ConnectError> {
        // While an exchange is in progress, the server has not proven knowledge of the password.
        match self.exchange {
            Some(_) => Err(ProtocolViolation::NoServerSignature.into()),
            None => Ok(()),
        }
    }

    /// Chooses one of the SASL mechanisms that the server offers and sends `SASLInitialResponse`.
    async fn start_exchange(
        &mut self,
        connection: &mut NewConnection,
        offered: &[u8],
    ) -> Result<(), ConnectError> {
        let is_offered = |mechanism: &str| {
            offered
                .split(|byte| *byte == 0)
                .any(|name| name == mechanism.as_bytes())
        };
        let (mechanism, binding) = match &self.channel_binding {
            Some(binding) if is_offered(MECHANISM_WITH_BINDING) => (
                MECHANISM_WITH_BINDING,
                ChannelBinding::tls_server_end_point(binding.clone()),
            ),
            Some(_) if is_offered(MECHANISM) => (MECHANISM, ChannelBinding::unrequested()),
            None if is_offered(MECHANISM) => (MECHANISM, ChannelBinding::unsupported()),
            _ => {
                return Err(ConnectError::UnsupportedAuthentication(
                    "an unsupported SASL mechanism",
                ));
            }
        };
        let password = self
            .credentials
            .password
            .as_ref()
            .ok_or(ConnectError::NoPassword)?;
        let exchange = ScramSha256::new(password.as_bytes(), binding);
        connection
            .send(|out| frontend::sasl_initial_response(mechanism, exchange.message(), out))
            .await?;
        self.exchange = Some(exchange);
        Ok(())
    }

    async fn continue_exchange(
        &mut self,
        connection: &mut NewConnection,
        server_first: &[u8],
    ) -> Result<(), ConnectError> {
        let Some(exchange) = &mut self.exchange else {
            return Ok(());
        };
        exchange.update(server_first)?;
        connection
            .send(|out| frontend::sasl_response(exchange.message(), out))
            .await
    }

    /// Verifies the server's signature in the final message of the exchange.
    fn finish_exchange(&mut self, server_final: &[u8]) -> Result<(), ConnectError> {
        if let Some(mut exchange) = self.exchange.take() {
            exchange.finish(server_final)?;
        }
        Ok(())
    }
}

//! The messages that complete a client's start-up: `AuthenticationOk`, `ParameterStatus`, `BackendKeyData` and
//! `ReadyForQuery`.

use badgerpost_postgres_session::server_messages::{
    ParameterStatus, TransactionStatus, authentication_ok, backend_key_data,
};
use badgerpost_postgres_session::settings::ClientSettings;
use bytes::BytesMut;

use crate::cancellation::SecretKey;
use crate::client_registry::RegisteredClient;
use crate::login::Parameters;

/// Encodes the start-up messages for a client. `settings` override the `parameters` of the servers.
pub(super) fn encode(
    mut parameters: Parameters,
    settings: &ClientSettings,
    client: &RegisteredClient,
    cancel_key: SecretKey,
) -> BytesMut {
    parameters.entry("application_name".to_owned()).or_default();
    for (name, value) in &mut parameters {
        apply_session_value(name, value, settings, client);
    }
    let mut out = BytesMut::new();
    authentication_ok().write(&mut out);
    for (name, value) in &parameters {
        let status = ParameterStatus {
            name: name.into(),
            value: value.into(),
        };
        status.to_frame().write(&mut out);
    }
    backend_key_data(client.number(), cancel_key).write(&mut out);
    TransactionStatus::Idle.ready_for_query().write(&mut out);
    out
}

/// Replaces the server's value of a parameter by the value in this client's session.
fn apply_session_value(
    name: &str,
    value: &mut String,
    settings: &ClientSettings,
    client: &RegisteredClient,
) {
    let requested = settings
        .iter()
        .find(|(requested_name, _)| name.eq_ignore_ascii_case(requested_name));
    if let Some((_, requested_value)) = requested {
        requested_value.clone_into(value);
    }
    if name == "session_authorization" {
        client.user().clone_into(value);
    }
}

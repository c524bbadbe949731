//! The messages that follow a client's authentication: parameters, cancel key, and that it may send a query.

use badgerpost_postgres_session::server_messages::{
    ParameterStatus, TransactionStatus, authentication_ok, backend_key_data,
};
use badgerpost_postgres_session::settings::ClientSettings;
use bytes::BytesMut;

use crate::cancellation::SecretKey;
use crate::client_registry::RegisteredClient;
use crate::login::Parameters;

/// The greeting of a client whose servers have these parameters and who wants these settings.
pub(super) fn encode(
    mut parameters: Parameters,
    settings: &ClientSettings,
    client: &RegisteredClient,
    cancel_key: SecretKey,
) -> BytesMut {
    parameters.entry("application_name".to_owned()).or_default();
    for (name, value) in &mut parameters {
        adapt_to_client(name, value, settings, client);
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

/// Replaces a parameter's value by the one that it has in this client's session.
fn adapt_to_client(
    name: &str,
    value: &mut String,
    settings: &ClientSettings,
    client: &RegisteredClient,
) {
    let wanted = settings
        .iter()
        .find(|(wanted_name, _)| name.eq_ignore_ascii_case(wanted_name));
    if let Some((_, wanted_value)) = wanted {
        wanted_value.clone_into(value);
    }
    if name == "session_authorization" {
        client.user().clone_into(value);
    }
}

//! The tables of SHOW. Operators' tools depend on the column names.

use super::table::{Table, row};
use crate::client_registry::ClientEntry;
use crate::context::ServerContext;
use crate::pool::{ServerAddress, ServerStats};

/// SHOW POOLS: connection statistics of each server.
pub(super) fn pools(context: &ServerContext) -> Table {
    let columns = &[
        "server",
        "address",
        "sv_active",
        "sv_idle",
        "sv_login",
        "cl_waiting",
        "hold_us",
        "transactions",
        "state",
        "sv_dropped",
    ];
    let pool_row = |server: ServerStats| {
        row([
            &context.engine.endpoint_name(server.address.backend),
            &server.address.endpoint,
            &server.open.saturating_sub(server.idle),
            &server.idle,
            &server.logging_in,
            &server.waiting,
            &server.mean_lease_us,
            &server.transactions,
            &context.pool.state(),
            &server.dropped,
        ])
    };
    let rows = context.pool.stats().into_iter().map(pool_row);
    Table::new(columns, rows.collect())
}

/// SHOW CLIENTS: the clients and the activity of their sessions.
pub(super) fn clients(context: &ServerContext) -> Table {
    let columns = &[
        "client",
        "user",
        "database",
        "application",
        "address",
        "tls",
        "state",
        "server",
        "pinned",
        "transactions",
        "held_bytes",
    ];
    let clients = context.clients.clients();
    let rows = clients.iter().map(|client| client_row(client));
    Table::new(columns, rows.collect())
}

fn client_row(client: &ClientEntry) -> Vec<String> {
    let identity = &client.identity;
    let activity = client.activity();
    let server = activity.server.map(|endpoint| endpoint.to_string());
    let sticky_reason = activity.sticky_reason.map(|reason| reason.to_string());
    row([
        &client.number,
        &identity.user,
        &identity.database,
        &identity.application,
        &identity.address,
        &identity.is_tls,
        &activity,
        &server.unwrap_or_default(),
        &sticky_reason.unwrap_or_default(),
        &client.transactions(),
        &client.held_bytes(),
    ])
}

/// SHOW SERVERS: the servers known to the pool, and whether they are in service.
pub(super) fn servers(context: &ServerContext) -> Table {
    let in_service: Vec<ServerAddress> = context
        .engine
        .endpoints_in_service()
        .into_iter()
        .map(ServerAddress::from)
        .collect();
    let server_row = |server: ServerStats| {
        let state = if in_service.contains(&server.address) {
            "in service"
        } else {
            "leaving"
        };
        row([
            &context.engine.endpoint_name(server.address.backend),
            &server.address.endpoint,
            &state,
            &server.open,
            &server.transactions,
        ])
    };
    let rows = context.pool.stats().into_iter().map(server_row);
    Table::new(
        &["server", "address", "state", "connections", "transactions"],
        rows.collect(),
    )
}

/// SHOW STATS: counters of the node.
pub(super) fn stats(context: &ServerContext) -> Table {
    let unauthenticated = &context.unauthenticated;
    let rows = vec![
        row([&"sessions", &context.sessions.get()]),
        row([&"transactions", &context.clients.transactions()]),
        row([&"unidentified", &unauthenticated.pending()]),
        row([&"unidentified_evicted", &unauthenticated.evictions()]),
        row([&"unidentified_bytes", &unauthenticated.buffered_bytes()]),
        row([&"client_bytes", &context.clients.held_bytes()]),
        row([
            &"client_memory_refusals",
            &context.session_memory.refusals(),
        ]),
    ];
    Table::new(&["name", "value"], rows)
}

/// SHOW CONFIG: the settings in use, by configuration key.
pub(super) fn config(context: &ServerContext) -> Table {
    let config = &context.config;
    let pooling = format!("{:?}", config.pooling).to_lowercase();
    let tls = match &config.tls {
        Some(tls) if tls.is_required => "required",
        Some(_) => "offered",
        None => "off",
    };
    let server_tls = match &config.server_tls {
        Some(_) => "required",
        None => "off",
    };
    let classes: Vec<&str> = config
        .class
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let rows = vec![
        row([&"listen", &config.listen]),
        row([&"zone", &config.zone]),
        row([&"clients", &config.max_clients]),
        row([&"unidentified", &config.max_unauthenticated_clients]),
        row([&"pooling", &pooling]),
        row([&"per_server", &config.max_connections_per_server]),
        row([&"logins", &config.max_concurrent_logins]),
        row([&"min_idle", &config.min_idle]),
        row([&"idle_close_ms", &config.idle_timeout_ms]),
        row([&"lifetime_ms", &config.max_lifetime_ms]),
        row([&"tls", &tls]),
        row([&"server_tls", &server_tls]),
        row([&"classes", &classes.join(", ")]),
    ];
    Table::new(&["key", "value"], rows)
}

//! Measures the node's memory for each idle client.

use std::path::Path;

use tokio_postgres::Client;

use super::{Figure, ProcessUsage, Report, client_error, connect};
use crate::postgres::PgEnvironment;
use crate::postgres::load::ConnectionParameters;
use crate::run::RunError;

/// Idle clients whose memory is measured.
const CLIENTS: usize = 1500;
/// Clients that connect before the first reading, to exclude the node's one-time allocations.
const WARM_UP_CLIENTS: usize = 101;

pub(super) async fn measure(program: &Path, report: Report<'_>) -> Result<(), RunError> {
    let environment = PgEnvironment::start(1, program, 0)?;
    let parameters = environment.node_parameters();
    let mut clients = Vec::new();
    for _ in 0..WARM_UP_CLIENTS {
        clients.push(idle_client(&parameters).await?);
    }
    let before = ProcessUsage::read(environment.node_id())?.resident_bytes;
    for _ in 0..CLIENTS {
        clients.push(idle_client(&parameters).await?);
    }
    let after = ProcessUsage::read(environment.node_id())?.resident_bytes;
    report(Figure {
        name: format!(
            "memory of an idle client (mean of {CLIENTS} clients, each after one statement)"
        ),
        value: format!("{:.2} KB", (after - before) / CLIENTS as f64 / 1024.0),
    });
    Ok(())
}

/// Connects a client and runs one statement.
async fn idle_client(parameters: &ConnectionParameters) -> Result<Client, RunError> {
    let client = connect(parameters).await.map_err(client_error)?;
    client
        .batch_execute("SELECT 1")
        .await
        .map_err(client_error)?;
    Ok(client)
}

//! Measures the latency of a load and the connects of new clients during a flood of connections that send nothing.

use std::path::Path;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;

use super::closed_loop::{self, Request};
use super::{Figure, RUN_DURATION, Report, connect};
use crate::postgres::PgEnvironment;
use crate::postgres::load::ConnectionParameters;
use crate::run::RunError;

/// Clients of the load whose latency is measured.
const LOAD_CLIENTS: usize = 8;
/// New clients that connect during the flood.
const NEW_CLIENTS: usize = 100;
/// Time limit for a new client's connect and first statement; a client that exceeds the limit counts as late.
const LATE_AFTER: Duration = Duration::from_secs(1);
/// Connections opened between two pauses, in which other tasks run.
const FLOOD_BATCH: usize = 16;

/// The connections of the flood.
struct Flood {
    /// Held until the end of the measurement.
    _connections: Vec<TcpStream>,
    failed_connects: usize,
}

/// Counts of the new clients that failed or were late during the flood.
#[derive(Default)]
struct NewClients {
    rejected: usize,
    late: usize,
}

pub(super) async fn measure(
    program: &Path,
    silent_connections: usize,
    report: Report<'_>,
) -> Result<(), RunError> {
    let environment = PgEnvironment::start(1, program, 0)?;
    let parameters = environment.node_parameters();
    let load = || closed_loop::run(&parameters, LOAD_CLIENTS, Request::Select, RUN_DURATION);
    let before_flood = load().await?;
    let (during_flood, flood, new_clients) = tokio::join!(
        load(),
        open_silent_connections(&parameters, silent_connections),
        connect_new_clients(&parameters)
    );
    let during_flood = during_flood?;
    let (p99_before, p99_flood) = (
        before_flood.quantile_us(0.99),
        during_flood.quantile_us(0.99),
    );
    report(Figure {
        name: format!(
            "latency during a flood of {silent_connections} silent connections ({} could not be opened)",
            flood.failed_connects
        ),
        value: format!(
            "p99 {p99_before:.0} us before, {p99_flood:.0} us during the flood ({:.2} times); \
             {} of {NEW_CLIENTS} new clients rejected, {} later than 1 s",
            p99_flood / p99_before.max(1e-9),
            new_clients.rejected,
            new_clients.late
        ),
    });
    Ok(())
}

async fn open_silent_connections(parameters: &ConnectionParameters, count: usize) -> Flood {
    let mut connections = Vec::with_capacity(count);
    let mut failed_connects = 0;
    for index in 0..count {
        match TcpStream::connect(("127.0.0.1", parameters.port)).await {
            Ok(connection) => connections.push(connection),
            Err(_) => failed_connects += 1,
        }
        if index % FLOOD_BATCH == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    Flood {
        _connections: connections,
        failed_connects,
    }
}

async fn connect_new_clients(parameters: &ConnectionParameters) -> NewClients {
    let mut result = NewClients::default();
    for _ in 0..NEW_CLIENTS {
        let started = Instant::now();
        match connect(parameters).await {
            Ok(client) if client.batch_execute("SELECT 1").await.is_ok() => {}
            _ => result.rejected += 1,
        }
        result.late += usize::from(started.elapsed() > LATE_AFTER);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    result
}

//! Benchmark of the node's PostgreSQL front end: latency and throughput through the node and, in the same run, without
//! the node; CPU time of a request, memory of an idle client, service interruptions, and latency during a flood.

mod closed_loop;
mod failover;
mod flood;
mod idle;
mod statements;

use std::path::Path;
use std::time::Duration;

use tokio_postgres::Client;

use super::load::{self, ConnectionParameters};
use crate::run::RunError;

/// Duration of one closed-loop run.
const RUN_DURATION: Duration = Duration::from_millis(1500);

/// One result of the benchmark.
#[derive(Clone, Debug)]
pub struct Figure {
    /// A description of the measured quantity and its conditions.
    pub name: String,
    /// The measured value with its unit.
    pub value: String,
}

/// Callback that receives each figure when its measurement is complete.
type Report<'a> = &'a mut dyn FnMut(Figure);

/// Runs all measurements. `silent_connections` is the number of idle connections that the flood opens.
pub fn measure(program: &Path, silent_connections: usize, report: Report) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        statements::measure(program, report).await?;
        idle::measure(program, report).await?;
        failover::measure(program, report).await?;
        flood::measure(program, silent_connections, report).await
    })
}

async fn connect(parameters: &ConnectionParameters) -> Result<Client, tokio_postgres::Error> {
    let mut config = parameters.tokio_postgres_config();
    config.application_name("measure");
    load::connect(&config).await
}

fn client_error(error: impl std::fmt::Display) -> RunError {
    RunError::Environment(format!(
        "PostgreSQL client of the benchmark failed: {error}"
    ))
}

/// The value below which this fraction of the sorted values lies; `None` if there are no values.
fn quantile(sorted: &[f64], fraction: f64) -> Option<f64> {
    let last = sorted.len().max(1) - 1;
    sorted.get((last as f64 * fraction) as usize).copied()
}

/// Resource usage of a process.
struct ProcessUsage {
    /// User and system CPU time, in microseconds.
    cpu_us: f64,
    /// Resident memory, in bytes.
    resident_bytes: f64,
}

impl ProcessUsage {
    /// Index of the user time in `/proc/PID/stat`, counted from the field after the program's name.
    const USER_TIME_FIELD: usize = 11;
    const SYSTEM_TIME_FIELD: usize = 12;
    /// Duration of a clock tick of `/proc/PID/stat`, for `USER_HZ` = 100.
    const TICK_US: f64 = 10_000.0;
    const KIBIBYTE: f64 = 1024.0;

    /// Reads the resource usage of a process from `/proc`.
    fn read(process_id: u32) -> Result<Self, RunError> {
        let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| {
            fields
                .get(index)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kib = resident
            .and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok())
            .unwrap_or(0.0);
        Ok(Self {
            cpu_us: (ticks(Self::USER_TIME_FIELD) + ticks(Self::SYSTEM_TIME_FIELD)) * Self::TICK_US,
            resident_bytes: resident_kib * Self::KIBIBYTE,
        })
    }
}

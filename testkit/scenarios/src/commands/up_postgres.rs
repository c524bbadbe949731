//! The `up` command for PostgreSQL scenarios.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use badgerpost_scenarios::postgres::{PgEnvironment, PgScenario};
use serde_json::json;

use crate::failure::Failure;
use crate::output::print_line;
use crate::stay::StopRequest;

/// Interval between two checks for a stop request.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the databases and a node, prints their addresses and credentials as one line of JSON, and runs until a signal
/// or the end of standard input requests a stop.
pub(super) fn up(scenario: &PgScenario, port: u16, program: &Path) -> Result<ExitCode, Failure> {
    let stop = StopRequest::on_signals()?;
    let environment = PgEnvironment::start(*scenario.databases.get_ref(), program, port)?;
    let client = environment.node_parameters();
    let databases: Vec<String> = environment
        .databases()
        .iter()
        .map(|database| database.address.to_string())
        .collect();
    let description = json!({
        "scene": "postgres",
        "nodes": [{"name": "n0", "listen": environment.http, "pid": environment.node_id()}],
        "postgres": {
            "listen": environment.listen,
            "user": client.user,
            "password": client.password,
            "database": client.database,
            "databases": databases,
            "databases_user": "node",
            "databases_password": "node-password",
        },
    });
    print_line(&description.to_string())?;
    stop.on_end_of_input();
    while !stop.is_requested() {
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
    Ok(ExitCode::SUCCESS)
}

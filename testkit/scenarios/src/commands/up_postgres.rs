//! `up` of a scene of PostgreSQL.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use badgerpost_scenarios::postgres::{PgEnvironment, PgScenario};
use serde_json::json;

use crate::failure::Failure;
use crate::output::print_line;
use crate::stay::StopRequest;

/// How often it is checked whether the program is to end.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the databases and the node before them, prints a line of JSON once all is ready, and stays until it is
/// stopped.
pub(super) fn up(scene: &PgScenario, port: u16, program: &Path) -> Result<ExitCode, Failure> {
    let stop = StopRequest::on_signals()?;
    let environment = PgEnvironment::start(*scene.databases.get_ref(), program, port)?;
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

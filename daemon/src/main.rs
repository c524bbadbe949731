//! badgerpost, a load-balancing node that applies the decisions of `badgerpost_balancer` to TCP connections. This file
//! is the command line; `config.rs` reads the configuration, and `node.rs` starts and runs the node.

mod background_tasks;
mod config;
mod handover;
mod listening;
mod node;
mod resource_quota;

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use badgerpost_engine::LogOutput;
use clap::{CommandFactory, Parser, Subcommand};

use config::{Config, LogFormat};

/// A load-balancing node: forwards each request to a server and sends the client exactly one final response within
/// the deadline of the request's class.
#[derive(Parser)]
#[command(name = "badgerpost", version, after_help = EXAMPLES)]
struct Arguments {
    /// The platform's configuration of this node (JSON)
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE", global = true)]
    edge_config: Option<PathBuf>,
    /// The operators' configuration (TOML), which enables optional features
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validate both configurations and print the enabled features; exit code 0 only if both are valid
    Check,
}

const EXAMPLES: &str = "Examples:
  EDGE_CONFIG=config.json badgerpost
  EDGE_CONFIG=config.json badgerpost --config deploy/badgerpost.toml
  badgerpost check --edge-config config.json --config deploy/badgerpost.toml

Signals: SIGTERM and SIGINT stop the node after it has answered the requests that it has accepted; SIGHUP reloads
the file that EDGE_CONFIG names.";

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(platform_file) = arguments.edge_config else {
        eprintln!(
            "badgerpost: no platform configuration: EDGE_CONFIG is not set and --edge-config is not given\n"
        );
        eprintln!("{}", Arguments::command().render_help());
        return ExitCode::from(2);
    };
    let config = match Config::read(&platform_file, arguments.config.as_deref()) {
        Ok(config) => config,
        Err(error) => return report_failure(&error),
    };
    if let Some(Command::Check) = arguments.command {
        for line in config.summary() {
            println!("{line}");
        }
        return ExitCode::SUCCESS;
    }
    let log = match start_logging(config.operator.log.format) {
        Ok(log) => log,
        Err(error) => return report_failure(&error),
    };
    let result = node::run(config, platform_file);
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

/// Starts logging to standard error. The returned output has to be flushed before the process exits.
fn start_logging(format: LogFormat) -> io::Result<LogOutput> {
    let output = LogOutput::start(io::stderr(), |lines| {
        tracing::warn!(lines, "log lines were lost");
    })?;
    let writer = output.clone();
    let log = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .log_internal_errors(false)
        .with_ansi(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
    Ok(output)
}

fn report_failure(error: &dyn std::error::Error) -> ExitCode {
    // If standard error is closed, only the exit code reports the failure.
    let _ = writeln!(io::stderr(), "badgerpost: {error}");
    ExitCode::FAILURE
}

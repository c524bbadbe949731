//! badgerpost, a load-balancing node: the decisions of `badgerpost_balancer` on real sockets. This file is the command
//! line; `config.rs` reads the configuration, `node.rs` wires the parts and runs them.

mod background_tasks;
mod config;
mod descriptor_quota;
mod handover;
mod listening;
mod node;

use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use badgerpost_engine::LogOutput;
use clap::{CommandFactory, Parser, Subcommand};

use config::{Config, LogFormat};

/// A load-balancing node: takes requests, sends each to a server of its choice, and gives exactly one final
/// answer to each within the client's time.
#[derive(Parser)]
#[command(name = "badgerpost", version, after_help = EXAMPLES)]
struct Arguments {
    /// The platform's configuration of this node, in JSON
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE", global = true)]
    edge_config: Option<PathBuf>,
    /// The operators' own configuration, in TOML: switches on what is off by default
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check both configurations and say what would run; exit code 0 only if they can be used
    Check,
}

const EXAMPLES: &str = "Examples:
  EDGE_CONFIG=config.json badgerpost
  EDGE_CONFIG=config.json badgerpost --config deploy/badgerpost.toml
  badgerpost check --edge-config config.json --config deploy/badgerpost.toml

Signals: SIGTERM and SIGINT end the node when all it has taken is answered; SIGHUP reads EDGE_CONFIG anew.";

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let Some(platform_file) = arguments.edge_config else {
        eprintln!(
            "badgerpost: no configuration: EDGE_CONFIG is not set and --edge-config is not given\n"
        );
        eprintln!("{}", Arguments::command().render_help());
        return ExitCode::from(2);
    };
    let config = match Config::read(&platform_file, arguments.config.as_deref()) {
        Ok(config) => config,
        Err(error) => return failed(&error),
    };
    if let Some(Command::Check) = arguments.command {
        for line in config.summary() {
            println!("{line}");
        }
        return ExitCode::SUCCESS;
    }
    let log = match log_to_standard_error(config.operator.log.format) {
        Ok(log) => log,
        Err(error) => return failed(&error),
    };
    let result = node::run(config, platform_file);
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

/// Begins to log. The lines so far are written once the returned output is flushed.
fn log_to_standard_error(format: LogFormat) -> io::Result<LogOutput> {
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

fn failed(error: &dyn std::error::Error) -> ExitCode {
    // Where this can't be written either, the exit code says it.
    let _ = writeln!(io::stderr(), "badgerpost: {error}");
    ExitCode::FAILURE
}

//! The command line. Names of commands, arguments and values are part of the interface for operators.

use std::ops::Range;
use std::path::PathBuf;

use badgerpost_scenarios::run::Options;
use clap::{Args, Parser, Subcommand};

use crate::failure::Failure;

/// Plays scenes with faults against the released badgerpost node over loopback sockets, with fake clients, match servers
/// and discovery, and checks the four rules.
#[derive(Parser)]
#[command(name = "badgerpost-rehearse", version, after_help = EXAMPLES)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

const EXAMPLES: &str = "Examples:
  badgerpost-rehearse list
  badgerpost-rehearse up calm --port 8087
  badgerpost-rehearse run night --seed 7 --out night.jsonl --plot night.svg
  badgerpost-rehearse run my-scene.toml --seed 1 --real-time
  badgerpost-rehearse hunt night --seeds 1..200 --out found.json
  badgerpost-rehearse run --repro found.json

A scene is the name of a shipped scene or a file. Exit codes of `run`: 0 all rules were kept, 1 a rule was broken or an
expectation was not met, 2 a node crashed or the run could not be played.";

// The doc comments below are the help texts of the commands and their arguments.

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start the nodes and fakes of a scene, print one line of JSON when all are ready, and run until stopped
    Up(UpArguments),
    /// Play a scene to its end and check the rules
    Run(RunArguments),
    /// Search seeds and fault schedules for a broken rule or an unmet expectation, and reduce the first one found
    Hunt(HuntArguments),
    /// Play a scene with many seeds and print the minimum, median and maximum of each measure of the fleet
    Sweep(SweepArguments),
    /// Play random runs in real time, with several faults at once, and check the rules with the platform's own limits
    Soak(SoakArguments),
    /// Measure clients of a fake PostgreSQL database through the node and, for comparison, directly
    MeasurePostgres(MeasureArguments),
    /// List the shipped scenes
    List,
}

#[derive(Args)]
pub(crate) struct UpArguments {
    /// The name of a shipped scene, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// The number of the scene's nodes to start; all by default
    #[arg(long, value_name = "N")]
    pub(crate) nodes: Option<usize>,
    /// The port of the first node; 0 for any free port
    #[arg(long, default_value_t = 0)]
    pub(crate) port: u16,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct RunArguments {
    /// The name of a shipped scene, or a file
    #[arg(id = "scene", value_name = "SCENE", required_unless_present = "repro")]
    pub(crate) scenario: Option<String>,
    /// The seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Write the outcome log to this file, one line for each request
    #[arg(long, value_name = "FILE.jsonl")]
    pub(crate) out: Option<PathBuf>,
    /// Write a plot of the run to this file
    #[arg(long, value_name = "FILE.svg")]
    pub(crate) plot: Option<PathBuf>,
    /// Repeat exactly the run that `hunt` wrote to this file
    #[arg(long, value_name = "FILE", conflicts_with_all = ["scene", "seed"])]
    pub(crate) repro: Option<PathBuf>,
    /// Play in real time, for load; outcome logs differ between runs
    #[arg(long)]
    pub(crate) real_time: bool,
    /// Write the last lines of the nodes' logs to this file
    #[arg(long, value_name = "FILE")]
    pub(crate) logs: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct HuntArguments {
    /// The name of a shipped scene, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// The seeds from A up to, but not including, B
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// Write the reduced run to this file, as a repro file
    #[arg(long, value_name = "FILE", default_value = "repro.json")]
    pub(crate) out: PathBuf,
    /// Keep the faults of the scene and vary the requests only
    #[arg(long)]
    pub(crate) as_written: bool,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct SweepArguments {
    /// The name of a shipped scene, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// The seeds from A up to, but not including, B
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// The number of concurrent runs
    #[arg(long, default_value_t = 2)]
    pub(crate) jobs: usize,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct SoakArguments {
    /// The seeds from A up to, but not including, B
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// The number of concurrent runs
    #[arg(long, default_value_t = 2)]
    pub(crate) jobs: usize,
    /// The node's program; by default the one in the directory of this program
    #[arg(long, value_name = "PATH")]
    pub(crate) node: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct MeasureArguments {
    /// The number of connections in the flood measurement that send nothing
    #[arg(long, default_value_t = 10_000)]
    pub(crate) silent: usize,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

// The program and the settings of the nodes.
#[derive(Args)]
pub(crate) struct NodeProgram {
    /// The node's program; by default the one in the directory of this program
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// Settings file for every node of an HTTP scene, in TOML, appended to the settings in the scene
    #[arg(long = "own", value_name = "FILE.toml")]
    operator_settings: Option<PathBuf>,
    /// Let the nodes gossip with each other; their settings have to enable zone health
    #[arg(long = "peers")]
    gossip: bool,
}

impl NodeProgram {
    /// The options of a run with this program. `port` is the port of the first node; 0 for any free port.
    pub(crate) fn options(&self, real_time: bool, port: u16) -> Result<Options, Failure> {
        let operator_settings = match &self.operator_settings {
            Some(path) => std::fs::read_to_string(path).map_err(|source| Failure::File {
                path: path.clone(),
                source,
            })?,
            None => String::new(),
        };
        Ok(Options {
            program: self.path()?,
            real_time,
            port,
            extra_settings: operator_settings,
            gossip: self.gossip,
            system_faults: Vec::new(),
        })
    }

    /// The path of the node's program; an error if no path is given and the default does not exist.
    pub(crate) fn path(&self) -> Result<PathBuf, Failure> {
        match &self.node {
            Some(path) => Ok(path.clone()),
            None => Ok(badgerpost_fakes::program("badgerpost")?),
        }
    }
}

/// A text that is not a range of seeds, or an empty range.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("expected a range of seeds that is not empty, as in 1..100")]
struct InvalidSeedRange;

/// Parses a range of seeds `FIRST..END`, which must not be empty.
fn parse_seed_range(text: &str) -> Result<Range<u64>, InvalidSeedRange> {
    let (first, end) = text.split_once("..").ok_or(InvalidSeedRange)?;
    let first = first.trim().parse().map_err(|_| InvalidSeedRange)?;
    let end = end.trim().parse().map_err(|_| InvalidSeedRange)?;
    let range: Range<u64> = first..end;
    if range.is_empty() {
        Err(InvalidSeedRange)
    } else {
        Ok(range)
    }
}

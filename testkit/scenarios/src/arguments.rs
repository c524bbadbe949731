//! The command line. Its words are part of the interface: help texts and names of arguments stay as operators know them.

use std::ops::Range;
use std::path::PathBuf;

use badgerpost_scenarios::run::Options;
use clap::{Args, Parser, Subcommand};

use crate::failure::Failure;

/// Rehearses trouble: plays a scene against the released badgerpost node on loopback sockets, with stand-ins for
/// clients, match servers and discovery, and checks the four rules.
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

A scene is the name of a shipped one or a file. Exit codes of `run`: 0 all rules held, 1 a rule was broken or an
expectation lost, 2 a node crashed or the run could not be played.";

// The doc comments below are the help texts of the commands and their arguments.

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a scene's nodes and stand-ins, print one line of JSON once all are ready, and stay
    Up(UpArguments),
    /// Play a scene to its end and check the rules
    Run(RunArguments),
    /// Search seeds and fault schedules for a broken rule or a lost expectation, and cut the first find down
    Hunt(HuntArguments),
    /// Play a scene under many seeds and say what the fleet did: least, middle and most of each figure
    Sweep(SweepArguments),
    /// Play drawn runs in real time, with several troubles at once, and check the rules to the letter
    Soak(SoakArguments),
    /// Measure the node before PostgreSQL beside the same clients directly at a stand-in database
    MeasurePostgres(MeasureArguments),
    /// The scenes that are shipped
    List,
}

#[derive(Args)]
pub(crate) struct UpArguments {
    /// A shipped scene's name, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// Start so many of the scene's nodes only
    #[arg(long, value_name = "N")]
    pub(crate) nodes: Option<usize>,
    /// Where the first node listens; any free port otherwise
    #[arg(long, default_value_t = 0)]
    pub(crate) port: u16,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct RunArguments {
    /// A shipped scene's name, or a file
    #[arg(id = "scene", value_name = "SCENE", required_unless_present = "repro")]
    pub(crate) scenario: Option<String>,
    /// What is random in the scene follows from this number
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Write one line a request here
    #[arg(long, value_name = "FILE.jsonl")]
    pub(crate) out: Option<PathBuf>,
    /// Draw what happened here
    #[arg(long, value_name = "FILE.svg")]
    pub(crate) plot: Option<PathBuf>,
    /// Play exactly what `hunt` has found
    #[arg(long, value_name = "FILE", conflicts_with_all = ["scene", "seed"])]
    pub(crate) repro: Option<PathBuf>,
    /// In real time: for load; the verdict holds, the log differs from run to run
    #[arg(long)]
    pub(crate) real_time: bool,
    /// Write the last lines of the nodes' logs here
    #[arg(long, value_name = "FILE")]
    pub(crate) logs: Option<PathBuf>,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct HuntArguments {
    /// A shipped scene's name, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// From the first up to, not including, the second
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// Write the find here
    #[arg(long, value_name = "FILE", default_value = "repro.json")]
    pub(crate) out: PathBuf,
    /// Leave the scene's faults as they are, and vary the requests only
    #[arg(long)]
    pub(crate) as_written: bool,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct SweepArguments {
    /// A shipped scene's name, or a file
    #[arg(id = "scene", value_name = "SCENE")]
    pub(crate) scenario: String,
    /// From the first up to, not including, the second
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// Runs at once
    #[arg(long, default_value_t = 2)]
    pub(crate) jobs: usize,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

#[derive(Args)]
pub(crate) struct SoakArguments {
    /// From the first up to, not including, the second
    #[arg(long, value_name = "A..B", value_parser = parse_seed_range)]
    pub(crate) seeds: Range<u64>,
    /// Runs at once
    #[arg(long, default_value_t = 2)]
    pub(crate) jobs: usize,
    /// The node's program; the one beside this program otherwise
    #[arg(long, value_name = "PATH")]
    pub(crate) node: Option<PathBuf>,
}

#[derive(Args)]
pub(crate) struct MeasureArguments {
    /// Connections that say nothing beside a load
    #[arg(long, default_value_t = 10_000)]
    pub(crate) silent: usize,
    #[command(flatten)]
    pub(crate) program: NodeProgram,
}

// Which program the nodes run, and with which settings.
#[derive(Args)]
pub(crate) struct NodeProgram {
    /// The node's program; the one beside this program otherwise
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// The operators' own file for every node of a scene of HTTP, in TOML, after what the scene says itself
    #[arg(long = "own", value_name = "FILE.toml")]
    operator_settings: Option<PathBuf>,
    /// Let the nodes of the scene talk to each other; their own file has to switch the watch over the zones on
    #[arg(long = "peers")]
    gossip: bool,
}

impl NodeProgram {
    /// The options of a run with this program. `port` is the first node's; 0 for any free one.
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

    /// The path of the program; an error if none is given and none is beside this program.
    pub(crate) fn path(&self) -> Result<PathBuf, Failure> {
        match &self.node {
            Some(path) => Ok(path.clone()),
            None => Ok(badgerpost_fakes::program("badgerpost")?),
        }
    }
}

/// A text that is not a range of seeds.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("two numbers as in 1..100")]
struct InvalidSeedRange;

/// Parses a range of seeds, `FIRST..END`, that is not empty.
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

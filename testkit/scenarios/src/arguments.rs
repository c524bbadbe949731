//! The command line.

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

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a scene's nodes and stand-ins, print one line of JSON once all are ready, and stay
    Up {
        /// A shipped scene's name, or a file
        scene: String,
        /// Start so many of the scene's nodes only
        #[arg(long, value_name = "N")]
        nodes: Option<usize>,
        /// Where the first node listens; any free port otherwise
        #[arg(long, default_value_t = 0)]
        port: u16,
        #[command(flatten)]
        program: Program,
    },
    /// Play a scene to its end and check the rules
    Run {
        /// A shipped scene's name, or a file
        #[arg(required_unless_present = "repro")]
        scene: Option<String>,
        /// What is random in the scene follows from this number
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write one line a request here
        #[arg(long, value_name = "FILE.jsonl")]
        out: Option<PathBuf>,
        /// Draw what happened here
        #[arg(long, value_name = "FILE.svg")]
        plot: Option<PathBuf>,
        /// Play exactly what `hunt` has found
        #[arg(long, value_name = "FILE", conflicts_with_all = ["scene", "seed"])]
        repro: Option<PathBuf>,
        /// In real time: for load; the verdict holds, the log differs from run to run
        #[arg(long)]
        real_time: bool,
        /// Write the last lines of the nodes' logs here
        #[arg(long, value_name = "FILE")]
        logs: Option<PathBuf>,
        #[command(flatten)]
        program: Program,
    },
    /// Search seeds and fault schedules for a broken rule or a lost expectation, and cut the first find down
    Hunt {
        /// A shipped scene's name, or a file
        scene: String,
        /// From the first up to, not including, the second
        #[arg(long, value_name = "A..B", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// Write the find here
        #[arg(long, value_name = "FILE", default_value = "repro.json")]
        out: PathBuf,
        /// Leave the scene's faults as they are, and vary the requests only
        #[arg(long)]
        as_written: bool,
        #[command(flatten)]
        program: Program,
    },
    /// Play a scene under many seeds and say what the fleet did: least, middle and most of each figure
    Sweep {
        /// A shipped scene's name, or a file
        scene: String,
        /// From the first up to, not including, the second
        #[arg(long, value_name = "A..B", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// Runs at once
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        #[command(flatten)]
        program: Program,
    },
    /// Measure the node before PostgreSQL beside the same clients directly at a stand-in database
    MeasurePostgres {
        /// Connections that say nothing beside a load
        #[arg(long, default_value_t = 10_000)]
        silent: usize,
        #[command(flatten)]
        program: Program,
    },
    /// The scenes that are shipped
    List,
}

#[derive(Args)]
pub(crate) struct Program {
    /// The node's program; the one beside this program otherwise
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// The operators' own file for every node of a scene of HTTP, in TOML, after what the scene says itself
    #[arg(long, value_name = "FILE.toml")]
    own: Option<PathBuf>,
    /// Let the nodes of the scene talk to each other; their own file has to switch the watch over the zones on
    #[arg(long)]
    peers: bool,
}

impl Program {
    /// How to play with it.
    pub(crate) fn options(self, real_time: bool, port: u16) -> Result<Options, Failure> {
        let own = match &self.own {
            Some(path) => std::fs::read_to_string(path).map_err(|source| Failure::File {
                path: path.clone(),
                source,
            })?,
            None => String::new(),
        };
        let peers = self.peers;
        Ok(Options {
            program: self.find()?,
            real_time,
            port,
            own,
            peers,
        })
    }

    pub(crate) fn find(self) -> Result<PathBuf, Failure> {
        Ok(match self.node {
            Some(path) => path,
            None => badgerpost_fakes::program("badgerpost")?,
        })
    }
}

fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let range = || {
        let (from, to) = text.split_once("..")?;
        Some(from.trim().parse().ok()?..to.trim().parse().ok()?)
    };
    range()
        .filter(|range| !range.is_empty())
        .ok_or_else(|| "two numbers as in 1..100".to_owned())
}

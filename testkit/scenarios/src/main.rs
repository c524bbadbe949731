//! badgerpost-rehearse: the command line.

use std::io::{IsTerminal, Read, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerpost_scenarios::hunt::{self, Find};
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::postgres::truth::Told;
use badgerpost_scenarios::postgres::{self, PgScene, PgStage};
use badgerpost_scenarios::rules::RULES;
use badgerpost_scenarios::run::{self, Options, Played, RunError, Stage};
use badgerpost_scenarios::{fleet, outcome, plot, scene, sweep};
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// Rehearses trouble: plays a scene against the released badgerpost node on loopback sockets, with stand-ins for
/// clients, match servers and discovery, and checks the four rules.
#[derive(Parser)]
#[command(name = "badgerpost-rehearse", version, after_help = EXAMPLES)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
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
enum Command {
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
struct Program {
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
    fn options(self, real_time: bool, port: u16) -> Result<Options, Failure> {
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

    fn find(self) -> Result<PathBuf, Failure> {
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

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Scene(#[from] badgerpost_settings::file::FileError),
    #[error(transparent)]
    Repro(#[from] badgerpost_scenarios::plan::ReproError),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    NotBuilt(#[from] badgerpost_fakes::NotBuilt),
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("can't draw: {0}")]
    Plot(Box<dyn std::error::Error>),
    #[error("the scene has {0} nodes")]
    Nodes(usize),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match carry_out(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("badgerpost-rehearse: {error}");
            ExitCode::from(2)
        }
    }
}

fn carry_out(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::List => {
            for (name, _) in scene::SHIPPED {
                say(&format!("{name:16} {}", scene::find(name)?.scene.about))?;
            }
            for (name, _) in postgres::SHIPPED {
                if let Some(scene) = postgres::find(name) {
                    say(&format!("{name:16} {}", scene?.about))?;
                }
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::MeasurePostgres { silent, program } => {
            let mut wrong = None;
            postgres::measure::measure(&program.find()?, silent, &mut |line| {
                wrong = wrong
                    .take()
                    .or(say(&format!("{}: {}", line.what, line.figure)).err());
            })?;
            wrong.map_or(Ok(ExitCode::SUCCESS), |error| Err(error.into()))
        }
        Command::Up {
            scene,
            nodes,
            port,
            program,
        } => match postgres::find(&scene) {
            Some(scene) => up_postgres(&scene?, port, &program.find()?),
            None => up(&scene, nodes, port, program),
        },
        Command::Run {
            scene: Some(name),
            seed,
            out,
            repro: None,
            program,
            ..
        } if postgres::find(&name).is_some() => {
            let Some(scene) = postgres::find(&name) else {
                return Ok(ExitCode::from(2));
            };
            run_postgres(&name, &scene?, seed, out.as_deref(), &program.find()?)
        }
        Command::Run {
            scene,
            seed,
            out,
            plot,
            repro,
            real_time,
            logs,
            program,
        } => {
            let plan = match (repro, scene) {
                (Some(file), _) => Plan::from_repro(&file)?,
                (None, scene) => Plan::draw(scene::find(&scene.unwrap_or_default())?, seed),
            };
            let options = program.options(real_time, 0)?;
            run(
                &plan,
                &options,
                out.as_deref(),
                plot.as_deref(),
                logs.as_deref(),
            )
        }
        Command::Sweep {
            scene,
            seeds,
            jobs,
            program,
        } => {
            let options = program.options(false, 0)?;
            let rows = sweep::sweep(&scene, seeds, jobs, &options)?;
            say(&format!(
                "scene {scene}, {} seeds; least, middle, most",
                rows.len()
            ))?;
            for (column, name) in sweep::COLUMNS.iter().enumerate() {
                let spread = sweep::spread(&rows, column);
                let text = spread.map_or("not in every run".to_owned(), |spread| {
                    spread.map(|value| format!("{value:10.3}")).join(" ")
                });
                say(&format!("{name:14} {text}"))?;
            }
            let broken = rows.iter().any(|row| row.broken > 0);
            Ok(if broken {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::Hunt {
            scene,
            seeds,
            out,
            as_written,
            program,
        } => {
            let options = program.options(false, 0)?;
            search(&scene, seeds, &out, as_written, &options)
        }
    }
}

/// One line on standard output; whoever has stopped reading it ends the program quietly.
fn say(line: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

fn up(name: &str, nodes: Option<usize>, port: u16, program: Program) -> Result<ExitCode, Failure> {
    let over = heed_signals()?;
    let options = program.options(true, port)?;
    let mut checked = scene::find(name)?;
    if let Some(count) = nodes {
        let has = checked.scene.node.len();
        if !(1..=has).contains(&count) {
            return Err(Failure::Nodes(has));
        }
        checked.scene.node.truncate(count);
    }
    checked.faults.clear();
    let mut plan = Plan::draw(checked, 1);
    plan.arrivals.clear();
    let mut stage = Stage::set(&plan, &options)?;
    let nodes: Vec<serde_json::Value> = (0..plan.scene.scene.node.len())
        .filter_map(|node| {
            let (listen, pid) = stage.node(node)?;
            let name = plan.scene.scene.node[node].name.get_ref();
            Some(serde_json::json!({"name": name, "listen": listen, "pid": pid}))
        })
        .collect();
    let backends: Vec<serde_json::Value> = stage
        .servers()
        .map(|(uid, listen)| serde_json::json!({"uid": uid, "listen": listen}))
        .collect();
    let discovery = stage.list_at(0);
    say(
        &serde_json::json!({"scene": plan.scene.name, "nodes": nodes, "discovery": discovery,
        "backends": backends})
        .to_string(),
    )?;
    stay(&over);
    stage.stay(&|| over.load(Ordering::SeqCst))?;
    Ok(ExitCode::SUCCESS)
}

/// Stays until a signal, or the end of standard input.
fn stay(over: &Arc<AtomicBool>) {
    if !input_is_null() {
        let closed = over.clone();
        std::thread::spawn(move || {
            let mut scrap = [0; 256];
            while std::io::stdin().read(&mut scrap).is_ok_and(|read| read > 0) {}
            closed.store(true, Ordering::SeqCst);
        });
    }
}

/// Set once the kit is asked to end. Heeded before anything is started: unheeded, a signal would leave children behind.
fn heed_signals() -> std::io::Result<Arc<AtomicBool>> {
    let over = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, over.clone())?;
    }
    Ok(over)
}

fn up_postgres(scene: &PgScene, port: u16, program: &Path) -> Result<ExitCode, Failure> {
    let over = heed_signals()?;
    let stage = PgStage::set(*scene.databases.get_ref(), program, port)?;
    let target = stage.target();
    let databases: Vec<String> = stage
        .databases()
        .iter()
        .map(|database| database.at.to_string())
        .collect();
    say(&serde_json::json!({"scene": "postgres", "nodes": [{"name": "n0", "listen": stage.http, "pid": stage.node_id()}],
        "postgres": {"listen": stage.listen, "user": target.user, "password": target.password,
            "database": target.database, "databases": databases, "databases_user": "node",
            "databases_password": "node-password"}})
    .to_string())?;
    stay(&over);
    while !over.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_postgres(
    name: &str,
    scene: &PgScene,
    seed: u64,
    out: Option<&Path>,
    program: &Path,
) -> Result<ExitCode, Failure> {
    let bar = bar(100);
    let played = postgres::play(scene, seed, program, &mut |done| {
        bar.set_position((done * 100.0).min(100.0) as u64)
    })?;
    bar.finish_and_clear();
    if let Some(path) = out {
        let lines = played
            .seen
            .iter()
            .map(serde_json::to_string)
            .collect::<Result<Vec<_>, _>>()?;
        write(path, &(lines.join("\n") + "\n"))?;
    }
    if let Some(crashed) = &played.crashed {
        eprintln!("{crashed}");
        return Ok(ExitCode::from(2));
    }
    say(&format!(
        "scene {name}, seed {seed}, in real time; node {}",
        program.display()
    ))?;
    let mut counts = std::collections::BTreeMap::<(Told, &str), usize>::new();
    for one in &played.seen {
        *counts.entry((one.told, one.driver)).or_default() += 1;
    }
    for ((told, driver), count) in &counts {
        say(&format!("{count:8} {told:?} by {driver}"))?;
    }
    let mut took: Vec<u64> = played.seen.iter().map(|one| one.took_us).collect();
    took.sort_unstable();
    let at = |share: f64| {
        took.get(((took.len() as f64 - 1.0) * share) as usize)
            .copied()
            .unwrap_or(0)
    };
    let all = played.seen.len();
    say(&format!(
        "{all} transactions in {:.1} s; p50 {} us, p99 {} us, longest {} us",
        played.wall.as_secs_f64(),
        at(0.5),
        at(0.99),
        at(1.0)
    ))?;
    say(&format!(
        "{} kills; {} drains, {} transactions begun after the grace",
        played.kills, played.drains.0, played.drains.1
    ))?;
    for finding in played.findings.iter().take(20) {
        say(&format!("transaction {}: {}", finding.id, finding.problem))?;
    }
    let committed = played
        .seen
        .iter()
        .filter(|one| one.told == Told::Committed)
        .count() as f64
        / all.max(1) as f64;
    let enough = scene.kills.is_none_or(|kills| played.kills >= kills.least)
        && scene
            .drains
            .is_none_or(|drains| played.drains.0 >= drains.least)
        && committed >= scene.expect.committed;
    let good = played.findings.is_empty() && played.drains.1 == 0;
    say(&format!(
        "{}: {} findings, {:.1}% committed",
        if good && enough {
            "good"
        } else if good {
            "less than expected"
        } else {
            "BROKEN"
        },
        played.findings.len(),
        committed * 100.0
    ))?;
    Ok(if good && enough {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Whether standard input is `/dev/null`, as under a supervisor: it has no end to wait for.
fn input_is_null() -> bool {
    use std::os::unix::fs::MetadataExt;
    let device = |path| std::fs::metadata(path).map(|about| about.rdev());
    matches!((device("/dev/stdin"), device("/dev/null")), (Ok(input), Ok(null)) if input == null)
}

fn bar(steps: u64) -> ProgressBar {
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(steps), target);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg} {elapsed}");
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

fn run(
    plan: &Plan,
    options: &Options,
    out: Option<&Path>,
    picture: Option<&Path>,
    logs: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let bar = bar(100);
    let played = run::play(plan, options, &mut |done| {
        bar.set_position((done * 100.0).min(100.0) as u64)
    })?;
    bar.finish_and_clear();
    if let Some(path) = out {
        write(path, &outcome::write(&played.log)?)?;
    }
    if let Some(path) = picture {
        plot::draw(plan, &played.log, path).map_err(Failure::Plot)?;
    }
    if let Some(path) = logs {
        let logs: String = played
            .logs
            .iter()
            .map(|(name, log)| format!("{name}:\n{log}"))
            .collect();
        write(path, &logs)?;
    }
    let lost = fleet::lost(plan, &played);
    summary(plan, options, &played, &lost)?;
    Ok(if played.is_good() && lost.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn summary(
    plan: &Plan,
    options: &Options,
    played: &Played,
    lost: &[String],
) -> std::io::Result<()> {
    let counts = played.counts();
    let seconds = |span: Duration| span.as_secs_f64();
    let simulated = seconds(Duration::from_nanos(played.simulated));
    let mode = if options.real_time {
        "in real time"
    } else {
        "in steps"
    };
    say(&format!(
        "scene {}, seed {}, {mode}",
        plan.scene.name, plan.seed
    ))?;
    say(&format!(
        "node {}, sha256 {}",
        options.program.display(),
        played.sha256
    ))?;
    say(&format!(
        "{} requests: {} served, {} refused, {} failed, {} without an answer; {} attempts",
        counts.requests,
        counts.served,
        counts.refused,
        counts.failed,
        counts.unanswered,
        counts.attempts
    ))?;
    say(&format!(
        "{simulated:.1} s played in {:.1} s ({:.1} to one), {} steps{}",
        seconds(played.wall),
        simulated / seconds(played.wall).max(1e-9),
        played.steps,
        if played.late > 0 {
            format!(", {} waits for late bytes", played.late)
        } else {
            String::new()
        }
    ))?;
    if played.talk.iter().any(|(datagrams, _)| *datagrams > 0) {
        let (most, all) = (
            played.talk.iter().map(|(_, bytes)| *bytes).max(),
            played.talk.len() as f64,
        );
        let sum = played
            .talk
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        say(&format!(
            "nodes to each other: {:.1} datagrams and {:.0} bytes a second and node, {:.0} bytes at the most",
            sum.0 as f64 / all / simulated.max(1e-9),
            sum.1 as f64 / all / simulated.max(1e-9),
            most.unwrap_or(0) as f64 / simulated.max(1e-9),
        ))?;
    }
    for rule in RULES {
        let broken: Vec<_> = played
            .breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .collect();
        match broken.first() {
            None => say(&format!("rule {rule}: kept"))?,
            Some(first) => say(&format!(
                "rule {rule}: BROKEN {} times; first: {first}",
                broken.len()
            ))?,
        }
    }
    if played.strangers > 0 {
        say(&format!(
            "{} requests came to servers or discovery that no client had sent so",
            played.strangers
        ))?;
    }
    for trouble in fleet::troubles(plan) {
        say(&format!(
            "zone {}, {} for {} ms:",
            trouble.zone,
            trouble.what,
            (trouble.until - trouble.from) / 1_000_000
        ))?;
        say(&fleet::conduct(&played.log, &trouble).to_string())?;
        let peak = played.cold_peak(Some(&trouble.zone));
        let falls = plan.scene.scene.rules.tip_multiple;
        say(&format!(
            "  most at one cold server there: {peak:.2} of what it could do; it falls over at {falls:.2}"
        ))?;
    }
    let strayed = fleet::strayed(plan, &played.log);
    if !strayed.is_empty() {
        let first = strayed.first().map_or(String::new(), |(node, at)| {
            format!("{node} at {} ms", at / 1_000_000)
        });
        say(&format!(
            "nodes that left a zone in no trouble: {}, first {first}",
            strayed.len()
        ))?;
    }
    for lost in lost {
        say(&format!("expectation LOST: {lost}"))?;
    }
    Ok(())
}

fn search(
    name: &str,
    seeds: std::ops::Range<u64>,
    out: &Path,
    as_written: bool,
    options: &Options,
) -> Result<ExitCode, Failure> {
    let bar = bar(seeds.end - seeds.start);
    for seed in seeds.clone() {
        bar.set_message(format!("seed {seed}"));
        let drawn = Plan::draw(scene::find(name)?, seed);
        let plan = if as_written { drawn } else { drawn.vary() };
        let (find, _) = hunt::look(&plan, options)?;
        bar.inc(1);
        let Some(find) = find else { continue };
        bar.finish_and_clear();
        say(&format!(
            "seed {seed}: {}; {} faults, {} requests",
            worded(&find),
            plan.faults.len(),
            plan.arrivals.len()
        ))?;
        let least = hunt::shrink(&plan, &find, options, &mut |_, _| {})?;
        write(out, &least.to_repro()?)?;
        say(&format!(
            "cut down to {} faults, {} requests",
            least.faults.len(),
            least.arrivals.len()
        ))?;
        say(&format!(
            "badgerpost-rehearse run --repro {} plays exactly that",
            out.display()
        ))?;
        return Ok(ExitCode::FAILURE);
    }
    bar.finish_and_clear();
    say(&format!(
        "seeds {}..{}: nothing found",
        seeds.start, seeds.end
    ))?;
    Ok(ExitCode::SUCCESS)
}

fn worded(find: &Find) -> String {
    match find {
        Find::Broken(rule) => format!("rule {rule} broken"),
        Find::Stranger => "a request that no client had sent so".to_owned(),
        Find::Lost => "fewer served than expected".to_owned(),
        Find::Crashed => "a node crashed".to_owned(),
    }
}

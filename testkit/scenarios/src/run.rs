//! Runs a plan: starts the nodes, moves the time on, and takes the outcome log at the end. In stepped time the
//! kit owns the time of all: whatever happens next, at a node or among its peers, happens alone, and the node
//! that has news runs until it is idle before anything else does.

mod error;
mod processes;
mod real_time;
mod report;
mod starts;
mod tolerances;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_fakes::net::{NetworkEvent, ReservedPort};
use badgerpost_fakes::system_faults::{SystemFaults, WallClock};

use crate::cpu_pinning::CpuPinning;
use crate::plan::Plan;
use crate::process::{self, Process};
use crate::rules;
use crate::simulation::{NodeInput, Simulation, StepOutcome};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

pub use error::RunError;
pub use report::{RunReport, Verdict};
use tolerances::tolerances;

/// Unix time at which stepped scenes begin: any would do, as long as it is always the same.
const STEPPED_BASE: Nanos = 1_700_000_000 * SECOND;
/// What a node has written, or connections that it has ended, and that is not here when it says that it is idle is
/// looked for this often, a millisecond each. It is on its way already, but a machine with other work may be long about
/// it.
const MAX_POLLS: u32 = 5000;
/// A run with more steps than this is not going anywhere.
const MAX_STEPS: u64 = 200_000_000;
/// How often `progress` is called over the length of a scenario.
const PROGRESS_CALLS: u64 = 200;

/// How to play.
#[derive(Clone)]
pub struct Options {
    /// The node's program.
    pub program: PathBuf,
    /// In real time, not in steps.
    pub real_time: bool,
    /// Where the first node listens; 0 for any free port.
    pub port: u16,
    /// More of the operators' own file of every node, after the scene's.
    pub extra_settings: String,
    /// The nodes gossip_traffic to each other, whatever the scene says.
    pub gossip: bool,
    /// Faults of the nodes' system calls, by the node's position; each process draws its own. In real time only.
    pub system_faults: Vec<SystemFaults>,
}

/// Plays a plan to its end. `progress` is called with the part that is done, from 0 to 1.
pub fn play(
    plan: &Plan,
    options: &Options,
    progress: &mut dyn FnMut(f64),
) -> Result<RunReport, RunError> {
    let sha256 = process::sha256(&options.program)?;
    let started_at = Instant::now();
    let mut runner = Runner::new(plan, options)?;
    runner.run_to_end(progress)?;
    let mut report = runner.into_report(sha256);
    report.wall = started_at.elapsed();
    Ok(report)
}

/// The processes of the nodes and the simulation around them.
pub struct Runner {
    plan: Plan,
    options: Options,
    simulation: Simulation,
    /// Where the nodes listen, also while they are away.
    ports: Vec<ReservedPort>,
    processes: Vec<Option<Process>>,
    /// Nodes whose processes do not listen yet: a process that starts during a run must not hold up the others' peers.
    starting: Vec<usize>,
    /// Bytes written to each node's sockets of which it has not been told.
    unread_bytes: Vec<u64>,
    /// Ends of connections that each node has told of and that were waited for in vain.
    missing_ends: Vec<u64>,
    paused: Vec<bool>,
    /// It was asked to stop, so its end is none too soon.
    stopping: Vec<bool>,
    incarnations: u64,
    /// The wall clocks that the nodes read, where their system calls have faults.
    wall_clocks: Vec<WallClock>,
    events: Vec<NetworkEvent>,
    started_at: Instant,
    checked_at: Nanos,
    steps: u64,
    late_waits: u64,
    /// When the last turn began, in real time.
    turned_at: Nanos,
    longest_stall: Nanos,
    _pinning: Option<CpuPinning>,
}

impl Runner {
    /// Starts the nodes of a plan, with its peers listening.
    pub fn new(plan: &Plan, options: &Options) -> Result<Self, RunError> {
        let base = if options.real_time {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            u64::try_from(unix.as_nanos()).unwrap_or(STEPPED_BASE)
        } else {
            STEPPED_BASE
        };
        let pinning = (!options.real_time).then(CpuPinning::acquire);
        let count = plan.scenario.spec.nodes.len();
        let simulation = Simulation::new(plan.clone(), base, options.gossip)?;
        let port = |node| {
            let at = SocketAddr::from(([127, 0, 0, 1], if node == 0 { options.port } else { 0 }));
            ReservedPort::new(at).map_err(|source| RunError::Port { at, source })
        };
        let ports = (0..count).map(port).collect::<Result<Vec<_>, _>>()?;
        let ahead = plan.behaviour.clocks_ahead_ms.0;
        let wall_clocks = options
            .system_faults
            .iter()
            .map(|_| WallClock::ahead_by(ahead));
        let wall_clocks = wall_clocks.collect::<Result<Vec<_>, _>>()?;
        let mut runner = Self {
            plan: plan.clone(),
            options: options.clone(),
            simulation,
            ports,
            processes: (0..count).map(|_| None).collect(),
            starting: Vec::new(),
            unread_bytes: vec![0; count],
            missing_ends: vec![0; count],
            paused: vec![false; count],
            stopping: vec![false; count],
            incarnations: 0,
            wall_clocks,
            events: Vec::new(),
            started_at: Instant::now(),
            checked_at: 0,
            steps: 0,
            late_waits: 0,
            turned_at: 0,
            longest_stall: 0,
            _pinning: pinning,
        };
        (0..count).try_for_each(|node| runner.start_node(node))?;
        runner.started_at = Instant::now();
        Ok(runner)
    }

    fn run_to_end(&mut self, progress: &mut dyn FnMut(f64)) -> Result<(), RunError> {
        let length = self.plan.scenario.spec.length_ms.get_ref() * MILLISECOND;
        let mut next_progress = 0;
        while !self.simulation.is_done() {
            if self.options.real_time {
                self.real_time_turn()?;
            } else {
                self.stepped_turn()?;
            }
            let now = self.simulation.now();
            if now >= next_progress {
                progress(now as f64 / length as f64);
                next_progress = now + length / PROGRESS_CALLS;
            }
        }
        self.check_exits()
    }

    /// Ends the processes, and checks the log against the rules. The caller adds how long the run took.
    fn into_report(self, sha256: String) -> RunReport {
        let nodes = &self.plan.scenario.spec.nodes;
        let logs = nodes
            .iter()
            .map(|node| node.name.get_ref().clone())
            .zip(&self.processes)
            .filter_map(|(name, process)| Some((name, process.as_ref()?.log())))
            .collect();
        drop(self.processes);
        let simulation = self.simulation;
        let (unknown_requests, simulated) = (simulation.unknown_requests(), simulation.now());
        let (cold_peaks, gossip_traffic) = (simulation.cold_peaks(), simulation.gossip_traffic());
        let missed_responses = simulation.missed_responses();
        let log = simulation.into_log();
        let mut breaches = rules::check(&log, &tolerances(&self.plan, &self.options));
        breaches.extend(missed_responses);
        RunReport {
            log,
            cold_peaks,
            logs,
            breaches,
            unknown_requests,
            gossip_traffic,
            sha256,
            simulated,
            wall: Duration::ZERO,
            steps: self.steps,
            late_waits: self.late_waits,
            longest_stall: self.longest_stall,
        }
    }

    /// Where a node listens, and its process's id.
    pub fn node(&self, node: usize) -> Option<(SocketAddr, u32)> {
        Some((
            self.simulation.node_address(node)?,
            self.processes[node].as_ref()?.id(),
        ))
    }

    /// Where discovery listens for a node.
    pub fn discovery_address(&self, node: usize) -> SocketAddr {
        self.simulation.discovery_address(node)
    }

    /// Where the servers listen, by name.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.simulation.servers()
    }

    fn stepped_turn(&mut self) -> Result<(), RunError> {
        let base = self.simulation.base();
        let waits = |(node, process): (usize, &Option<Process>)| {
            let next = process
                .as_ref()
                .filter(|_| !self.paused[node])?
                .next_timer_at?;
            Some((next.saturating_sub(base), node))
        };
        let node = self.processes.iter().enumerate().filter_map(waits).min();
        match (node, self.simulation.next_event_at()) {
            (Some((at, node)), next) if next.is_none_or(|next| at <= next) => {
                self.simulation.advance(at);
                self.step(node)
            }
            (_, Some(_)) => {
                let outcome = self.simulation.step()?;
                self.apply(outcome)
            }
            (_, None) => Err(RunError::NoProgress("requests are open and nothing is due")),
        }
    }

    fn apply(&mut self, outcome: StepOutcome) -> Result<(), RunError> {
        if let Some(NodeInput { node, bytes }) = outcome.input {
            self.unread_bytes[node] += bytes;
            if !self.options.real_time {
                self.step(node)?;
            }
        }
        outcome
            .commands
            .into_iter()
            .try_for_each(|command| self.execute(command))
    }

    /// Has a node run at the present until it is idle, and takes in what it has written.
    fn step(&mut self, node: usize) -> Result<(), RunError> {
        if self.paused[node] {
            return Ok(());
        }
        let now = self.simulation.base() + self.simulation.now();
        let Some(process) = &mut self.processes[node] else {
            return Ok(());
        };
        self.steps += 1;
        if self.steps > MAX_STEPS {
            return Err(RunError::NoProgress("the nodes never come to rest"));
        }
        let before = self.simulation.bytes_read();
        match process.step(
            now,
            std::mem::take(&mut self.unread_bytes[node]),
            self.simulation.ended_connections(node),
        )? {
            Some((written, ended)) => self.collect(node, before + written, ended),
            None => self.handle_exit(node),
        }
    }

    /// Takes in what a node has written, so many bytes over all, and that so many of its connections have ended since
    /// its start.
    fn collect(&mut self, node: usize, read: u64, ended: u64) -> Result<(), RunError> {
        let mut events = std::mem::take(&mut self.events);
        let mut polls = 0;
        loop {
            let known = events.len();
            let wait = if polls > 0 {
                Duration::from_millis(1)
            } else {
                Duration::ZERO
            };
            self.simulation.poll(wait, &mut events)?;
            if events.len() == known {
                polls += 1;
                let ends = events
                    .iter()
                    .filter(|one| matches!(one, NetworkEvent::Closed { .. }))
                    .count() as u64;
                let seen = self.simulation.ended_connections(node) + ends;
                let all = seen + self.missing_ends[node] >= ended
                    || self.simulation.open_connections(node) as u64 <= ends;
                if (all && self.simulation.bytes_read() >= read) || polls > MAX_POLLS {
                    if !all {
                        self.missing_ends[node] = ended - seen;
                    }
                    self.late_waits += u64::from(polls > 1);
                    break;
                }
            }
        }
        self.simulation.sort_events(&mut events)?;
        self.simulation.set_running(Some(node));
        events
            .drain(..)
            .for_each(|happening| self.simulation.handle_socket_event(happening));
        self.simulation.set_running(None);
        self.events = events;
        Ok(())
    }
}

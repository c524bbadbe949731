//! Runs a plan: starts the nodes, advances the time, and collects the outcome log at the end. On virtual time the test
//! kit controls all clocks and processes one event at a time: a node with new input runs until it is idle before the
//! next event.

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

/// The Unix time at which every scenario on virtual time starts.
const VIRTUAL_TIME_BASE: Nanos = 1_700_000_000 * SECOND;
/// The limit of empty polls, of a millisecond each after the first, while bytes or closes that an idle node has
/// reported have not arrived. The loopback device delivers them late on a busy machine.
const MAX_EMPTY_POLLS: u32 = 5000;
/// A run with more node steps than this is aborted.
const MAX_STEPS: u64 = 200_000_000;
/// The number of calls of `progress` over the length of a scenario.
const PROGRESS_CALLS: u64 = 200;

/// The options of a run.
#[derive(Clone)]
pub struct Options {
    /// The path of the node's program.
    pub program: PathBuf,
    /// Whether the run is in real time and not on virtual time.
    pub real_time: bool,
    /// The port of the first node; 0 for any free port. The other nodes get free ports.
    pub port: u16,
    /// TOML settings that are appended to the scenario's operator settings for every node.
    pub extra_settings: String,
    /// Enables gossip between the nodes even if the scenario does not.
    pub gossip: bool,
    /// Faults that are injected into the nodes' system calls, by node index; each process draws from its own seed. In
    /// real time only.
    pub system_faults: Vec<SystemFaults>,
}

/// Runs a plan to its end. `progress` is called with the fraction of the scenario's length that is done.
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
    /// The listen ports of the nodes, reserved also while a node is down.
    ports: Vec<ReservedPort>,
    processes: Vec<Option<Process>>,
    /// In real time, nodes whose processes do not listen yet. The run goes on while they start.
    starting: Vec<usize>,
    /// Bytes written to each node's sockets since the node's last step.
    unread_bytes: Vec<u64>,
    /// Ended connections that each node has reported and whose end did not arrive within the poll limit.
    missing_ends: Vec<u64>,
    paused: Vec<bool>,
    /// Whether each node got SIGTERM, so that an exit is not a crash.
    stopping: Vec<bool>,
    /// The number of node processes that the run has started.
    started_processes: u64,
    /// The nodes' wall clocks; empty without system-call faults.
    wall_clocks: Vec<WallClock>,
    /// A buffer for socket events, kept for reuse.
    events: Vec<NetworkEvent>,
    started_at: Instant,
    /// When the nodes' processes are next checked for an exit, in real time.
    next_exit_check: Nanos,
    steps: u64,
    late_waits: u64,
    /// When the last turn began, in real time.
    last_turn_at: Nanos,
    longest_stall: Nanos,
    _pinning: Option<CpuPinning>,
}

impl Runner {
    /// Builds the simulation of a plan and starts the nodes.
    pub fn new(plan: &Plan, options: &Options) -> Result<Self, RunError> {
        let base = if options.real_time {
            let unix_time = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            u64::try_from(unix_time.as_nanos()).unwrap_or(VIRTUAL_TIME_BASE)
        } else {
            VIRTUAL_TIME_BASE
        };
        let pinning = (!options.real_time).then(CpuPinning::acquire);
        let count = plan.scenario.spec.nodes.len();
        let simulation = Simulation::new(plan.clone(), base, options.gossip)?;
        let port = |node| {
            let at = SocketAddr::from(([127, 0, 0, 1], if node == 0 { options.port } else { 0 }));
            ReservedPort::new(at).map_err(|source| RunError::Port { at, source })
        };
        let ports = (0..count).map(port).collect::<Result<Vec<_>, _>>()?;
        let ahead_ms = plan.behaviour.clocks_ahead_ms.0;
        let wall_clocks = options
            .system_faults
            .iter()
            .map(|_| WallClock::ahead_by(ahead_ms));
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
            started_processes: 0,
            wall_clocks,
            events: Vec::new(),
            started_at: Instant::now(),
            next_exit_check: 0,
            steps: 0,
            late_waits: 0,
            last_turn_at: 0,
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
                self.virtual_time_turn()?;
            }
            let now = self.simulation.now();
            if now >= next_progress {
                progress(now as f64 / length as f64);
                next_progress = now + length / PROGRESS_CALLS;
            }
        }
        self.check_exits()
    }

    /// Stops the processes and checks the log against the rules. The caller sets `wall`.
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

    /// The listen address and the process id of a node; none if the node is down.
    pub fn node(&self, node: usize) -> Option<(SocketAddr, u32)> {
        Some((
            self.simulation.node_address(node)?,
            self.processes[node].as_ref()?.id(),
        ))
    }

    /// The address at which a node polls discovery.
    pub fn discovery_address(&self, node: usize) -> SocketAddr {
        self.simulation.discovery_address(node)
    }

    /// The name and the address of each server.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.simulation.servers()
    }

    /// Advances virtual time to the next node timer or scheduled event, and processes it.
    fn virtual_time_turn(&mut self) -> Result<(), RunError> {
        let base = self.simulation.base();
        let timer = |(node, process): (usize, &Option<Process>)| {
            let due = process
                .as_ref()
                .filter(|_| !self.paused[node])?
                .next_timer_at?;
            Some((due.saturating_sub(base), node))
        };
        let next_timer = self.processes.iter().enumerate().filter_map(timer).min();
        match (next_timer, self.simulation.next_event_at()) {
            (Some((at, node)), next) if next.is_none_or(|next| at <= next) => {
                self.simulation.advance(at);
                self.step(node)
            }
            (_, Some(_)) => {
                let outcome = self.simulation.step()?;
                self.apply(outcome)
            }
            (_, None) => Err(RunError::NoProgress(
                "requests are open, but no node timer and no event is scheduled",
            )),
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

    /// Runs a node at the current virtual time until it is idle, and processes what the node has written.
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
            return Err(RunError::NoProgress(
                "the nodes took more steps than the limit for one run",
            ));
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

    /// Processes the socket events of a node, once `read` bytes in total from all nodes and the ends of `ended`
    /// connections since the node's start have arrived, or after a limit of empty polls.
    fn collect(&mut self, node: usize, read: u64, ended: u64) -> Result<(), RunError> {
        let mut events = std::mem::take(&mut self.events);
        let mut empty_polls = 0;
        loop {
            let previous_count = events.len();
            let wait = if empty_polls > 0 {
                Duration::from_millis(1)
            } else {
                Duration::ZERO
            };
            self.simulation.poll(wait, &mut events)?;
            if events.len() == previous_count {
                empty_polls += 1;
                let ends = events
                    .iter()
                    .filter(|event| matches!(event, NetworkEvent::Closed { .. }))
                    .count() as u64;
                let seen = self.simulation.ended_connections(node) + ends;
                let has_all_ends = seen + self.missing_ends[node] >= ended
                    || self.simulation.open_connections(node) as u64 <= ends;
                if (has_all_ends && self.simulation.bytes_read() >= read)
                    || empty_polls > MAX_EMPTY_POLLS
                {
                    if !has_all_ends {
                        self.missing_ends[node] = ended - seen;
                    }
                    self.late_waits += u64::from(empty_polls > 1);
                    break;
                }
            }
        }
        self.simulation.sort_events(&mut events)?;
        self.simulation.set_running(Some(node));
        events
            .drain(..)
            .for_each(|event| self.simulation.handle_socket_event(event));
        self.simulation.set_running(None);
        self.events = events;
        Ok(())
    }
}

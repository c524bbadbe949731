//! Plays a plan: starts the nodes, moves the time on, and takes the outcome log at the end. In stepped time the
//! kit owns the time of all: whatever happens next, at a node or among its peers, happens alone, and the node
//! that has news runs until it is idle before anything else does.

mod processes;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_fakes::net::{NetworkEvent, ReservedPort};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::system_faults::{SystemFaults, WallClock};

use crate::LATE_RESPONSE_LIMIT;
use crate::cpu_pinning::CpuPinning;
use crate::outcome::{Counts, Request};
use crate::plan::Plan;
use crate::process::{self, Process, ProcessError, Start};
use crate::rules::{self, Breach};
use crate::world::{Fired, PEERS_KEY, SOCKETS, World};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Unix time at which stepped scenes begin: any would do, as long as it is always the same.
const STEPPED_BASE: Nanos = 1_700_000_000 * SECOND;
/// What a node has written, or connections that it has ended, and that is not here when it says that it is idle is
/// looked for this often, a millisecond each. It is on its way already, but a machine with other work may be long about
/// it.
const LOOKS: u32 = 5000;
/// A run with more steps than this is not going anywhere.
const MOST_STEPS: u64 = 200_000_000;
/// In real time: the longest wait for sockets, and how often the nodes' processes are looked at.
const WAIT: Duration = Duration::from_millis(20);
const LOOK_AT_NODES: Nanos = 100 * MILLISECOND;
/// An attempt may begin this long after its client has left.
const LEAVE_SLACK: Nanos = 100 * MILLISECOND;
/// A system call that is held begins this late.
const HOLD: Nanos = 150 * MILLISECOND;
/// The deadline that a server is told may be this much beyond what the client has left.
const DEADLINE_SLACK: Nanos = 150 * MILLISECOND;

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
    pub own: String,
    /// The nodes talk to each other, whatever the scene says.
    pub peers: bool,
    /// Faults of the nodes' system calls, by the node's position; each process draws its own. In real time only.
    pub system_faults: Vec<SystemFaults>,
}

/// What came of it.
pub struct RunReport {
    /// The outcome log.
    pub log: Vec<Request>,
    /// The most that each server was sent while cold, as a multiple of what it could do; with its zone.
    pub cold_peaks: Vec<(String, f64)>,
    /// The last lines that each node logged, by name.
    pub logs: Vec<(String, String)>,
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Requests at servers that no client had sent in this form.
    pub strangers: u64,
    /// What the nodes have said to each other: datagrams and bytes, by node.
    pub talk: Vec<(u64, u64)>,
    /// The program's SHA-256.
    pub sha256: String,
    /// How long the scene lasted.
    pub simulated: Nanos,
    /// How long it took.
    pub wall: Duration,
    /// Steps of nodes.
    pub steps: u64,
    /// Bytes that had to be waited for; above 0 on a machine whose loopback device is late.
    pub late: u64,
}

impl RunReport {
    /// Counts over the log.
    pub fn counts(&self) -> Counts {
        Counts::of(&self.log)
    }

    /// The most that a cold server was sent, of one zone or of all.
    pub fn cold_peak(&self, zone: Option<&str>) -> f64 {
        let of = self
            .cold_peaks
            .iter()
            .filter(|(at, _)| zone.is_none_or(|zone| zone == at));
        of.map(|(_, peak)| *peak).fold(0.0, f64::max)
    }

    /// Whether every rule held.
    pub fn is_good(&self) -> bool {
        self.breaches.is_empty() && self.strangers == 0
    }
}

/// Why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A node's process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// It crashed.
    #[error("node {name} crashed ({status}) {} ms into the scene; its log:\n{log}", at / MILLISECOND)]
    Crashed {
        /// The node.
        name: String,
        /// How it ended.
        status: String,
        /// When.
        at: Nanos,
        /// What it logged.
        log: String,
    },
    /// A node's port is not to be had.
    #[error("can't listen at {at}: {source}")]
    Port {
        /// The address.
        at: SocketAddr,
        /// What happened.
        source: std::io::Error,
    },
    /// A shipped scene can't be read.
    #[error(transparent)]
    Scene(#[from] badgerpost_settings::file::FileError),
    /// The stage can't be set, or a client of the kit's own broke.
    #[error("{0}")]
    Stage(String),
    /// Sockets or files.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// Nothing moves any more, or it moves on for ever.
    #[error("the scene does not come to its end: {0}")]
    Endless(&'static str),
}

/// Plays a plan to its end. `progress` hears how far the scene is, from 0 to 1.
#[expect(clippy::too_many_lines, reason = "to be split with the module")]
pub fn play(
    plan: &Plan,
    options: &Options,
    progress: &mut dyn FnMut(f64),
) -> Result<RunReport, RunError> {
    let sha256 = process::sha256(&options.program)?;
    let began = Instant::now();
    let mut stage = Stage::set(plan, options)?;
    let length = plan.scenario.spec.length_ms.get_ref() * MILLISECOND;
    let mut said = 0;
    while !stage.world.is_done() {
        if options.real_time {
            stage.real_turn()?;
        } else {
            stage.stepped_turn()?;
        }
        let now = stage.world.now();
        if now >= said {
            progress(now as f64 / length as f64);
            said = now + length / 200;
        }
    }
    stage.check_ends()?;
    let (steps, late, strangers, simulated) = (
        stage.steps,
        stage.late,
        stage.world.strangers(),
        stage.world.now(),
    );
    let Stage {
        world,
        processes,
        _pinning,
        ..
    } = stage;
    let names = plan
        .scenario
        .spec
        .nodes
        .iter()
        .map(|node| node.name.get_ref().clone());
    let logs = names
        .zip(&processes)
        .filter_map(|(name, process)| Some((name, process.as_ref()?.log())))
        .collect();
    drop(processes);
    let (cold_peaks, talk) = (world.cold_peaks(), world.talk());
    let owed = world.owed();
    let log = world.into_log();
    let rules = &plan.scenario.spec.rules;
    let tolerances = rules::Tolerances {
        response_slack: match plan.behaviour.strict {
            true => LATE_RESPONSE_LIMIT,
            false => rules.response_slack_ms * MILLISECOND + SOCKETS,
        },
        drain_grace: rules.drain_grace_ms * MILLISECOND + SOCKETS,
        disconnect_slack: LEAVE_SLACK + SOCKETS,
        deadline_slack: DEADLINE_SLACK + SOCKETS + held(options),
    };
    let mut breaches = rules::check(&log, &tolerances);
    breaches.extend(owed);
    Ok(RunReport {
        log,
        cold_peaks,
        logs,
        breaches,
        strangers,
        talk,
        sha256,
        simulated,
        wall: began.elapsed(),
        steps,
        late,
    })
}

/// How much more a node may be held up before it has read a request, where its system calls are.
fn held(options: &Options) -> Nanos {
    if options.system_faults.iter().any(SystemFaults::has_holds) {
        HOLD
    } else {
        0
    }
}

/// Nodes and stand-ins, all ready.
pub struct Stage {
    plan: Plan,
    options: Options,
    world: World,
    /// Where the nodes listen, also while they are away.
    ports: Vec<ReservedPort>,
    processes: Vec<Option<Process>>,
    /// Bytes written to each node's sockets of which it has not been told.
    unread: Vec<u64>,
    /// Ends of connections that each node has told of and that were waited for in vain.
    unseen: Vec<u64>,
    paused: Vec<bool>,
    /// It was asked to stop, so its end is none too soon.
    stopping: Vec<bool>,
    lives: u64,
    /// The wall clocks that the nodes read, where their system calls have faults.
    wall_clocks: Vec<WallClock>,
    told: Vec<NetworkEvent>,
    began: Instant,
    looked: Nanos,
    steps: u64,
    late: u64,
    _pinning: Option<CpuPinning>,
}

impl Stage {
    /// Starts the nodes of a plan, with its peers listening.
    pub fn set(plan: &Plan, options: &Options) -> Result<Self, RunError> {
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
        let world = World::new(plan.clone(), base, options.peers)?;
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
        let mut stage = Self {
            plan: plan.clone(),
            options: options.clone(),
            world,
            ports,
            processes: (0..count).map(|_| None).collect(),
            unread: vec![0; count],
            unseen: vec![0; count],
            paused: vec![false; count],
            stopping: vec![false; count],
            lives: 0,
            wall_clocks,
            told: Vec::new(),
            began: Instant::now(),
            looked: 0,
            steps: 0,
            late: 0,
            _pinning: pinning,
        };
        (0..count).try_for_each(|node| stage.start(node))?;
        stage.began = Instant::now();
        Ok(stage)
    }

    /// Where a node listens, and its process's id.
    pub fn node(&self, node: usize) -> Option<(SocketAddr, u32)> {
        Some((
            self.world.listen_of(node)?,
            self.processes[node].as_ref()?.id(),
        ))
    }

    /// Where discovery listens for a node.
    pub fn list_at(&self, node: usize) -> SocketAddr {
        self.world.list_at(node)
    }

    /// Where the servers listen, by name.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.world.servers()
    }

    fn start(&mut self, node: usize) -> Result<(), RunError> {
        // Under the same address each time.
        let listen = self.ports[node].address();
        self.lives += 1;
        let seed = Random::new(self.plan.seed ^ self.lives, "node").bits();
        let scenario = &self.plan.scenario;
        let known = scenario
            .spec
            .discovery
            .is_preconfigured
            .then(|| self.world.known());
        let mut edge = process::edge(
            scenario,
            node,
            listen,
            self.world.list_at(node),
            seed,
            known,
        );
        if self.plan.behaviour.polled_discovery {
            edge["settings"]["discovery"] = "on_request".into();
        }
        let now = self.world.base() + self.world.now();
        let start = Start {
            program: &self.options.program,
            name: scenario.spec.nodes[node].name.get_ref(),
            edge,
            stepped: (!self.options.real_time).then_some(now),
            own: scenario.spec.operator_settings.clone()
                + &self.options.own
                + &self.world.peers_section(node),
            files: if self.world.has_peers() {
                vec![(PEERS_KEY.0, PEERS_KEY.1.to_owned())]
            } else {
                Vec::new()
            },
            system_faults: self.system_faults(node, seed),
        };
        let (mut process, listens) = Process::start(&start)?;
        if self.world.has_peers() {
            self.world
                .peer_up(node, process.listens_for("peers may call")?);
        }
        self.processes[node] = Some(process);
        (self.unread[node], self.unseen[node]) = (0, 0);
        (self.paused[node], self.stopping[node]) = (false, false);
        self.world.node_up(node, listens);
        if !self.options.real_time {
            self.step(node)?;
        }
        Ok(())
    }

    /// The faults of a node's next process.
    fn system_faults(&self, node: usize, seed: u64) -> Option<SystemFaults> {
        let faults = self.options.system_faults.get(node)?.clone();
        Some(faults.reseeded(seed).on(self.wall_clocks.get(node)?))
    }

    // In steps.

    fn stepped_turn(&mut self) -> Result<(), RunError> {
        let base = self.world.base();
        let waits = |(node, process): (usize, &Option<Process>)| {
            let next = process.as_ref().filter(|_| !self.paused[node])?.next?;
            Some((next.saturating_sub(base), node))
        };
        let node = self.processes.iter().enumerate().filter_map(waits).min();
        match (node, self.world.next()) {
            (Some((at, node)), next) if next.is_none_or(|next| at <= next) => {
                self.world.advance(at);
                self.step(node)
            }
            (_, Some(_)) => {
                let fired = self.world.fire()?;
                self.follow(fired)
            }
            (_, None) => Err(RunError::Endless("requests are open and nothing is due")),
        }
    }

    fn follow(&mut self, fired: Fired) -> Result<(), RunError> {
        if let Some((node, bytes)) = fired.touched {
            self.unread[node] += bytes;
            if !self.options.real_time {
                self.step(node)?;
            }
        }
        fired
            .orders
            .into_iter()
            .try_for_each(|order| self.carry_out(order))
    }

    /// Has a node run at the present until it is idle, and takes in what it has written.
    fn step(&mut self, node: usize) -> Result<(), RunError> {
        if self.paused[node] {
            return Ok(());
        }
        let now = self.world.base() + self.world.now();
        let Some(process) = &mut self.processes[node] else {
            return Ok(());
        };
        self.steps += 1;
        if self.steps > MOST_STEPS {
            return Err(RunError::Endless("the nodes never come to rest"));
        }
        let before = self.world.bytes_read();
        match process.step(
            now,
            std::mem::take(&mut self.unread[node]),
            self.world.ends_of_node(node),
        )? {
            Some((written, ended)) => self.collect(node, before + written, ended),
            None => self.ended(node),
        }
    }

    /// Takes in what a node has written, so many bytes over all, and that so many of its connections have ended since
    /// its start.
    fn collect(&mut self, node: usize, read: u64, ended: u64) -> Result<(), RunError> {
        let mut told = std::mem::take(&mut self.told);
        let mut looks = 0;
        loop {
            let known = told.len();
            let wait = if looks > 0 {
                Duration::from_millis(1)
            } else {
                Duration::ZERO
            };
            self.world.poll(wait, &mut told)?;
            if told.len() == known {
                looks += 1;
                let ends = told
                    .iter()
                    .filter(|one| matches!(one, NetworkEvent::Closed { .. }))
                    .count() as u64;
                let seen = self.world.ends_of_node(node) + ends;
                let all = seen + self.unseen[node] >= ended
                    || self.world.connections_of(node) as u64 <= ends;
                if (all && self.world.bytes_read() >= read) || looks > LOOKS {
                    if !all {
                        self.unseen[node] = ended - seen;
                    }
                    self.late += u64::from(looks > 1);
                    break;
                }
            }
        }
        self.world.in_order(&mut told)?;
        self.world.set_running(Some(node));
        told.drain(..)
            .for_each(|happening| self.world.happened(happening));
        self.world.set_running(None);
        self.told = told;
        Ok(())
    }

    // In real time.

    fn real_turn(&mut self) -> Result<(), RunError> {
        let now = |began: Instant| u64::try_from(began.elapsed().as_nanos()).unwrap_or(Nanos::MAX);
        while self
            .world
            .next()
            .is_some_and(|next| next <= now(self.began))
        {
            let fired = self.world.fire()?;
            self.follow(fired)?;
        }
        let left = self
            .world
            .next()
            .map_or(Nanos::MAX, |next| next.saturating_sub(now(self.began)));
        // The system's wait has milliseconds: less than one is waited for awake.
        let wait = if left < 2 * MILLISECOND {
            Duration::ZERO
        } else {
            WAIT.min(Duration::from_nanos(left - MILLISECOND))
        };
        let mut told = std::mem::take(&mut self.told);
        self.world.poll(wait, &mut told)?;
        self.world.advance(now(self.began));
        told.drain(..)
            .for_each(|happening| self.world.happened(happening));
        self.told = told;
        if self.world.now() >= self.looked {
            self.looked = self.world.now() + LOOK_AT_NODES;
            for node in 0..self.processes.len() {
                if self.processes[node]
                    .as_mut()
                    .is_some_and(|process| process.exited().is_some())
                {
                    self.ended(node)?;
                }
            }
        }
        Ok(())
    }

    /// Keeps the peers going in real time until `over`.
    pub fn stay(&mut self, over: &dyn Fn() -> bool) -> Result<(), RunError> {
        while !over() {
            self.real_turn()?;
        }
        Ok(())
    }
}

//! The soak: the released node as real processes in real time, with several troubles at once, drawn from a seed and
//! checked to the letter of the platform's pages. One seed draws the same settings, faults and requests each time; what
//! the machine makes of them differs from run to run.

use std::fmt::Write as _;
use std::path::PathBuf;

use badgerpost_fakes::random::Random;
use badgerpost_fakes::system_faults::{CallFault, SystemCall, SystemFaults};
use badgerpost_settings::file::{FileError, Source};

use crate::plan::{Behaviour, Plan};
use crate::run::{self, Options, RunError, RunReport};
use crate::scenario;
use badgerpost_time::{MILLISECOND, SECOND};

/// How long clients ask, in milliseconds.
const LENGTH_MS: u64 = 9000;
/// Descriptors of a node on which silent clients crowd, and of any other.
const FEW_SOCKETS: u64 = 192;
const MANY_SOCKETS: u64 = 1024;

/// A run of the soak.
pub struct Soak {
    /// What is played.
    pub plan: Plan,
    /// Faults of the nodes' system calls, by position.
    pub system_faults: Vec<SystemFaults>,
}

impl Soak {
    /// Draws the run of a seed.
    ///
    /// # Errors
    ///
    /// The scene that was drawn is none, which is a fault of this module.
    pub fn draw(seed: u64) -> Result<Self, FileError> {
        let mut draw = Draw {
            random: Random::new(seed, "soak"),
            pauses: Random::new(seed, "pauses"),
        };
        let nodes = draw.random.between(1, 8);
        let behaviour = draw.behaviour();
        let text = draw.scene(nodes, &behaviour);
        let name = format!("soak-{seed}");
        let scenario = scenario::load(&name, &Source::embedded(&format!("{name}.toml"), &text))?;
        let mut plan = Plan::draw(scenario, seed);
        plan.behaviour = behaviour;
        let system_faults = (0..nodes).map(|_| draw.system_faults()).collect();
        Ok(Self {
            plan,
            system_faults,
        })
    }

    /// Plays it with this program.
    ///
    /// # Errors
    ///
    /// A node crashed, or the run could not be played.
    pub fn play(&self, program: PathBuf) -> Result<RunReport, RunError> {
        let options = Options {
            program,
            real_time: true,
            port: 0,
            own: String::new(),
            peers: false,
            system_faults: self.system_faults.clone(),
        };
        run::play(&self.plan, &options, &mut |_| {})
    }

    /// The way of the requests that broke a rule, a line each, with what the nodes logged of them.
    #[must_use]
    pub fn breach_details(played: &RunReport) -> Vec<String> {
        let mut ways = Vec::new();
        for breach in &played.breaches {
            ways.push(format!("{}: {breach}", breach.rule));
            let Some(request) = played.log.get(breach.line.wrapping_sub(1)) else {
                continue;
            };
            ways.push(serde_json::to_string(request).unwrap_or_default());
            for (node, log) in &played.logs {
                let lines = log.lines().filter(|line| line.contains(&breach.id));
                ways.extend(lines.map(|line| format!("{node}: {line}")));
            }
        }
        ways
    }

    /// What was drawn, in a line.
    #[must_use]
    pub fn summary(&self) -> String {
        let scene = &self.plan.scenario.spec;
        let faults: Vec<&str> = self
            .plan
            .faults
            .iter()
            .map(|fault| fault.kind.name())
            .collect();
        let behaviour = self.plan.behaviour;
        let list = if behaviour.polled_discovery {
            "polled"
        } else {
            "pushed"
        };
        let calls: Vec<String> = self
            .system_faults
            .iter()
            .take(1)
            .map(ToString::to_string)
            .collect();
        format!(
            "{} nodes, {} servers, list {list}, clocks ahead {:?} ms, {} silent clients; faults: {}; calls: {}",
            scene.nodes.len(),
            scene.servers.len(),
            behaviour.clocks_ahead_ms,
            behaviour.silent_clients,
            faults.join(" "),
            calls.join(" ")
        )
    }
}

/// Draws the parts of a run.
struct Draw {
    random: Random,
    /// For what was added later, so that the rest of a seed stays what it was.
    pauses: Random,
}

impl Draw {
    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.random.between(0, values.len() as u64 - 1) as usize]
    }

    fn behaviour(&mut self) -> Behaviour {
        Behaviour {
            disconnecting: self.one_of(&[0.0, 0.03, 0.15]),
            half_heads: self.one_of(&[0.0, 0.02]),
            slow_heads: if self.pauses.chance(0.5) { 0.03 } else { 0.0 },
            pipelined: self.one_of(&[0.0, 0.1, 0.3]),
            silent_clients: self.one_of(&[0, 0, 0, 150]),
            polled_discovery: self.random.chance(0.3),
            clocks_ahead_ms: (self.clock_error(), self.clock_error()),
            clocks_step_at: self.random.between(SECOND, LENGTH_MS * MILLISECOND),
            strict: true,
        }
    }

    /// A wall clock is right more often than not.
    fn clock_error(&mut self) -> i64 {
        self.one_of(&[0, 0, 0, 3_600_000, -3_600_000, 3000, -5000])
    }

    fn scene(&mut self, nodes: u64, behaviour: &Behaviour) -> String {
        let servers = self.random.between(4, 7);
        let zones = ["a", "b", "c"];
        let rate = self.random.between(60, 180) * nodes.min(4);
        let mut text = format!(
            "about = \"drawn\"\nlength_ms = {LENGTH_MS}\n\n[clients]\nrate = {rate}.0\nretries = {}\n\
             backoff_ms = {}\n\n[discovery]\nnotice_ms = {}\nknown = {}\n\n[rules]\nstart_share = {}\n\
             warm_ms = {}\nfall_ms = 1500\nattempts = {}\n",
            self.random.between(0, 2),
            self.one_of(&[1, 20, 80]),
            self.random.between(50, 900),
            self.random.chance(0.5),
            self.one_of(&[0.12, 0.3]),
            self.one_of(&[6000, 12000, 24000]),
            self.random.between(2, 4),
        );
        let mean_work_ms = self.classes(&mut text);
        // So many that the servers are used to between three and nine tenths: one in slow start that gets as much as
        // the others falls over.
        let used = 0.3 + 0.6 * self.random.uniform();
        let busy = rate as f64 * mean_work_ms / 1000.0 / servers as f64;
        let slots = ((busy / used).round() as u64).clamp(1, 32);
        let sockets = match behaviour.silent_clients {
            0 => MANY_SOCKETS,
            _ => FEW_SOCKETS,
        };
        for node in 0..nodes {
            let zone = self.one_of(&zones);
            let _ = write!(
                text,
                "\n[[node]]\nname = \"n{node}\"\nzone = \"{zone}\"\nsockets = {sockets}\n"
            );
        }
        for server in 0..servers {
            let zone = zones[server as usize % zones.len()];
            let _ = write!(
                text,
                "\n[[server]]\nname = \"s{server}\"\nzone = \"{zone}\"\nslots = {slots}\nqueue = 64\n"
            );
            if server == 0 {
                let starts = self.random.between(1500, 5000);
                let _ = writeln!(text, "starts_ms = {starts}");
            }
        }
        self.faults(&mut text, nodes, servers);
        text
    }

    /// Three classes, one of each effect; returns their mean work in milliseconds.
    fn classes(&mut self, text: &mut String) -> f64 {
        let mut mean_work = 0.0;
        let scope = self.one_of(&["all", "zone", "cell"]);
        let window = self.one_of(&[400, 900, 2000]);
        for (name, effect, share) in [
            ("read", "safe", 0.5),
            ("join", "keyed", 0.25),
            ("pay", "unsafe", 0.25),
        ] {
            let deadline = self.one_of(&[400, 800, 1500, 3000]);
            let (least, most) = self.one_of(&[(4, 12), (10, 30), (20, 60)]);
            let _ = write!(
                text,
                "\n[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\nshare = {share}\nwork_ms = [{least}, {most}]\n\
                 aim_ms = {}\ndeadline_ms = {deadline}\n",
                deadline / 2
            );
            if effect == "keyed" {
                let _ = writeln!(text, "scope = \"{scope}\"\nwindow_ms = {window}");
            }
            mean_work += share * (least + most) as f64 / 2.0;
        }
        mean_work
    }

    /// Faults that overlap: some of servers, some of the list, and nodes that stop or are killed.
    fn faults(&mut self, text: &mut String, nodes: u64, servers: u64) {
        let count = self.random.between(4, 8);
        for _ in 0..count {
            let at = self.random.between(800, LENGTH_MS - 2500);
            let lasts = self.random.between(400, 3500);
            let server = self.random.between(0, servers - 1);
            let (kind, more) = self.one_of(&[
                ("hang", ""),
                ("hang", "chance = 0.5"),
                ("reset", "after_bytes = 0"),
                ("reset", "after_bytes = 60"),
                ("refuse", ""),
                ("late", "by_ms = 150"),
                ("spoilt", "chance = 0.4"),
                ("no-length", ""),
                ("error", "chance = 0.4"),
                ("turn-away", "chance = 0.6"),
                ("drain", ""),
                ("drain", ""),
                ("gone", ""),
                ("kill-server", ""),
                ("list-silent", ""),
                ("list-failing", ""),
                ("list-malformed", ""),
            ]);
            let whom = if kind.starts_with("list") {
                String::new()
            } else {
                format!("server = \"s{server}\"\n")
            };
            let _ = write!(
                text,
                "\n[[fault]]\nkind = \"{kind}\"\nat_ms = {at}\nfor_ms = {lasts}\n{whom}{more}\n"
            );
        }
        let stops = self.random.between(1, nodes.min(3));
        for node in 0..stops {
            let at = self.random.between(1200, LENGTH_MS - 4500);
            let kind = self.one_of(&["stop-node", "stop-node", "stop-node", "kill-node"]);
            let _ = write!(
                text,
                "\n[[fault]]\nkind = \"{kind}\"\nat_ms = {at}\nfor_ms = 4000\nnode = \"n{node}\"\n"
            );
        }
        self.pauses(text, stops, nodes);
    }

    /// Nodes that are not asked to stop stand still for a moment, as on a machine that is short of CPU.
    fn pauses(&mut self, text: &mut String, stops: u64, nodes: u64) {
        for node in stops..nodes {
            let mut at = self.pauses.between(1000, 3000);
            while self.pauses.chance(0.7) && at < LENGTH_MS - 2500 {
                let duration = self.pauses.between(200, 1000);
                let _ = write!(
                    text,
                    "\n[[fault]]\nkind = \"pause-node\"\nat_ms = {at}\nfor_ms = {duration}\nnode = \"n{node}\"\n"
                );
                at += duration + self.pauses.between(1000, 2500);
            }
        }
    }

    /// Faults of one node's system calls.
    fn system_faults(&mut self) -> SystemFaults {
        let mut faults = SystemFaults::seeded(0);
        let kinds = [
            (SystemCall::Recv, CallFault::Short),
            (SystemCall::Send, CallFault::Short),
            (SystemCall::Recv, CallFault::Error("EINTR")),
            (SystemCall::Send, CallFault::Error("EINTR")),
            (SystemCall::EpollWait, CallFault::Error("EINTR")),
            (SystemCall::Accept, CallFault::Error("ECONNABORTED")),
            (SystemCall::Accept, CallFault::Error("ENFILE")),
            (SystemCall::Accept, CallFault::Error("ENOBUFS")),
            (SystemCall::Socket, CallFault::Error("ENFILE")),
            (SystemCall::Connect, CallFault::Error("EADDRNOTAVAIL")),
            (SystemCall::Connect, CallFault::Error("ENETUNREACH")),
            (SystemCall::Connect, CallFault::Error("EINTR")),
            (SystemCall::ConnectResult, CallFault::Error("ETIMEDOUT")),
            (SystemCall::ConnectResult, CallFault::Error("EHOSTUNREACH")),
        ];
        for _ in 0..self.random.between(1, 4) {
            let (call, fault) = self.one_of(&kinds);
            faults = faults.with(call, fault, self.one_of(&[10, 30, 50]));
        }
        if self.random.chance(0.25) {
            faults = faults.with(SystemCall::Send, CallFault::Delay, 1);
        }
        faults
    }
}

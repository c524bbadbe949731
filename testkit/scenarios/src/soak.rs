//! The soak: runs real processes of the released node in real time, with several faults at once, and checks them against
//! the platform's own limits. A seed always draws the same settings, faults and requests; the timing differs between
//! runs.

use std::fmt::Write as _;
use std::path::PathBuf;

use badgerpost_fakes::random::Random;
use badgerpost_fakes::system_faults::{CallFault, SystemCall, SystemFaults};
use badgerpost_settings::file::{FileError, Source};

use crate::plan::{Behaviour, Plan};
use crate::run::{self, Options, RunError, RunReport};
use crate::scenario;
use badgerpost_time::{MILLISECOND, SECOND};

/// How long clients send requests.
const LENGTH_MS: u64 = 9000;
/// The maximum number of descriptors of a node in a run with silent clients.
const MAX_DESCRIPTORS_WITH_SILENT_CLIENTS: u64 = 192;
/// The maximum number of descriptors of a node in any other run.
const MAX_DESCRIPTORS: u64 = 1024;

/// One run of the soak.
pub struct Soak {
    /// The plan of the run.
    pub plan: Plan,
    /// Faults of system calls, by the position of the node.
    pub system_faults: Vec<SystemFaults>,
}

impl Soak {
    /// Draws the run of a seed.
    ///
    /// # Errors
    ///
    /// The generated scenario is invalid, which is a bug in this module.
    pub fn draw(seed: u64) -> Result<Self, FileError> {
        let mut generator = SoakGenerator {
            random: Random::new(seed, "soak"),
            pause_random: Random::new(seed, "pauses"),
        };
        let nodes = generator.random.between(1, 8);
        let behaviour = generator.behaviour();
        let text = generator.scenario_text(nodes, &behaviour);
        let name = format!("soak-{seed}");
        let scenario = scenario::load(&name, &Source::embedded(&format!("{name}.toml"), &text))?;
        let mut plan = Plan::draw(scenario, seed);
        plan.behaviour = behaviour;
        let system_faults = (0..nodes).map(|_| generator.system_faults()).collect();
        Ok(Self {
            plan,
            system_faults,
        })
    }

    /// Plays the run with a program of the node.
    ///
    /// # Errors
    ///
    /// A node crashed, or the run could not be played.
    pub fn play(&self, program: PathBuf) -> Result<RunReport, RunError> {
        let options = Options {
            program,
            real_time: true,
            port: 0,
            extra_settings: String::new(),
            gossip: false,
            system_faults: self.system_faults.clone(),
        };
        run::play(&self.plan, &options, &mut |_| {})
    }

    /// For each breach: the breach, the request's line of the outcome log, and the nodes' log lines about the request.
    #[must_use]
    pub fn breach_details(report: &RunReport) -> Vec<String> {
        let mut details = Vec::new();
        for breach in &report.breaches {
            details.push(format!("{}: {breach}", breach.rule));
            let Some(request) = report.log.get(breach.line.wrapping_sub(1)) else {
                continue;
            };
            details.push(serde_json::to_string(request).unwrap_or_default());
            for (node, log) in &report.logs {
                let lines = log.lines().filter(|line| line.contains(&breach.id));
                details.extend(lines.map(|line| format!("{node}: {line}")));
            }
        }
        details
    }

    /// A one-line summary of what was drawn.
    #[must_use]
    pub fn summary(&self) -> String {
        let scenario = &self.plan.scenario.spec;
        let faults: Vec<&str> = self
            .plan
            .faults
            .iter()
            .map(|fault| fault.kind.name())
            .collect();
        let behaviour = self.plan.behaviour;
        let discovery = if behaviour.polled_discovery {
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
            "{} nodes, {} servers, discovery {discovery}, clocks ahead {:?} ms, {} silent clients; faults: {}; calls: {}",
            scenario.nodes.len(),
            scenario.servers.len(),
            behaviour.clocks_ahead_ms,
            behaviour.silent_clients,
            faults.join(" "),
            calls.join(" ")
        )
    }
}

/// Draws the parts of a run from a seed.
struct SoakGenerator {
    random: Random,
    /// Draws pauses and slow heads. A separate generator leaves the other draws of recorded seeds unchanged.
    pause_random: Random,
}

impl SoakGenerator {
    fn draw_one<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.random.between(0, values.len() as u64 - 1) as usize]
    }

    fn behaviour(&mut self) -> Behaviour {
        Behaviour {
            disconnecting: self.draw_one(&[0.0, 0.03, 0.15]),
            half_heads: self.draw_one(&[0.0, 0.02]),
            slow_heads: if self.pause_random.chance(0.5) {
                0.03
            } else {
                0.0
            },
            pipelined: self.draw_one(&[0.0, 0.1, 0.3]),
            silent_clients: self.draw_one(&[0, 0, 0, 150]),
            polled_discovery: self.random.chance(0.3),
            clocks_ahead_ms: (self.clock_error(), self.clock_error()),
            clocks_step_at: self.random.between(SECOND, LENGTH_MS * MILLISECOND),
            strict: true,
        }
    }

    /// The error of a wall clock in milliseconds; most often 0.
    fn clock_error(&mut self) -> i64 {
        self.draw_one(&[0, 0, 0, 3_600_000, -3_600_000, 3000, -5000])
    }

    fn scenario_text(&mut self, nodes: u64, behaviour: &Behaviour) -> String {
        let servers = self.random.between(4, 7);
        let zones = ["a", "b", "c"];
        let rate = self.random.between(60, 180) * nodes.min(4);
        let mut text = format!(
            "about = \"drawn\"\nlength_ms = {LENGTH_MS}\n\n[clients]\nrate = {rate}.0\nretries = {}\n\
             backoff_ms = {}\n\n[discovery]\nnotice_ms = {}\nknown = {}\n\n[rules]\nstart_share = {}\n\
             warm_ms = {}\nfall_ms = 1500\nattempts = {}\n",
            self.random.between(0, 2),
            self.draw_one(&[1, 20, 80]),
            self.random.between(50, 900),
            self.random.chance(0.5),
            self.draw_one(&[0.12, 0.3]),
            self.draw_one(&[6000, 12000, 24000]),
            self.random.between(2, 4),
        );
        let mean_service_time_ms = self.write_classes(&mut text);
        // At this utilization, a server in slow start is overloaded if it gets as many requests as the others.
        let utilization = 0.3 + 0.6 * self.random.uniform();
        let busy_slots = rate as f64 * mean_service_time_ms / 1000.0 / servers as f64;
        let slots = ((busy_slots / utilization).round() as u64).clamp(1, 32);
        let max_descriptors = match behaviour.silent_clients {
            0 => MAX_DESCRIPTORS,
            _ => MAX_DESCRIPTORS_WITH_SILENT_CLIENTS,
        };
        for node in 0..nodes {
            let zone = self.draw_one(&zones);
            let _ = write!(
                text,
                "\n[[node]]\nname = \"n{node}\"\nzone = \"{zone}\"\nsockets = {max_descriptors}\n"
            );
        }
        for server in 0..servers {
            let zone = zones[server as usize % zones.len()];
            let _ = write!(
                text,
                "\n[[server]]\nname = \"s{server}\"\nzone = \"{zone}\"\nslots = {slots}\nqueue = 64\n"
            );
            if server == 0 {
                let start_ms = self.random.between(1500, 5000);
                let _ = writeln!(text, "starts_ms = {start_ms}");
            }
        }
        self.write_faults(&mut text, nodes, servers);
        text
    }

    /// Writes one class of each idempotency and returns the mean service time in milliseconds.
    fn write_classes(&mut self, text: &mut String) -> f64 {
        let mut mean_service_time_ms = 0.0;
        let scope = self.draw_one(&["all", "zone", "cell"]);
        let window = self.draw_one(&[400, 900, 2000]);
        for (name, idempotency, weight) in [
            ("read", "safe", 0.5),
            ("join", "keyed", 0.25),
            ("pay", "unsafe", 0.25),
        ] {
            let deadline = self.draw_one(&[400, 800, 1500, 3000]);
            let (min, max) = self.draw_one(&[(4, 12), (10, 30), (20, 60)]);
            let _ = write!(
                text,
                "\n[[class]]\nname = \"{name}\"\neffect = \"{idempotency}\"\nshare = {weight}\nwork_ms = [{min}, {max}]\n\
                 aim_ms = {}\ndeadline_ms = {deadline}\n",
                deadline / 2
            );
            if idempotency == "keyed" {
                let _ = writeln!(text, "scope = \"{scope}\"\nwindow_ms = {window}");
            }
            mean_service_time_ms += weight * (min + max) as f64 / 2.0;
        }
        mean_service_time_ms
    }

    /// Writes overlapping faults of servers and discovery, and stops and kills of nodes.
    fn write_faults(&mut self, text: &mut String, nodes: u64, servers: u64) {
        let count = self.random.between(4, 8);
        for _ in 0..count {
            let at = self.random.between(800, LENGTH_MS - 2500);
            let duration = self.random.between(400, 3500);
            let server = self.random.between(0, servers - 1);
            let (kind, parameter) = self.draw_one(&[
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
            let target = if kind.starts_with("list") {
                String::new()
            } else {
                format!("server = \"s{server}\"\n")
            };
            let _ = write!(
                text,
                "\n[[fault]]\nkind = \"{kind}\"\nat_ms = {at}\nfor_ms = {duration}\n{target}{parameter}\n"
            );
        }
        let stopped_nodes = self.random.between(1, nodes.min(3));
        for node in 0..stopped_nodes {
            let at = self.random.between(1200, LENGTH_MS - 4500);
            let kind = self.draw_one(&["stop-node", "stop-node", "stop-node", "kill-node"]);
            let _ = write!(
                text,
                "\n[[fault]]\nkind = \"{kind}\"\nat_ms = {at}\nfor_ms = 4000\nnode = \"n{node}\"\n"
            );
        }
        self.write_pauses(text, stopped_nodes, nodes);
    }

    /// Writes short pauses of the nodes that are not stopped, as on a machine that is short of CPU.
    fn write_pauses(&mut self, text: &mut String, stopped_nodes: u64, nodes: u64) {
        for node in stopped_nodes..nodes {
            let mut at = self.pause_random.between(1000, 3000);
            while self.pause_random.chance(0.7) && at < LENGTH_MS - 2500 {
                let duration = self.pause_random.between(200, 1000);
                let _ = write!(
                    text,
                    "\n[[fault]]\nkind = \"pause-node\"\nat_ms = {at}\nfor_ms = {duration}\nnode = \"n{node}\"\n"
                );
                at += duration + self.pause_random.between(1000, 2500);
            }
        }
    }

    /// Draws faults of one node's system calls.
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
            let (call, fault) = self.draw_one(&kinds);
            faults = faults.with(call, fault, self.draw_one(&[10, 30, 50]));
        }
        if self.random.chance(0.25) {
            faults = faults.with(SystemCall::Send, CallFault::Delay, 1);
        }
        faults
    }
}

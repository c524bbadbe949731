//! What a run plays: a scene's arrivals and faults, drawn from a seed, or just those of a repro file.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use badgerpost_fakes::random::Random;
use badgerpost_settings::file::{FileError, Source};
use serde::{Deserialize, Serialize};

use crate::scenario::{self, FaultKind, FaultTarget, LinkEnd, LoadedScenario, PlannedFault};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Clients begin to ask after this: the nodes have the list by then.
const FIRST: Nanos = 200 * MILLISECOND;
/// No run plays more requests: its log has to fit into memory.
pub const MOST_REQUESTS: usize = 1_000_000;

/// A client's first try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its number in the seed's plan; its id, key and work follow from that.
    pub number: u64,
    /// When it comes, in nanoseconds from the scene's start.
    pub at: Nanos,
    /// The class's position among the scene's.
    pub class: usize,
    /// The node's.
    pub node: usize,
    /// The work, in nanoseconds on a standard server.
    pub work: Nanos,
}

/// What clients, servers and the platform do beyond what a scene can say. All off but in a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// Share of the requests whose clients close their connections before the answer.
    pub leaving: f64,
    /// Share of the requests with half a head right behind them, of which no more comes.
    pub half_heads: f64,
    /// Share of the requests that are sent behind another one on its connection.
    pub pipelined: f64,
    /// Connections to each node that say nothing.
    pub silent_clients: usize,
    /// Whether nodes poll their list, and are not told by an agent.
    pub polled_list: bool,
    /// By how many milliseconds the nodes' wall clocks are ahead of the true time at first, and later.
    pub clocks_ahead_ms: (i64, i64),
    /// When they step from the one to the other.
    pub clocks_step_at: Nanos,
    /// Whether rules are checked to the letter of the platform's pages: a node that was asked to stop is killed at the
    /// earliest time, with signals in series before; a change of the list counts in time whether or not it was told; a
    /// server in slow start falls as the pages say.
    pub strict: bool,
}

/// What a run plays.
#[derive(Clone)]
pub struct Plan {
    /// The scene.
    pub scenario: Rc<LoadedScenario>,
    /// The seed.
    pub seed: u64,
    /// First tries, by time.
    pub arrivals: Vec<Arrival>,
    /// Faults, by time.
    pub faults: Vec<PlannedFault>,
    /// What a scene can't say.
    pub behaviour: Behaviour,
}

impl Plan {
    /// A scene as it is written, with arrivals drawn from a seed.
    pub fn draw(scenario: LoadedScenario, seed: u64) -> Self {
        let mut random = Random::new(seed, "arrivals");
        let mean = SECOND as f64 / scenario.spec.clients.rate.get_ref().max(1e-9);
        let end = scenario.spec.length_ms.get_ref() * MILLISECOND;
        let shares: f64 = scenario
            .spec
            .class
            .iter()
            .map(|class| class.share.get_ref())
            .sum();
        let mut arrivals = Vec::new();
        let mut at = FIRST as f64;
        loop {
            at += random.exponential(mean);
            if !(at < end as f64 && arrivals.len() < MOST_REQUESTS) {
                break;
            }
            let mut draw = random.unit() * shares;
            let chosen = scenario.spec.class.iter().position(|class| {
                draw -= class.share.get_ref();
                draw < 0.0
            });
            let class = chosen.unwrap_or(0);
            let (least, most) = *scenario.spec.class[class].work_ms.get_ref();
            let node = random.between(0, scenario.spec.node.len() as u64 - 1) as usize;
            let work = random.between(least * MILLISECOND, most * MILLISECOND);
            arrivals.push(Arrival {
                number: arrivals.len() as u64,
                at: at as Nanos,
                class,
                node,
                work,
            });
        }
        let faults = scenario.faults.clone();
        Self {
            scenario: Rc::new(scenario),
            seed,
            arrivals,
            faults,
            behaviour: Behaviour::default(),
        }
    }

    /// The same with its faults at other times, of other lengths and at other servers or nodes, by the seed.
    pub fn vary(mut self) -> Self {
        let mut random = Random::new(self.seed, "faults");
        let end = self.scenario.spec.length_ms.get_ref() * MILLISECOND;
        for fault in &mut self.faults {
            fault.at = random.between(FIRST, end.max(FIRST));
            fault.lasts = fault
                .lasts
                .map(|lasts| random.between(lasts / 4, lasts.saturating_mul(2)));
            if let FaultKind::Link(link) = &mut fault.kind
                && let LinkEnd::Zone(zone) = &mut link.remote
            {
                *zone = random.between(0, self.scenario.spec.zones().len() as u64 - 1) as usize;
            }
            let among = match (&mut fault.target, fault.kind) {
                (FaultTarget::Group(group), _) if group.zone.is_some() => {
                    let zones = self.scenario.spec.zones().len() as u64;
                    group.zone = Some(random.between(0, zones - 1) as usize);
                    continue;
                }
                (FaultTarget::Group(_), _) => continue,
                (FaultTarget::Single(_), kind) if kind.is_about_server() => {
                    self.scenario.spec.server.len()
                }
                (FaultTarget::Single(_), kind) if kind.is_about_node() => {
                    self.scenario.spec.node.len()
                }
                (FaultTarget::Single(_), _) => continue,
            };
            fault.target = FaultTarget::Single(random.between(0, among as u64 - 1) as usize);
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }

    /// The plan as a repro file.
    pub fn to_repro(&self) -> Result<String, serde_json::Error> {
        let fault = |fault: &PlannedFault| {
            let PlannedFault {
                at,
                lasts,
                target,
                kind,
                permille,
            } = *fault;
            FaultLine {
                at,
                lasts,
                target,
                kind,
                permille,
            }
        };
        let file = Repro {
            format: FORMAT,
            scene: self.scenario.name.clone(),
            seed: self.seed,
            faults: self.faults.iter().map(fault).collect(),
            arrivals: self.arrivals.clone(),
            text: self.scenario.text.clone(),
        };
        serde_json::to_string_pretty(&file)
    }

    /// Reads a repro file.
    pub fn from_repro(path: &Path) -> Result<Self, ReproError> {
        let unread = |source| ReproError::Unread {
            path: path.to_owned(),
            source,
        };
        let text = std::fs::read_to_string(path).map_err(unread)?;
        let malformed = |source| ReproError::Malformed {
            path: path.to_owned(),
            source,
        };
        let file: Repro = serde_json::from_str(&text).map_err(malformed)?;
        let bad = |what: &str| ReproError::Bad {
            path: path.to_owned(),
            what: what.to_owned(),
        };
        if file.format != FORMAT {
            return Err(bad("it is of another format"));
        }
        let name = format!("{} in {}", file.scene, path.display());
        let mut scenario = scenario::check(&file.scene, Source::embedded(&name, &file.text))?;
        let mut faults = Vec::new();
        for line in &file.faults {
            faults.push(
                line.planned(&scenario)
                    .ok_or_else(|| bad("a fault is none that its scene can have"))?,
            );
        }
        let Repro {
            seed, mut arrivals, ..
        } = file;
        let sound =
            |a: &Arrival| a.class < scenario.spec.class.len() && a.node < scenario.spec.node.len();
        if !arrivals.iter().all(sound) || arrivals.len() > MOST_REQUESTS {
            return Err(bad("an arrival is none that its scene can have"));
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        faults.sort_by_key(|fault| fault.at);
        scenario.faults.clone_from(&faults);
        Ok(Self {
            scenario: Rc::new(scenario),
            seed,
            arrivals,
            faults,
            behaviour: Behaviour::default(),
        })
    }
}

const FORMAT: u32 = 2;

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Repro {
    format: u32,
    scene: String,
    seed: u64,
    faults: Vec<FaultLine>,
    arrivals: Vec<Arrival>,
    text: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultLine {
    at: Nanos,
    lasts: Option<Nanos>,
    #[serde(rename = "whom")]
    target: FaultTarget,
    #[serde(rename = "trouble")]
    kind: FaultKind,
    permille: u16,
}

impl FaultLine {
    fn planned(&self, scenario: &LoadedScenario) -> Option<PlannedFault> {
        let Self {
            at,
            lasts,
            target,
            kind,
            permille,
        } = *self;
        let most = match kind {
            kind if kind.is_about_server() => scenario.spec.server.len(),
            kind if kind.is_about_node() => scenario.spec.node.len(),
            _ => 1,
        };
        let sound = match target {
            FaultTarget::Single(one) => one < most,
            FaultTarget::Group(group) => group
                .zone
                .is_none_or(|zone| zone < scenario.spec.zones().len()),
        };
        sound.then_some(PlannedFault {
            at,
            lasts,
            target,
            kind,
            permille,
        })
    }
}

/// Why a repro file can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ReproError {
    /// It can't be read.
    #[error("{}: {source}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// It is no repro file.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// It makes no sense.
    #[error("{}: {what}", path.display())]
    Bad {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        what: String,
    },
    /// The scene in it can't be used.
    #[error(transparent)]
    Scene(#[from] FileError),
}

#[cfg(test)]
mod tests;

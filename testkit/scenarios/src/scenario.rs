//! Scenes: what is rehearsed, as files that operators write in TOML. A bad one is refused with file, line and
//! key.

mod fault;
mod groups;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use badgerpost_settings::file::{FileError, Source};
use serde::Deserialize;
use toml::Spanned;

use crate::outcome::{DedupScope, Idempotency};
use badgerpost_time::MILLISECOND;
use fault::FaultScope;
pub use fault::{
    FaultKind, FaultTarget, LinkEnd, LinkFault, LinkFaultKind, PlannedFault, TargetGroup,
};
pub use groups::{NodeGroup, ServerGroup};

/// The scenes that are shipped, by name.
pub const SHIPPED: [(&str, &str); 10] = [
    ("calm", include_str!("../scenes/calm.toml")),
    ("cold-start", include_str!("../scenes/cold-start.toml")),
    ("crowded", include_str!("../scenes/crowded.toml")),
    (
        "discovery-down",
        include_str!("../scenes/discovery-down.toml"),
    ),
    ("drain", include_str!("../scenes/drain.toml")),
    ("night", include_str!("../scenes/night.toml")),
    ("node-killed", include_str!("../scenes/node-killed.toml")),
    (
        "silent-server",
        include_str!("../scenes/silent-server.toml"),
    ),
    ("zone-killed", include_str!("../scenes/zone-killed.toml")),
    ("zone-silent", include_str!("../scenes/zone-silent.toml")),
];

/// Bounds that keep a scene on one machine, and its end in sight.
const MOST_NODES: usize = 512;
const MOST_SERVERS: usize = 512;
const MOST_MS: u64 = 3_600_000;
const MOST_RATE: f64 = 100_000.0;
/// A fault comes no more often, and a group is struck in no more parts.
const MOST_TIMES: u64 = 1000;

/// A scene.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows, in a line.
    pub about: String,
    /// The operators' own file of every node, in TOML; none if empty.
    #[serde(default)]
    pub own: String,
    /// Whether the nodes talk to each other; their own file has to switch the watch over the zones on.
    #[serde(default)]
    pub peers: bool,
    /// How long clients go on asking.
    pub length_ms: Spanned<u64>,
    /// The nodes.
    #[serde(default)]
    pub node: Vec<Node>,
    /// More of them, by the group.
    #[serde(default)]
    pub nodes: Vec<NodeGroup>,
    /// The match servers.
    #[serde(default)]
    pub server: Vec<Server>,
    /// More of them, by the group.
    #[serde(default)]
    pub servers: Vec<ServerGroup>,
    /// The classes of requests.
    pub class: Vec<Class>,
    /// The clients.
    pub clients: Clients,
    /// How servers tell their load.
    #[serde(default)]
    pub reports: Reports,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// The server list.
    #[serde(default)]
    pub discovery: Discovery,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// What is expected besides the rules.
    #[serde(default)]
    pub expect: Expect,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl Scenario {
    /// Every zone that a node or a server names, sorted.
    pub fn zones(&self) -> Vec<&str> {
        let nodes = self.node.iter().map(|node| node.zone.as_str());
        let zones: BTreeSet<&str> = nodes
            .chain(self.server.iter().map(|server| server.zone.as_str()))
            .collect();
        zones.into_iter().collect()
    }
}

/// A node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub name: Spanned<String>,
    /// Its zone.
    pub zone: String,
    /// Descriptors that it may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
}

fn sockets() -> usize {
    1024
}

/// A match server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: Spanned<String>,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its speed against that of a standard server.
    #[serde(default = "one")]
    pub speed: Spanned<f64>,
    /// Requests that it works on together.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that may wait there.
    #[serde(default = "queue")]
    pub queue: usize,
    /// When it starts, cold; left out, it started long ago.
    pub starts_ms: Option<u64>,
    /// How it slows down once crowded; left out, it doesn't.
    pub choke: Option<Choke>,
}

/// How a server slows down.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// With so many requests waiting ...
    pub waiting: usize,
    /// ... for so long ...
    pub over_ms: Spanned<u64>,
    /// ... it is so many times slower ...
    pub slower: Spanned<f64>,
    /// ... until it has been mostly idle for so long.
    pub rest_ms: Spanned<u64>,
}

/// How servers tell their load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Reports {
    /// With each answer.
    #[default]
    Answers,
    /// To probes only.
    Probes,
}

fn one() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

fn slots() -> usize {
    8
}

fn queue() -> usize {
    32
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: Spanned<String>,
    /// Whether its requests may take effect twice.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Which servers drop repeats of keyed ones ...
    #[serde(rename = "scope", default = "zone")]
    pub dedup_scope: DedupScope,
    /// ... and for how long.
    #[serde(default = "window")]
    pub window_ms: u64,
    /// Its part of the requests, against the other classes'.
    pub share: Spanned<f64>,
    /// The work of a request on a standard server, from and to.
    pub work_ms: Spanned<(u64, u64)>,
    /// An answer within this time is of full worth.
    pub aim_ms: u64,
    /// Clients wait no longer than this.
    pub deadline_ms: Spanned<u64>,
}

fn zone() -> DedupScope {
    DedupScope::Zone
}

fn window() -> u64 {
    2000
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second over all nodes; they come at random times, whatever becomes of the earlier ones.
    pub rate: Spanned<f64>,
    /// How often a client tries again after a refusal, a failure or no answer.
    #[serde(default)]
    pub retries: u32,
    /// How long it waits before that; longer where the node says so.
    #[serde(default)]
    pub backoff_ms: u64,
}

/// The network between the machines.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// How long a message takes within a zone, and between a node and its clients or its list.
    pub within_us: u64,
    /// How long it takes between zones.
    pub between_us: u64,
}

/// The server list.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long a change takes to stand on it.
    pub notice_ms: u64,
    /// The nodes have the list of the scene's start in their configuration.
    pub known: bool,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Nothing new to a server later than this after the node was told that it drains.
    pub drain_grace_ms: u64,
    /// An answer counts this long after its client's time.
    pub answer_slack_ms: u64,
    /// Share of its speed that a server starts with.
    pub start_share: f64,
    /// How long it takes to be warm.
    pub warm_ms: u64,
    /// Sent more than this multiple of what it can do, a cold one falls over ...
    pub tip_multiple: f64,
    /// ... over this span.
    pub fall_ms: u64,
    /// Attempts for a request.
    pub attempts: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            drain_grace_ms: 500,
            answer_slack_ms: 20,
            start_share: 0.12,
            warm_ms: 24_000,
            tip_multiple: 2.5,
            fall_ms: 1500,
            attempts: 4,
        }
    }
}

/// What is expected besides the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expect {
    /// Share of the requests that are served, at least.
    pub served: f64,
    /// Of a zone in trouble: all its nodes have left it within this time, ...
    pub left_ms: Option<u64>,
    /// ... no more attempts than these are spent on it, ...
    pub spent: Option<usize>,
    /// ... no second serves a smaller share of its requests, ...
    pub worst_second: Option<f64>,
    /// ... and this long after the trouble it has nine tenths of its load again.
    pub full_back_ms: Option<u64>,
    /// No cold server gets more than this multiple of what it can do.
    pub cold: Option<f64>,
    /// So many times, at most, a node left a zone that was in no trouble.
    pub strayed: Option<usize>,
}

/// What goes wrong, as it stands in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: Spanned<String>,
    /// When, from the scene's start.
    pub at_ms: Spanned<u64>,
    /// For how long; for good if left out.
    pub for_ms: Option<u64>,
    /// At which server.
    pub server: Option<Spanned<String>>,
    /// At which node.
    pub node: Option<Spanned<String>>,
    /// Or at all servers or nodes of a zone ...
    pub zone: Option<Spanned<String>>,
    /// ... or at a share of these, or of all; the seed draws which.
    pub share: Option<Spanned<f64>>,
    /// `reset`: after so many bytes of the answer.
    pub after_bytes: Option<Spanned<u64>>,
    /// `late`, `slow-link`: by so much.
    pub by_ms: Option<Spanned<u64>>,
    /// `slow`: so many times as long.
    pub times: Option<Spanned<f64>>,
    /// `lossy-link`: share of what is lost.
    pub loss: Option<Spanned<f64>>,
    /// Share of a server's requests that it strikes; all if left out.
    pub chance: Option<Spanned<f64>>,
    /// Links: to a zone, or to `all`, `servers`, `list`, `nodes` or `clients`.
    pub to: Option<Spanned<String>>,
    /// Links: `both` ways, from the node `there`, or `back`.
    pub way: Option<Spanned<String>>,
    /// A group is struck in so many parts, one after the other.
    pub waves: Option<Spanned<u64>>,
    /// It comes so many times.
    pub repeat: Option<Spanned<u64>>,
    /// Waves and repeats follow one another in such steps.
    pub every_ms: Option<u64>,
}

/// A scene that has been read and checked, and its text.
pub struct LoadedScenario {
    /// Its name.
    pub name: String,
    /// The scene.
    pub spec: Scenario,
    /// Its faults.
    pub faults: Vec<PlannedFault>,
    /// The file's text.
    pub text: String,
}

/// Finds a scene by the name of a shipped one or by its file.
pub fn find(name: &str) -> Result<LoadedScenario, FileError> {
    if let Some((name, text)) = SHIPPED.iter().find(|shipped| shipped.0 == name) {
        return check(name, Source::embedded(&format!("{name}.toml"), text));
    }
    let path = PathBuf::from(name);
    let stem = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    check(&stem, Source::read(Path::new(name))?)
}

/// Reads and checks a scene.
#[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
#[expect(clippy::too_many_lines, reason = "to be split with the module")]
pub fn check(name: &str, source: Source) -> Result<LoadedScenario, FileError> {
    let mut scene: Scenario = source.parse()?;
    let whole = |problem: &str| source.error_at(0..0, problem);
    let within = |span, good: bool, problem: &str| {
        if good {
            Ok(())
        } else {
            Err(source.error_at(span, problem))
        }
    };
    if scene.class.is_empty() {
        return Err(whole("a scene needs at least one [[class]]"));
    }
    scene.node.extend(groups::nodes(&scene.nodes, MOST_NODES));
    scene
        .server
        .extend(groups::servers(&scene.servers, MOST_SERVERS));
    if !(1..=MOST_NODES).contains(&scene.node.len())
        || !(1..=MOST_SERVERS).contains(&scene.server.len())
    {
        return Err(whole(&format!(
            "a scene has 1 to {MOST_NODES} [[node]] and 1 to {MOST_SERVERS} [[server]]"
        )));
    }
    let length = &scene.length_ms;
    within(
        length.span(),
        (1..=MOST_MS).contains(length.get_ref()),
        "from 1 to 3600000",
    )?;
    let rate = &scene.clients.rate;
    within(
        rate.span(),
        (0.0..=MOST_RATE).contains(rate.get_ref()),
        "from 0 to 100000 a second",
    )?;
    for class in &scene.class {
        let (share, work) = (&class.share, &class.work_ms);
        within(
            share.span(),
            *share.get_ref() > 0.0 && share.get_ref().is_finite(),
            "must be above 0",
        )?;
        let (least, most) = *work.get_ref();
        within(
            work.span(),
            0 < least && least <= most && most <= MOST_MS,
            "from a time above 0 to one no shorter",
        )?;
        let deadline = &class.deadline_ms;
        within(
            deadline.span(),
            (1..=MOST_MS).contains(deadline.get_ref()),
            "from 1 to 3600000",
        )?;
    }
    for server in &scene.server {
        let speed = &server.speed;
        within(
            speed.span(),
            (0.001..=1000.0).contains(speed.get_ref()),
            "from 0.001 to 1000",
        )?;
        if let Some(choke) = &server.choke {
            let slower = &choke.slower;
            within(
                slower.span(),
                (1.0..=1000.0).contains(slower.get_ref()),
                "from 1 to 1000",
            )?;
            let spans = [&choke.over_ms, &choke.rest_ms];
            for span in spans {
                within(span.span(), *span.get_ref() <= MOST_MS, "from 0 to 3600000")?;
            }
        }
    }
    let names = |names: Vec<&Spanned<String>>| {
        let mut seen = BTreeSet::new();
        let fit = |name: &str| {
            !name.is_empty()
                && name.len() <= 64
                && name
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        };
        for name in names {
            within(
                name.span(),
                fit(name.get_ref()),
                "a name has 1 to 64 letters, digits, '-', '_' or '.'",
            )?;
            within(
                name.span(),
                seen.insert(name.get_ref().clone()),
                "this name is taken",
            )?;
        }
        Ok::<_, FileError>(())
    };
    names(scene.node.iter().map(|node| &node.name).collect())?;
    names(scene.server.iter().map(|server| &server.name).collect())?;
    names(scene.class.iter().map(|class| &class.name).collect())?;
    let mut faults = Vec::new();
    for fault in &scene.fault {
        let (kind, about) = FaultKind::read(fault, &scene, &source)?;
        let position = |found: Option<usize>, wanted: &Option<Spanned<String>>| {
            let span = wanted.as_ref().map(Spanned::span).unwrap_or_default();
            found.ok_or_else(|| source.error_at(span, "there is none of this name"))
        };
        let named = |names: Vec<&str>, wanted: &Option<Spanned<String>>| {
            let name = wanted.as_ref().map(|name| name.get_ref().as_str());
            position(names.iter().position(|one| Some(*one) == name), wanted)
        };
        let one = match about {
            FaultScope::Server if fault.server.is_some() => Some(named(
                scene
                    .server
                    .iter()
                    .map(|s| s.name.get_ref().as_str())
                    .collect(),
                &fault.server,
            )?),
            FaultScope::Node if fault.node.is_some() => Some(named(
                scene
                    .node
                    .iter()
                    .map(|n| n.name.get_ref().as_str())
                    .collect(),
                &fault.node,
            )?),
            FaultScope::Server | FaultScope::Node => None,
            FaultScope::Discovery => Some(0),
        };
        let target = match one {
            Some(one) => FaultTarget::Single(one),
            None => {
                let zone = match &fault.zone {
                    Some(_) => Some(named(scene.zones(), &fault.zone)?),
                    None => None,
                };
                let share = fault.share.as_ref().map_or(1.0, |share| *share.get_ref());
                let span = fault.share.as_ref().map(Spanned::span).unwrap_or_default();
                within(span, share > 0.0 && share <= 1.0, "above 0, up to 1")?;
                FaultTarget::Group(TargetGroup {
                    zone,
                    from: 0,
                    to: (share * 1000.0).round().max(1.0) as u16,
                })
            }
        };
        let at = &fault.at_ms;
        within(at.span(), *at.get_ref() <= MOST_MS, "from 0 to 3600000")?;
        let lasts = fault.for_ms.map(|span| span.min(MOST_MS) * MILLISECOND);
        let times = |key: &Option<Spanned<u64>>| match key {
            Some(value) if !(1..=MOST_TIMES).contains(value.get_ref()) => {
                Err(source.error_at(value.span(), format!("from 1 to {MOST_TIMES}")))
            }
            value => Ok(value.as_ref().map_or(1, |value| *value.get_ref())),
        };
        let (waves, repeats) = (times(&fault.waves)?, times(&fault.repeat)?);
        let every = fault.every_ms.unwrap_or(0).min(MOST_MS) * MILLISECOND;
        let chance = fault
            .chance
            .as_ref()
            .map_or(1.0, |chance| *chance.get_ref());
        for (repeat, wave) in
            (0..repeats).flat_map(|repeat| (0..waves).map(move |wave| (repeat, wave)))
        {
            let at = at.get_ref() * MILLISECOND + every.saturating_mul(repeat * waves + wave);
            let target = target.part(wave, waves);
            faults.push(PlannedFault {
                at,
                lasts,
                target,
                kind,
                permille: (chance * 1000.0) as u16,
            });
        }
    }
    faults.sort_by_key(|fault| fault.at);
    Ok(LoadedScenario {
        name: name.to_owned(),
        spec: scene,
        faults,
        text: source.text().to_owned(),
    })
}

#[cfg(test)]
mod tests;

//! What can go wrong, under the names that scene files use, and whom it strikes.

use badgerpost_fakes::discovery::Mode;
use badgerpost_settings::file::{FileError, Source};
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{Fault, MOST_MS, Scenario};
use badgerpost_time::{MILLISECOND, Nanos};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The server refuses new connections.
    #[serde(rename = "refuse")]
    RefuseConnections,
    /// It resets the connection after so many bytes of its answer.
    #[serde(rename = "reset")]
    ResetConnection {
        /// Bytes.
        after: u64,
    },
    /// It takes connections and requests, and says nothing.
    Hang,
    /// It answers later than it would.
    #[serde(rename = "late")]
    DelayResponse {
        /// By so much.
        by: Nanos,
    },
    /// It works more slowly.
    #[serde(rename = "slow")]
    SlowDown {
        /// Hundredths of the time that it takes otherwise.
        percent: u32,
    },
    /// What it answers is no answer.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// Its answers have no length: each ends with its connection.
    #[serde(rename = "no-length")]
    CloseDelimited,
    /// It turns everything away.
    #[serde(rename = "turn-away")]
    RejectRequests,
    /// It answers 500, with the work done.
    #[serde(rename = "fail")]
    ServerError,
    /// The list says that it drains.
    Drain,
    /// The list says that it is gone.
    #[serde(rename = "gone")]
    Remove,
    /// Its process is killed, and starts anew at the end of the fault.
    KillServer,
    /// Its process is paused.
    PauseServer,
    /// Discovery does badly.
    #[serde(rename = "list")]
    Discovery(Mode),
    /// The node's process is killed (SIGKILL), and starts anew at the end of the fault.
    KillNode,
    /// It is stopped in an orderly way (SIGTERM), and starts anew at the end of the fault.
    StopNode,
    /// It is paused (SIGSTOP and SIGCONT).
    PauseNode,
    /// The network between the node and others does badly.
    Link(LinkFault),
}

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// What is wrong with the link.
    #[serde(rename = "what")]
    pub kind: LinkFaultKind,
    /// The end of the link that is not the node.
    #[serde(rename = "far")]
    pub remote: LinkEnd,
    /// Whether messages from the node are affected.
    #[serde(rename = "there")]
    pub outbound: bool,
    /// Whether messages to the node are affected.
    #[serde(rename = "back")]
    pub inbound: bool,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// Nothing comes through.
    Cut,
    /// All comes later than it would.
    Slow {
        /// By so much.
        by: Nanos,
    },
    /// Datagrams get lost, and what is lost of a connection comes late, as it is sent again.
    Lossy {
        /// Thousandths of all messages.
        permille: u16,
    },
    /// Connections are reset under their requests.
    Reset,
}

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEnd {
    /// Servers, lists and other nodes.
    All,
    /// Servers and other nodes of the zone at this position.
    Zone(usize),
    /// Servers.
    Servers,
    /// The list.
    #[serde(rename = "list")]
    Discovery,
    /// Other nodes.
    Nodes,
    /// The front that brings its clients.
    Clients,
}

/// What a kind of fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultScope {
    Server,
    Node,
    Discovery,
}

const fn link(kind: LinkFaultKind) -> FaultKind {
    FaultKind::Link(LinkFault {
        kind,
        remote: LinkEnd::All,
        outbound: true,
        inbound: true,
    })
}

/// The kinds as files name them, with the figure that each needs.
const KINDS: [(&str, FaultKind, FaultScope, Option<&str>); 25] = [
    (
        "refuse",
        FaultKind::RefuseConnections,
        FaultScope::Server,
        None,
    ),
    (
        "reset",
        FaultKind::ResetConnection { after: 0 },
        FaultScope::Server,
        Some("after_bytes"),
    ),
    ("hang", FaultKind::Hang, FaultScope::Server, None),
    (
        "late",
        FaultKind::DelayResponse { by: 0 },
        FaultScope::Server,
        Some("by_ms"),
    ),
    (
        "slow",
        FaultKind::SlowDown { percent: 0 },
        FaultScope::Server,
        Some("times"),
    ),
    (
        "spoilt",
        FaultKind::InvalidResponse,
        FaultScope::Server,
        None,
    ),
    (
        "no-length",
        FaultKind::CloseDelimited,
        FaultScope::Server,
        None,
    ),
    (
        "turn-away",
        FaultKind::RejectRequests,
        FaultScope::Server,
        None,
    ),
    ("error", FaultKind::ServerError, FaultScope::Server, None),
    ("drain", FaultKind::Drain, FaultScope::Server, None),
    ("gone", FaultKind::Remove, FaultScope::Server, None),
    (
        "kill-server",
        FaultKind::KillServer,
        FaultScope::Server,
        None,
    ),
    (
        "pause-server",
        FaultKind::PauseServer,
        FaultScope::Server,
        None,
    ),
    (
        "list-silent",
        FaultKind::Discovery(Mode::Silent),
        FaultScope::Discovery,
        None,
    ),
    (
        "list-stale",
        FaultKind::Discovery(Mode::Stale),
        FaultScope::Discovery,
        None,
    ),
    (
        "list-empty",
        FaultKind::Discovery(Mode::Empty),
        FaultScope::Discovery,
        None,
    ),
    (
        "list-malformed",
        FaultKind::Discovery(Mode::Malformed),
        FaultScope::Discovery,
        None,
    ),
    (
        "list-failing",
        FaultKind::Discovery(Mode::Failing),
        FaultScope::Discovery,
        None,
    ),
    ("kill-node", FaultKind::KillNode, FaultScope::Node, None),
    ("stop-node", FaultKind::StopNode, FaultScope::Node, None),
    ("pause-node", FaultKind::PauseNode, FaultScope::Node, None),
    ("cut", link(LinkFaultKind::Cut), FaultScope::Node, None),
    (
        "slow-link",
        link(LinkFaultKind::Slow { by: 0 }),
        FaultScope::Node,
        Some("by_ms"),
    ),
    (
        "lossy-link",
        link(LinkFaultKind::Lossy { permille: 0 }),
        FaultScope::Node,
        Some("loss"),
    ),
    (
        "reset-link",
        link(LinkFaultKind::Reset),
        FaultScope::Node,
        None,
    ),
];

/// Troubles of a server that may strike a share of its requests only.
const BY_CHANCE: [&str; 6] = ["hang", "late", "spoilt", "no-length", "turn-away", "error"];

impl FaultKind {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        let kind = std::mem::discriminant(&self);
        let same = |one: &&(&str, FaultKind, FaultScope, Option<&str>)| match (one.1, self) {
            (Self::Discovery(one), Self::Discovery(other)) => one == other,
            (Self::Link(one), Self::Link(other)) => {
                std::mem::discriminant(&one.kind) == std::mem::discriminant(&other.kind)
            }
            (one, _) => std::mem::discriminant(&one) == kind,
        };
        KINDS.iter().find(same).map_or("?", |kind| kind.0)
    }

    fn about(self) -> Option<FaultScope> {
        KINDS
            .iter()
            .find(|kind| kind.0 == self.name())
            .map(|kind| kind.2)
    }

    /// Whether it is about a server.
    pub fn is_about_server(self) -> bool {
        self.about() == Some(FaultScope::Server)
    }

    /// Whether it is about a node.
    pub fn is_about_node(self) -> bool {
        self.about() == Some(FaultScope::Node)
    }

    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    pub(super) fn read(
        fault: &Fault,
        scene: &Scenario,
        source: &Source,
    ) -> Result<(Self, FaultScope), FileError> {
        let kind = KINDS.iter().find(|kind| kind.0 == fault.kind.get_ref());
        let &(name, mut trouble, about, needs) = kind.ok_or_else(|| {
            let known = KINDS.map(|kind| kind.0).join(", ");
            source.error_at(
                fault.kind.span(),
                format!("unknown kind of fault; there are {known}"),
            )
        })?;
        let missing = |key: &str| {
            source.error_at(fault.kind.span(), format!("`{name}` needs the key `{key}`"))
        };
        let misplaced =
            |span, key: &str| source.error_at(span, format!("`{key}` does not go with `{name}`"));
        let given = [
            (&fault.server, "server", about == FaultScope::Server),
            (&fault.node, "node", about == FaultScope::Node),
        ];
        for (value, key, wanted) in given {
            match value {
                None if wanted && fault.zone.is_none() && fault.share.is_none() => {
                    return Err(missing(&format!("{key}` or `zone")));
                }
                Some(value) if !wanted => return Err(misplaced(value.span(), key)),
                _ => {}
            }
        }
        let is_link = matches!(trouble, Self::Link(_));
        let one = fault.server.is_some() || fault.node.is_some();
        let span = |key: &Option<Spanned<String>>| key.as_ref().map(Spanned::span);
        let figure = |key: &Option<Spanned<f64>>| key.as_ref().map(Spanned::span);
        let whole = |key: &Option<Spanned<u64>>| key.as_ref().map(Spanned::span);
        for (span, key, fits) in [
            (
                span(&fault.zone),
                "zone",
                !one && about != FaultScope::Discovery,
            ),
            (
                figure(&fault.share),
                "share",
                !one && about != FaultScope::Discovery,
            ),
            (span(&fault.to), "to", is_link),
            (span(&fault.way), "way", is_link),
            (figure(&fault.chance), "chance", BY_CHANCE.contains(&name)),
            (
                whole(&fault.waves),
                "waves",
                !one && about != FaultScope::Discovery,
            ),
            (
                whole(&fault.after_bytes),
                "after_bytes",
                needs == Some("after_bytes"),
            ),
            (whole(&fault.by_ms), "by_ms", needs == Some("by_ms")),
            (figure(&fault.times), "times", needs == Some("times")),
            (figure(&fault.loss), "loss", needs == Some("loss")),
        ] {
            match span {
                Some(span) if !fits => return Err(misplaced(span, key)),
                None if needs == Some(key) => return Err(missing(key)),
                _ => {}
            }
        }
        let within = |key: &Option<Spanned<f64>>, least: f64, most: f64| match key {
            Some(value) if !(least..=most).contains(value.get_ref()) => {
                Err(source.error_at(value.span(), format!("from {least} to {most}")))
            }
            value => Ok(value.as_ref().map_or(1.0, |value| *value.get_ref())),
        };
        let figure =
            |value: &Option<Spanned<u64>>| value.as_ref().map_or(0, |value| *value.get_ref());
        let by = figure(&fault.by_ms).min(MOST_MS) * MILLISECOND;
        within(&fault.chance, 0.0, 1.0)?;
        match &mut trouble {
            Self::ResetConnection { after } => *after = figure(&fault.after_bytes),
            Self::DelayResponse { by: late } => *late = by,
            Self::SlowDown { percent } => {
                *percent = (within(&fault.times, 1.0, 1000.0)? * 100.0) as u32;
            }
            Self::Link(link) => {
                match &mut link.kind {
                    LinkFaultKind::Slow { by: slow } => *slow = by,
                    LinkFaultKind::Lossy { permille } => {
                        *permille = (within(&fault.loss, 0.0, 1.0)? * 1000.0) as u16;
                    }
                    LinkFaultKind::Cut | LinkFaultKind::Reset => {}
                }
                if let Some(to) = &fault.to {
                    let zone = scene.zones().iter().position(|zone| zone == to.get_ref());
                    link.remote = match (to.get_ref().as_str(), zone) {
                        ("all", _) => LinkEnd::All,
                        ("servers", _) => LinkEnd::Servers,
                        ("list", _) => LinkEnd::Discovery,
                        ("nodes", _) => LinkEnd::Nodes,
                        ("clients", _) => LinkEnd::Clients,
                        (_, Some(zone)) => LinkEnd::Zone(zone),
                        _ => {
                            let known = "neither a zone nor all, servers, list, nodes or clients";
                            return Err(source.error_at(to.span(), known));
                        }
                    };
                }
                (link.outbound, link.inbound) =
                    match fault.way.as_ref().map(|way| way.get_ref().as_str()) {
                        None | Some("both") => (true, true),
                        Some("there") => (true, false),
                        Some("back") => (false, true),
                        Some(_) => {
                            let span = fault.way.as_ref().map(Spanned::span).unwrap_or_default();
                            return Err(source.error_at(span, "there are both, there and back"));
                        }
                    };
            }
            _ => {}
        }
        Ok((trouble, about))
    }
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FaultTarget {
    /// The server or node at this position among the scene's; 0 where it is about neither.
    Single(usize),
    /// Several at once.
    Group(TargetGroup),
}

impl FaultTarget {
    /// One of so many parts of a group.
    pub(super) fn part(self, part: u64, of: u64) -> Self {
        let Self::Group(TargetGroup { zone, from, to }) = self else {
            return self;
        };
        let at = |part: u64| from + (u64::from(to - from) * part / of) as u16;
        Self::Group(TargetGroup {
            zone,
            from: at(part),
            to: at(part + 1),
        })
    }
}

/// A part of the servers or nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// Of the zone at this position among the scene's; of all zones if left out.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Of those, in the order that the seed draws, from so many thousandths ...
    pub from: u16,
    /// ... up to so many.
    pub to: u16,
}

/// A fault in a plan: when, for how long, whom, what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When.
    pub at: Nanos,
    /// For how long; none for good.
    pub lasts: Option<Nanos>,
    /// Which server, node or group it affects.
    pub target: FaultTarget,
    /// What goes wrong.
    pub kind: FaultKind,
    /// Thousandths of a server's requests that it strikes.
    pub permille: u16,
}

impl PlannedFault {
    /// What the fault affects: positions among the scene's servers or nodes. The same for one seed and group,
    /// so that a group's next tenth is another tenth.
    pub fn targets(&self, scene: &Scenario, seed: u64) -> Vec<usize> {
        let group = match self.target {
            FaultTarget::Single(one) => return vec![one],
            FaultTarget::Group(group) => group,
        };
        let zones = scene.zones();
        let zone = group.zone.and_then(|zone| zones.get(zone).copied());
        let of: Vec<&str> = if self.kind.is_about_node() {
            scene.node.iter().map(|node| node.zone.as_str()).collect()
        } else {
            scene
                .server
                .iter()
                .map(|server| server.zone.as_str())
                .collect()
        };
        let mut random = badgerpost_fakes::random::Random::new(seed, "groups");
        let mut drawn: Vec<(u64, usize)> = (0..of.len())
            .map(|at| (random.bits(), at))
            .filter(|(_, at)| zone.is_none_or(|zone| of[*at] == zone))
            .collect();
        drawn.sort_unstable();
        let upto = |part: u16| {
            (drawn.len() * usize::from(part))
                .div_ceil(1000)
                .min(drawn.len())
        };
        let mut struck: Vec<usize> = drawn[upto(group.from)..upto(group.to)]
            .iter()
            .map(|one| one.1)
            .collect();
        struck.sort_unstable();
        struck
    }
}

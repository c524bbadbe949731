//! What can go wrong, under the names that scene files use, and whom it strikes.

use badgerpost_fakes::discovery::Mode;
use badgerpost_settings::file::{FileError, Source};
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{Fault, MOST_MS, Scene};
use badgerpost_time::{MILLISECOND, Nanos};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// The server refuses new connections.
    Refuse,
    /// It resets the connection after so many bytes of its answer.
    Reset {
        /// Bytes.
        after: u64,
    },
    /// It takes connections and requests, and says nothing.
    Hang,
    /// It answers later than it would.
    Late {
        /// By so much.
        by: Nanos,
    },
    /// It works more slowly.
    Slow {
        /// Hundredths of the time that it takes otherwise.
        percent: u32,
    },
    /// What it answers is no answer.
    Spoilt,
    /// Its answers have no length: each ends with its connection.
    NoLength,
    /// It turns everything away.
    TurnAway,
    /// It answers 500, with the work done.
    Fail,
    /// The list says that it drains.
    Drain,
    /// The list says that it is gone.
    Gone,
    /// Its process is killed, and starts anew at the end of the fault.
    KillServer,
    /// Its process is paused.
    PauseServer,
    /// Discovery does badly.
    List(Mode),
    /// The node's process is killed (SIGKILL), and starts anew at the end of the fault.
    KillNode,
    /// It is stopped in an orderly way (SIGTERM), and starts anew at the end of the fault.
    StopNode,
    /// It is paused (SIGSTOP and SIGCONT).
    PauseNode,
    /// The network between the node and others does badly.
    Link(LinkTrouble),
}

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkTrouble {
    /// What is wrong with it.
    pub what: LinkWhat,
    /// Its other end.
    pub far: Far,
    /// From the node there.
    pub there: bool,
    /// From there to the node.
    pub back: bool,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkWhat {
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
pub enum Far {
    /// Servers, lists and other nodes.
    All,
    /// Servers and other nodes of the zone at this position.
    Zone(usize),
    /// Servers.
    Servers,
    /// The list.
    List,
    /// Other nodes.
    Nodes,
    /// The front that brings its clients.
    Clients,
}

/// Whom a kind of fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum About {
    Server,
    Node,
    List,
}

const fn link(what: LinkWhat) -> Trouble {
    Trouble::Link(LinkTrouble {
        what,
        far: Far::All,
        there: true,
        back: true,
    })
}

/// The kinds as files name them, with the figure that each needs.
const KINDS: [(&str, Trouble, About, Option<&str>); 25] = [
    ("refuse", Trouble::Refuse, About::Server, None),
    (
        "reset",
        Trouble::Reset { after: 0 },
        About::Server,
        Some("after_bytes"),
    ),
    ("hang", Trouble::Hang, About::Server, None),
    (
        "late",
        Trouble::Late { by: 0 },
        About::Server,
        Some("by_ms"),
    ),
    (
        "slow",
        Trouble::Slow { percent: 0 },
        About::Server,
        Some("times"),
    ),
    ("spoilt", Trouble::Spoilt, About::Server, None),
    ("no-length", Trouble::NoLength, About::Server, None),
    ("turn-away", Trouble::TurnAway, About::Server, None),
    ("error", Trouble::Fail, About::Server, None),
    ("drain", Trouble::Drain, About::Server, None),
    ("gone", Trouble::Gone, About::Server, None),
    ("kill-server", Trouble::KillServer, About::Server, None),
    ("pause-server", Trouble::PauseServer, About::Server, None),
    (
        "list-silent",
        Trouble::List(Mode::Silent),
        About::List,
        None,
    ),
    ("list-stale", Trouble::List(Mode::Stale), About::List, None),
    ("list-empty", Trouble::List(Mode::Empty), About::List, None),
    (
        "list-malformed",
        Trouble::List(Mode::Malformed),
        About::List,
        None,
    ),
    (
        "list-failing",
        Trouble::List(Mode::Failing),
        About::List,
        None,
    ),
    ("kill-node", Trouble::KillNode, About::Node, None),
    ("stop-node", Trouble::StopNode, About::Node, None),
    ("pause-node", Trouble::PauseNode, About::Node, None),
    ("cut", link(LinkWhat::Cut), About::Node, None),
    (
        "slow-link",
        link(LinkWhat::Slow { by: 0 }),
        About::Node,
        Some("by_ms"),
    ),
    (
        "lossy-link",
        link(LinkWhat::Lossy { permille: 0 }),
        About::Node,
        Some("loss"),
    ),
    ("reset-link", link(LinkWhat::Reset), About::Node, None),
];

/// Troubles of a server that may strike a share of its requests only.
const BY_CHANCE: [&str; 6] = ["hang", "late", "spoilt", "no-length", "turn-away", "error"];

impl Trouble {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        let kind = std::mem::discriminant(&self);
        let same = |one: &&(&str, Trouble, About, Option<&str>)| match (one.1, self) {
            (Self::List(one), Self::List(other)) => one == other,
            (Self::Link(one), Self::Link(other)) => {
                std::mem::discriminant(&one.what) == std::mem::discriminant(&other.what)
            }
            (one, _) => std::mem::discriminant(&one) == kind,
        };
        KINDS.iter().find(same).map_or("?", |kind| kind.0)
    }

    fn about(self) -> Option<About> {
        KINDS
            .iter()
            .find(|kind| kind.0 == self.name())
            .map(|kind| kind.2)
    }

    /// Whether it is about a server.
    pub fn is_about_server(self) -> bool {
        self.about() == Some(About::Server)
    }

    /// Whether it is about a node.
    pub fn is_about_node(self) -> bool {
        self.about() == Some(About::Node)
    }

    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    pub(super) fn read(
        fault: &Fault,
        scene: &Scene,
        source: &Source,
    ) -> Result<(Self, About), FileError> {
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
            (&fault.server, "server", about == About::Server),
            (&fault.node, "node", about == About::Node),
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
            (span(&fault.zone), "zone", !one && about != About::List),
            (figure(&fault.share), "share", !one && about != About::List),
            (span(&fault.to), "to", is_link),
            (span(&fault.way), "way", is_link),
            (figure(&fault.chance), "chance", BY_CHANCE.contains(&name)),
            (whole(&fault.waves), "waves", !one && about != About::List),
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
            Self::Reset { after } => *after = figure(&fault.after_bytes),
            Self::Late { by: late } => *late = by,
            Self::Slow { percent } => {
                *percent = (within(&fault.times, 1.0, 1000.0)? * 100.0) as u32;
            }
            Self::Link(link) => {
                match &mut link.what {
                    LinkWhat::Slow { by: slow } => *slow = by,
                    LinkWhat::Lossy { permille } => {
                        *permille = (within(&fault.loss, 0.0, 1.0)? * 1000.0) as u16;
                    }
                    LinkWhat::Cut | LinkWhat::Reset => {}
                }
                if let Some(to) = &fault.to {
                    let zone = scene.zones().iter().position(|zone| zone == to.get_ref());
                    link.far = match (to.get_ref().as_str(), zone) {
                        ("all", _) => Far::All,
                        ("servers", _) => Far::Servers,
                        ("list", _) => Far::List,
                        ("nodes", _) => Far::Nodes,
                        ("clients", _) => Far::Clients,
                        (_, Some(zone)) => Far::Zone(zone),
                        _ => {
                            let known = "neither a zone nor all, servers, list, nodes or clients";
                            return Err(source.error_at(to.span(), known));
                        }
                    };
                }
                (link.there, link.back) = match fault.way.as_ref().map(|way| way.get_ref().as_str())
                {
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

/// Whom a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Whom {
    /// The server or node at this position among the scene's; 0 where it is about neither.
    One(usize),
    /// Several at once.
    Group(Group),
}

impl Whom {
    /// One of so many parts of a group.
    pub(super) fn part(self, part: u64, of: u64) -> Self {
        let Self::Group(Group { zone, from, to }) = self else {
            return self;
        };
        let at = |part: u64| from + (u64::from(to - from) * part / of) as u16;
        Self::Group(Group {
            zone,
            from: at(part),
            to: at(part + 1),
        })
    }
}

/// A part of the servers or nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
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
pub struct Planned {
    /// When.
    pub at: Nanos,
    /// For how long; none for good.
    pub lasts: Option<Nanos>,
    /// Whom.
    pub whom: Whom,
    /// What.
    pub trouble: Trouble,
    /// Thousandths of a server's requests that it strikes.
    pub permille: u16,
}

impl Planned {
    /// Whom the fault strikes: positions among the scene's servers or nodes. The same for one seed and group,
    /// so that a group's next tenth is another tenth.
    pub fn strikes(&self, scene: &Scene, seed: u64) -> Vec<usize> {
        let group = match self.whom {
            Whom::One(one) => return vec![one],
            Whom::Group(group) => group,
        };
        let zones = scene.zones();
        let zone = group.zone.and_then(|zone| zones.get(zone).copied());
        let of: Vec<&str> = if self.trouble.is_about_node() {
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

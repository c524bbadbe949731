//! What can go wrong, under the names that scene files use, and whom it strikes.

use badgerpost_standins::discovery::Mode;
use brookfield_settings::file::{FileError, Source};
use serde::{Deserialize, Serialize};
use toml::Spanned;

use super::{Fault, MOST_MS, Scene};
use crate::{MS, Nanos};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
    /// What it answers is no answer.
    Spoilt,
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
}

/// Whom a fault is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum About {
    Server,
    Node,
    List,
}

/// The kinds as files name them.
const KINDS: [(&str, Trouble, About); 19] = [
    ("refuse", Trouble::Refuse, About::Server),
    ("reset", Trouble::Reset { after: 0 }, About::Server),
    ("hang", Trouble::Hang, About::Server),
    ("late", Trouble::Late { by: 0 }, About::Server),
    ("spoilt", Trouble::Spoilt, About::Server),
    ("turn-away", Trouble::TurnAway, About::Server),
    ("error", Trouble::Fail, About::Server),
    ("drain", Trouble::Drain, About::Server),
    ("gone", Trouble::Gone, About::Server),
    ("kill-server", Trouble::KillServer, About::Server),
    ("pause-server", Trouble::PauseServer, About::Server),
    ("list-silent", Trouble::List(Mode::Silent), About::List),
    ("list-stale", Trouble::List(Mode::Stale), About::List),
    ("list-empty", Trouble::List(Mode::Empty), About::List),
    ("list-malformed", Trouble::List(Mode::Malformed), About::List),
    ("list-failing", Trouble::List(Mode::Failing), About::List),
    ("kill-node", Trouble::KillNode, About::Node),
    ("stop-node", Trouble::StopNode, About::Node),
    ("pause-node", Trouble::PauseNode, About::Node),
];

impl Trouble {
    /// Its name in files.
    pub fn name(self) -> &'static str {
        let same = |kind: &&(&str, Trouble, About)| match (kind.1, self) {
            (Self::Reset { .. }, Self::Reset { .. }) | (Self::Late { .. }, Self::Late { .. }) => true,
            (one, other) => one == other,
        };
        KINDS.iter().find(same).map_or("?", |kind| kind.0)
    }

    /// Whether it is about a server.
    pub fn is_about_server(self) -> bool {
        KINDS.iter().any(|kind| kind.0 == self.name() && kind.2 == About::Server)
    }

    /// Whether it is about a node.
    pub fn is_about_node(self) -> bool {
        KINDS.iter().any(|kind| kind.0 == self.name() && kind.2 == About::Node)
    }

    /// The kind of this name, with its figures.
    pub fn named(name: &str, after_bytes: Option<u64>, by: Option<Nanos>) -> Option<Self> {
        let kind = KINDS.iter().find(|kind| kind.0 == name)?;
        Some(match kind.1 {
            Self::Reset { .. } => Self::Reset { after: after_bytes? },
            Self::Late { .. } => Self::Late { by: by? },
            other => other,
        })
    }

    pub(super) fn read(fault: &Fault, source: &Source) -> Result<(Self, About), FileError> {
        let kind = KINDS.iter().find(|kind| kind.0 == fault.kind.get_ref());
        let &(name, trouble, about) = kind.ok_or_else(|| {
            let known = KINDS.map(|kind| kind.0).join(", ");
            source.bad(fault.kind.span(), format!("unknown kind of fault; there are {known}"))
        })?;
        let missing = |key: &str| source.bad(fault.kind.span(), format!("`{name}` needs the key `{key}`"));
        let misplaced = |span, key: &str| source.bad(span, format!("`{key}` does not go with `{name}`"));
        let given =
            [(&fault.server, "server", about == About::Server), (&fault.node, "node", about == About::Node)];
        for (value, key, wanted) in given {
            match value {
                None if wanted && fault.zone.is_none() && fault.share.is_none() => {
                    return Err(missing(&format!("{key}` or `zone")));
                }
                Some(value) if !wanted => return Err(misplaced(value.span(), key)),
                _ => {}
            }
        }
        let zone = fault.zone.as_ref().map(Spanned::span);
        let share = fault.share.as_ref().map(Spanned::span);
        let one = fault.server.is_some() || fault.node.is_some();
        for (span, key) in [(zone, "zone"), (share, "share")] {
            if let Some(span) = span.filter(|_| one || about == About::List) {
                return Err(misplaced(span, key));
            }
        }
        let figures = [(&fault.after_bytes, "after_bytes", "reset"), (&fault.by_ms, "by_ms", "late")];
        for (value, key, of) in figures {
            match value {
                Some(value) if name != of => return Err(misplaced(value.span(), key)),
                None if name == of => return Err(missing(key)),
                _ => {}
            }
        }
        let figure = |value: &Option<Spanned<u64>>| value.as_ref().map(|value| *value.get_ref());
        let by = figure(&fault.by_ms).map(|by| by.min(MOST_MS) * MS);
        let named = Self::named(name, figure(&fault.after_bytes), by);
        Ok((named.unwrap_or(trouble), about))
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
            scene.server.iter().map(|server| server.zone.as_str()).collect()
        };
        let mut random = badgerpost_standins::random::Random::new(seed, "groups");
        let mut drawn: Vec<(u64, usize)> = (0..of.len())
            .map(|at| (random.bits(), at))
            .filter(|(_, at)| zone.is_none_or(|zone| of[*at] == zone))
            .collect();
        drawn.sort_unstable();
        let upto = |part: u16| (drawn.len() * usize::from(part)).div_ceil(1000).min(drawn.len());
        let mut struck: Vec<usize> =
            drawn[upto(group.from)..upto(group.to)].iter().map(|one| one.1).collect();
        struck.sort_unstable();
        struck
    }
}

//! The kinds of faults: their names in scenario files, their scopes and their required keys.

use badgerpost_fakes::discovery::Mode;

use super::fault::{FaultKind, LinkEnd, LinkFault, LinkFaultKind};

/// What a kind of fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultScope {
    Server,
    Node,
    Discovery,
}

/// How scenario files describe a kind of fault.
#[derive(Clone, Copy)]
pub(super) struct KindDefinition {
    pub(super) name: &'static str,
    /// The kind, with zero for each value that the file sets.
    pub(super) kind: FaultKind,
    pub(super) scope: FaultScope,
    /// The key that this kind requires and that is rejected for kinds that do not require it.
    pub(super) required_key: Option<&'static str>,
}

const fn on_server(name: &'static str, kind: FaultKind) -> KindDefinition {
    KindDefinition {
        name,
        kind,
        scope: FaultScope::Server,
        required_key: None,
    }
}

const fn on_node(name: &'static str, kind: FaultKind) -> KindDefinition {
    KindDefinition {
        name,
        kind,
        scope: FaultScope::Node,
        required_key: None,
    }
}

const fn on_link(name: &'static str, kind: LinkFaultKind) -> KindDefinition {
    let link = LinkFault {
        kind,
        remote: LinkEnd::All,
        outbound: true,
        inbound: true,
    };
    on_node(name, FaultKind::Link(link))
}

const fn on_discovery(name: &'static str, mode: Mode) -> KindDefinition {
    KindDefinition {
        name,
        kind: FaultKind::Discovery(mode),
        scope: FaultScope::Discovery,
        required_key: None,
    }
}

impl KindDefinition {
    const fn requires(mut self, key: &'static str) -> Self {
        self.required_key = Some(key);
        self
    }

    /// Whether the kind accepts `chance`, the probability that a request is affected.
    pub(super) fn may_have_probability(&self) -> bool {
        matches!(
            self.kind,
            FaultKind::Hang
                | FaultKind::DelayResponse { .. }
                | FaultKind::InvalidResponse
                | FaultKind::CloseDelimited
                | FaultKind::RejectRequests
                | FaultKind::ServerError
        )
    }
}

pub(super) const KINDS: [KindDefinition; 25] = [
    on_server("refuse", FaultKind::RefuseConnections),
    on_server("reset", FaultKind::ResetConnection { after: 0 }).requires("after_bytes"),
    on_server("hang", FaultKind::Hang),
    on_server("late", FaultKind::DelayResponse { by: 0 }).requires("by_ms"),
    on_server("slow", FaultKind::SlowDown { percent: 0 }).requires("times"),
    on_server("spoilt", FaultKind::InvalidResponse),
    on_server("no-length", FaultKind::CloseDelimited),
    on_server("turn-away", FaultKind::RejectRequests),
    on_server("error", FaultKind::ServerError),
    on_server("drain", FaultKind::Drain),
    on_server("gone", FaultKind::Remove),
    on_server("kill-server", FaultKind::KillServer),
    on_server("pause-server", FaultKind::PauseServer),
    on_discovery("list-silent", Mode::Silent),
    on_discovery("list-stale", Mode::Stale),
    on_discovery("list-empty", Mode::Empty),
    on_discovery("list-malformed", Mode::Malformed),
    on_discovery("list-failing", Mode::Failing),
    on_node("kill-node", FaultKind::KillNode),
    on_node("stop-node", FaultKind::StopNode),
    on_node("pause-node", FaultKind::PauseNode),
    on_link("cut", LinkFaultKind::Cut),
    on_link("slow-link", LinkFaultKind::Slow { by: 0 }).requires("by_ms"),
    on_link("lossy-link", LinkFaultKind::Lossy { permille: 0 }).requires("loss"),
    on_link("reset-link", LinkFaultKind::Reset),
];

impl FaultKind {
    /// The kind's name in scenario files.
    pub fn name(self) -> &'static str {
        self.definition().map_or("?", |definition| definition.name)
    }

    /// Whether the kind affects servers.
    pub fn affects_server(self) -> bool {
        self.scope() == Some(FaultScope::Server)
    }

    /// Whether the kind affects nodes or their links.
    pub fn affects_node(self) -> bool {
        self.scope() == Some(FaultScope::Node)
    }

    fn scope(self) -> Option<FaultScope> {
        self.definition().map(|definition| definition.scope)
    }

    fn definition(self) -> Option<&'static KindDefinition> {
        KINDS
            .iter()
            .find(|definition| definition.kind.is_same_kind(self))
    }

    /// Whether both are the same kind, regardless of their values.
    fn is_same_kind(self, other: Self) -> bool {
        use std::mem::discriminant;
        match (self, other) {
            (Self::Discovery(mode), Self::Discovery(other)) => mode == other,
            (Self::Link(link), Self::Link(other)) => {
                discriminant(&link.kind) == discriminant(&other.kind)
            }
            _ => discriminant(&self) == discriminant(&other),
        }
    }
}

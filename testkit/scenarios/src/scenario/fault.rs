//! Faults: what goes wrong, which servers, nodes or links it affects, and when.

use badgerpost_fakes::discovery::Mode;
use badgerpost_fakes::random::Random;
use badgerpost_time::Nanos;
use serde::{Deserialize, Serialize};

use super::Scenario;
use crate::index::{TargetIndex, ZoneIndex};

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The server refuses new connections.
    #[serde(rename = "refuse")]
    RefuseConnections,
    /// The server resets the connection after part of its response.
    #[serde(rename = "reset")]
    ResetConnection {
        /// The number of bytes of the response before the reset.
        after: u64,
    },
    /// The server accepts connections and requests, and never responds.
    Hang,
    /// The server responds late.
    #[serde(rename = "late")]
    DelayResponse {
        /// The additional delay.
        by: Nanos,
    },
    /// The server executes requests more slowly.
    #[serde(rename = "slow")]
    SlowDown {
        /// The service time in per cent of the usual one.
        percent: u32,
    },
    /// What the server writes is not a valid response.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// Responses have no length: each ends with its connection.
    #[serde(rename = "no-length")]
    CloseDelimited,
    /// The server rejects every request.
    #[serde(rename = "turn-away")]
    RejectRequests,
    /// The server responds 500 after it has executed the request.
    #[serde(rename = "fail")]
    ServerError,
    /// Discovery reports the server as draining.
    Drain,
    /// Discovery reports the server as gone.
    #[serde(rename = "gone")]
    Remove,
    /// The server's process is killed; it restarts at the end of the fault.
    KillServer,
    /// The server's process is paused.
    PauseServer,
    /// Discovery fails in this way.
    #[serde(rename = "list")]
    Discovery(Mode),
    /// The node's process is killed (SIGKILL); it restarts at the end of the fault.
    KillNode,
    /// The node is asked to shut down (SIGTERM); it restarts at the end of the fault.
    StopNode,
    /// The node is paused (SIGSTOP and SIGCONT).
    PauseNode,
    /// A network link of the node fails.
    Link(LinkFault),
}

/// A fault of network links.
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

/// A kind of link fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultKind {
    /// All messages are dropped.
    Cut,
    /// All messages are delayed.
    Slow {
        /// The additional delay.
        by: Nanos,
    },
    /// Datagrams are lost; connections are delayed by the retransmission of lost segments.
    Lossy {
        /// The loss in thousandths of all messages.
        permille: u16,
    },
    /// Connections are reset under their requests.
    Reset,
}

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEnd {
    /// Servers, discovery and other nodes.
    All,
    /// Servers and other nodes of a zone.
    Zone(ZoneIndex),
    /// Servers.
    Servers,
    /// Discovery.
    #[serde(rename = "list")]
    Discovery,
    /// Other nodes.
    Nodes,
    /// The node's clients.
    Clients,
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FaultTarget {
    /// The server or node at this position.
    Single(TargetIndex),
    /// Several servers or nodes at once.
    Group(TargetGroup),
}

impl FaultTarget {
    /// One of `waves` equal parts of a group; a single target is its own part.
    pub(super) fn wave(self, wave: u64, waves: u64) -> Self {
        let Self::Group(TargetGroup { zone, from, to }) = self else {
            return self;
        };
        let boundary = |wave: u64| from + (u64::from(to - from) * wave / waves) as u16;
        Self::Group(TargetGroup {
            zone,
            from: boundary(wave),
            to: boundary(wave + 1),
        })
    }
}

/// A part of the servers or nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// The zone whose servers or nodes are meant; those of all zones without it.
    #[serde(default)]
    pub zone: Option<ZoneIndex>,
    /// In the order that the seed draws: the thousandth at which the part begins ...
    pub from: u16,
    /// ... and at which it ends.
    pub to: u16,
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Nanos,
    /// How long it lasts; none if it does not end.
    #[serde(rename = "lasts")]
    pub duration: Option<Nanos>,
    /// Which server, node or group it affects.
    #[serde(rename = "whom")]
    pub target: FaultTarget,
    /// What goes wrong.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
    /// The part of a server's requests that is affected, in thousandths.
    pub permille: u16,
}

impl PlannedFault {
    /// The servers or nodes that are affected. A seed always draws the same order of a group, so that
    /// the next tenth of the group is a different tenth.
    pub fn targets(&self, scenario: &Scenario, seed: u64) -> Vec<TargetIndex> {
        let group = match self.target {
            FaultTarget::Single(index) => return vec![index],
            FaultTarget::Group(group) => group,
        };
        let zones = scenario.zones();
        let zone = group.zone.and_then(|zone| zones.get(zone.get()).copied());
        let zone_of_each: Vec<&str> = if self.kind.affects_node() {
            scenario
                .nodes
                .iter()
                .map(|node| node.zone.as_str())
                .collect()
        } else {
            scenario
                .servers
                .iter()
                .map(|server| server.zone.as_str())
                .collect()
        };
        let mut random = Random::new(seed, "groups");
        let mut drawn: Vec<(u64, usize)> = (0..zone_of_each.len())
            .map(|index| (random.next_u64(), index))
            .filter(|(_, index)| zone.is_none_or(|zone| zone_of_each[*index] == zone))
            .collect();
        drawn.sort_unstable();
        let count_up_to = |permille: u16| {
            let count = (drawn.len() * usize::from(permille)).div_ceil(1000);
            count.min(drawn.len())
        };
        let affected = &drawn[count_up_to(group.from)..count_up_to(group.to)];
        let mut targets: Vec<TargetIndex> = affected
            .iter()
            .map(|(_, index)| TargetIndex(*index))
            .collect();
        targets.sort_unstable();
        targets
    }
}

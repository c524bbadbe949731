//! Faults: their kinds, their targets and their times.

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
    /// The server writes an invalid response.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// The server sends responses without a length, which end with the close of the connection.
    #[serde(rename = "no-length")]
    CloseDelimited,
    /// The server rejects every request.
    #[serde(rename = "turn-away")]
    RejectRequests,
    /// The server responds with status 500 after executing the request.
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
    /// Discovery fails in the given mode.
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
    /// How the link fails.
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
        /// The lost fraction of messages, in thousandths.
        permille: u16,
    },
    /// Connections are reset while requests are open on them.
    Reset,
}

/// The remote end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkEnd {
    /// Servers, discovery and other nodes.
    All,
    /// The servers and other nodes of a zone.
    Zone(ZoneIndex),
    /// All servers.
    Servers,
    /// Discovery.
    #[serde(rename = "list")]
    Discovery,
    /// All other nodes.
    Nodes,
    /// The node's clients.
    Clients,
}

/// What a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum FaultTarget {
    /// The server or node at the given position.
    Single(TargetIndex),
    /// Several servers or nodes at once.
    Group(TargetGroup),
}

impl FaultTarget {
    /// The part of a group with the number `wave`, of `waves` equal parts; a single target is returned unchanged.
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

/// A fraction of the servers or nodes, in an order that is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetGroup {
    /// The zone of the servers or nodes; all zones if absent.
    #[serde(default)]
    pub zone: Option<ZoneIndex>,
    /// The start of the fraction in the drawn order, in thousandths.
    pub from: u16,
    /// The end of the fraction in the drawn order, in thousandths.
    pub to: u16,
}

/// A fault with its time and target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// When the fault begins, from the start of the scenario.
    pub at: Nanos,
    /// How long the fault lasts; none if it lasts to the end of the run.
    #[serde(rename = "lasts")]
    pub duration: Option<Nanos>,
    /// The server, node or group that is affected.
    #[serde(rename = "whom")]
    pub target: FaultTarget,
    /// The kind of fault.
    #[serde(rename = "trouble")]
    pub kind: FaultKind,
    /// The probability that a request to an affected server is affected, in thousandths.
    pub permille: u16,
}

impl PlannedFault {
    /// The positions of the affected servers or nodes, sorted. The drawn order depends on the seed alone, so that
    /// consecutive fractions of a group do not overlap.
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

//! Groups of nodes and servers, so that a scenario of hundreds of them stays a page long.

use serde::Deserialize;
use toml::Spanned;

use super::schema::{
    Degradation, Node, Scenario, Server, default_max_descriptors, default_queue_capacity,
    default_slots, default_speed,
};
use super::validation::{MAX_NODES, MAX_SERVERS};

/// Nodes that are alike, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeGroup {
    /// The number of nodes.
    pub count: usize,
    /// The prefix of their names.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// The number of descriptors that each may hold.
    #[serde(rename = "sockets", default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

/// Servers that are alike but for their speed, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// The number of servers.
    pub count: usize,
    /// The prefix of their names.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// The speed of the first and of the last server; the others' lie between, in even steps.
    #[serde(default = "default_speeds")]
    pub speed: Spanned<(f64, f64)>,
    /// The number of requests that each executes at a time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The number of requests that may wait in the queue of each.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// When they start, in slow start; without it, they started long ago.
    pub starts_ms: Option<u64>,
    /// How each degrades under load; without it, it doesn't.
    #[serde(rename = "choke")]
    pub degradation: Option<Degradation>,
}

fn default_speeds() -> Spanned<(f64, f64)> {
    Spanned::new(default_speed().span(), (1.0, 1.0))
}

/// Adds the nodes and servers of a scenario's groups to the scenario: of each, one more than it may have at most, so that
/// validation finds too many.
pub(super) fn expand(scenario: &mut Scenario) {
    let nodes = scenario.node_groups.iter().flat_map(NodeGroup::nodes);
    scenario.nodes.extend(nodes.take(MAX_NODES + 1));
    let servers = scenario.server_groups.iter().flat_map(ServerGroup::servers);
    scenario.servers.extend(servers.take(MAX_SERVERS + 1));
}

impl NodeGroup {
    fn nodes(&self) -> impl Iterator<Item = Node> {
        (0..self.count).map(|number| Node {
            name: numbered(&self.name, number),
            zone: self.zone.clone(),
            max_descriptors: self.max_descriptors,
        })
    }
}

impl ServerGroup {
    fn servers(&self) -> impl Iterator<Item = Server> {
        (0..self.count).map(|number| Server {
            name: numbered(&self.name, number),
            zone: self.zone.clone(),
            cell: 0,
            speed: Spanned::new(self.speed.span(), self.speed_of(number)),
            slots: self.slots,
            queue_capacity: self.queue_capacity,
            starts_ms: self.starts_ms,
            degradation: self.degradation.clone(),
        })
    }

    fn speed_of(&self, number: usize) -> f64 {
        let (first, last) = *self.speed.get_ref();
        first + (last - first) * number as f64 / (self.count.max(2) - 1) as f64
    }
}

/// The name of a group's member; errors about it point to the group's.
fn numbered(prefix: &Spanned<String>, number: usize) -> Spanned<String> {
    Spanned::new(prefix.span(), format!("{}{number}", prefix.get_ref()))
}

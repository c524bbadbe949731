//! Groups of nodes and servers, so that a scenario of hundreds of them stays a page long.

use toml::Spanned;

use super::schema::{Node, NodeGroup, Scenario, Server, ServerGroup};
use super::validation::{MAX_NODES, MAX_SERVERS};

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

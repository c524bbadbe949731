//! Expands groups of similar nodes and servers into single nodes and servers.

use toml::Spanned;

use super::schema::{Node, NodeGroup, Scenario, Server, ServerGroup};
use super::validation::{MAX_NODES, MAX_SERVERS};

/// Adds the members of the groups to the scenario's nodes and servers. Of each, at most one more than allowed is added,
/// which bounds the memory and lets validation reject the scenario.
pub(super) fn expand(scenario: &mut Scenario) {
    let nodes = scenario.node_groups.iter().flat_map(NodeGroup::nodes);
    scenario.nodes.extend(nodes.take(MAX_NODES + 1));
    let servers = scenario.server_groups.iter().flat_map(ServerGroup::servers);
    scenario.servers.extend(servers.take(MAX_SERVERS + 1));
}

impl NodeGroup {
    fn nodes(&self) -> impl Iterator<Item = Node> {
        (0..self.count).map(|number| Node {
            name: member_name(&self.name, number),
            zone: self.zone.clone(),
            max_descriptors: self.max_descriptors,
        })
    }
}

impl ServerGroup {
    fn servers(&self) -> impl Iterator<Item = Server> {
        (0..self.count).map(|number| Server {
            name: member_name(&self.name, number),
            zone: self.zone.clone(),
            cell: 0,
            speed: Spanned::new(self.speed.span(), self.speed_at(number)),
            slots: self.slots,
            queue_capacity: self.queue_capacity,
            starts_ms: self.starts_ms,
            degradation: self.degradation.clone(),
        })
    }

    fn speed_at(&self, number: usize) -> f64 {
        let (first, last) = *self.speed.get_ref();
        first + (last - first) * number as f64 / (self.count.max(2) - 1) as f64
    }
}

/// The name of a group's member, with the position of the group's name in the file for error messages.
fn member_name(prefix: &Spanned<String>, number: usize) -> Spanned<String> {
    Spanned::new(prefix.span(), format!("{}{number}", prefix.get_ref()))
}

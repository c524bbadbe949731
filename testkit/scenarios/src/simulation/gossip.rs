//! Gossip between the nodes: each node advertises a socket of the test kit, which forwards the datagrams with the delay
//! and the loss of the link. The content of datagrams is not inspected.

use std::net::SocketAddr;

use super::events::{NodeInput, ScheduledEvent};
use super::node_state::{GossipEndpoint, SimulatedNode};
use super::state::Simulation;
use badgerpost_fakes::net::ListenerId;

/// The name and the content of the gossip key file, the same for all nodes.
pub const GOSSIP_KEY: (&str, &str) = ("peers.key", "a rehearsal's key, known to everybody");
/// The number of nodes that all nodes have as gossip seeds.
const SEED_COUNT: usize = 3;

impl Simulation {
    /// Whether the nodes exchange gossip.
    pub fn has_gossip(&self) -> bool {
        self.nodes.iter().any(|node| node.gossip.is_some())
    }

    /// The gossip section of a node's settings file; empty without gossip.
    pub fn gossip_settings(&self, node: usize) -> String {
        let Some(gossip) = &self.nodes[node].gossip else {
            return String::new();
        };
        let seeds = self
            .nodes
            .iter()
            .take(SEED_COUNT)
            .filter_map(|seed| seed.gossip.as_ref());
        let seeds: Vec<String> = seeds
            .map(|seed| format!("\"{}\"", seed.advertised_address))
            .collect();
        format!(
            "\n[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{{folder}}/{}\"\n",
            gossip.advertised_address,
            seeds.join(", "),
            GOSSIP_KEY.0
        )
    }

    /// Sets the address at which a new process of a node receives datagrams.
    pub fn set_gossip_address(&mut self, node: usize, address: SocketAddr) {
        self.nodes[node]
            .gossip
            .iter_mut()
            .for_each(|gossip| gossip.node_address = Some(address));
    }

    /// The number of datagrams and of bytes that each node has sent.
    pub fn gossip_traffic(&self) -> Vec<(u64, u64)> {
        let traffic = |node: &SimulatedNode| {
            node.gossip
                .as_ref()
                .map_or((0, 0), |gossip| (gossip.sent_datagrams, gossip.sent_bytes))
        };
        self.nodes.iter().map(traffic).collect()
    }

    /// Schedules the delivery of a datagram, unless the link loses it.
    pub(super) fn forward_datagram(
        &mut self,
        socket: ListenerId,
        from: SocketAddr,
        bytes: Vec<u8>,
    ) {
        let find_node = |predicate: &dyn Fn(&GossipEndpoint) -> bool| {
            self.nodes
                .iter()
                .position(|node| node.gossip.as_ref().is_some_and(predicate))
        };
        let to = find_node(&|gossip| gossip.socket == socket);
        // The sender's process may have ended and another one may use a new address.
        let from = find_node(&|gossip| gossip.node_address == Some(from));
        let (Some(from), Some(to)) = (from, to) else {
            return;
        };
        if let Some(gossip) = &mut self.nodes[from].gossip {
            gossip.sent_datagrams += 1;
            gossip.sent_bytes += bytes.len() as u64;
        }
        if let Some(delay) = self.datagram_delay(from, to) {
            self.schedule(
                self.now.saturating_add(delay),
                ScheduledEvent::DatagramDelivery { node: to, bytes },
            );
        }
    }

    /// Sends a datagram that has arrived at its node to the node's process.
    pub(super) fn deliver_datagram(&mut self, to: usize, bytes: &[u8]) -> Option<NodeInput> {
        let node = &self.nodes[to];
        let gossip = node.gossip.as_ref().filter(|_| node.is_up)?;
        let sent = self
            .net
            .send_datagram(gossip.socket, gossip.node_address?, bytes);
        Some(NodeInput {
            node: to,
            bytes: sent as u64,
        })
    }
}

//! What the nodes say to each other: each is reached at a door of the kit, so that every datagram passes here and is
//! late or lost as the scene says. What stands in one nobody here reads.

use std::net::SocketAddr;

use super::events::{NodeInput, ScheduledEvent};
use super::node_state::{GossipEndpoint, SimulatedNode};
use super::state::Simulation;
use badgerpost_fakes::net::ListenerId;

/// The file with the key that all nodes of a rehearsal have, and its text: good for nothing else.
pub const GOSSIP_KEY: (&str, &str) = ("peers.key", "a rehearsal's key, known to everybody");
/// Nodes that the others ask first.
const SEEDS: usize = 3;

impl Simulation {
    /// Whether the nodes talk to each other.
    pub fn has_gossip(&self) -> bool {
        self.nodes.iter().any(|node| node.gossip.is_some())
    }

    /// The section of a node's own file that has it talk to the others; empty where it does not.
    pub fn gossip_settings(&self, node: usize) -> String {
        let Some(gossip) = &self.nodes[node].gossip else {
            return String::new();
        };
        let seeds = self
            .nodes
            .iter()
            .take(SEEDS)
            .filter_map(|seed| seed.gossip.as_ref());
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{}\"", seed.at)).collect();
        format!(
            "\n[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{{folder}}/{}\"\n",
            gossip.at,
            seeds.join(", "),
            GOSSIP_KEY.0
        )
    }

    /// A node takes datagrams at this address from now on.
    pub fn set_gossip_address(&mut self, node: usize, at: SocketAddr) {
        self.nodes[node]
            .gossip
            .iter_mut()
            .for_each(|gossip| gossip.real = Some(at));
    }

    /// What each node has sent to the others: datagrams and bytes.
    pub fn gossip_traffic(&self) -> Vec<(u64, u64)> {
        let of = |node: &SimulatedNode| {
            node.gossip
                .as_ref()
                .map_or((0, 0), |gossip| (gossip.datagrams, gossip.bytes))
        };
        self.nodes.iter().map(of).collect()
    }

    /// A node has sent a datagram to another one's door.
    pub(super) fn forward_datagram(&mut self, door: ListenerId, from: SocketAddr, bytes: Vec<u8>) {
        let node = |is: &dyn Fn(&GossipEndpoint) -> bool| {
            self.nodes
                .iter()
                .position(|node| node.gossip.as_ref().is_some_and(is))
        };
        let to = node(&|gossip| gossip.door == door);
        // The sender of a datagram that came as its process had gone is not known any more.
        let (Some(from), Some(to)) = (node(&|gossip| gossip.real == Some(from)), to) else {
            return;
        };
        if let Some(gossip) = &mut self.nodes[from].gossip {
            gossip.datagrams += 1;
            gossip.bytes += bytes.len() as u64;
        }
        if let Some(delay) = self.datagram_delay(from, to) {
            self.schedule(
                self.now.saturating_add(delay),
                ScheduledEvent::DatagramDelivery { node: to, bytes },
            );
        }
    }

    /// A datagram comes to a node.
    pub(super) fn deliver_datagram(&mut self, to: usize, bytes: &[u8]) -> Option<NodeInput> {
        let node = &self.nodes[to];
        let gossip = node.gossip.as_ref().filter(|_| node.up)?;
        let sent = self.net.send_datagram(gossip.door, gossip.real?, bytes);
        Some(NodeInput {
            node: to,
            bytes: sent as u64,
        })
    }
}

//! Gossip between the nodes: each advertises a socket of the test kit, which forwards every datagram, late or not
//! at all as the scenario says. Their content is opaque here.

use std::net::SocketAddr;

use super::events::{NodeInput, ScheduledEvent};
use super::node_state::{GossipEndpoint, SimulatedNode};
use super::state::Simulation;
use badgerpost_fakes::net::ListenerId;

/// The name and content of the key file of all nodes; used for nothing else.
pub const GOSSIP_KEY: (&str, &str) = ("peers.key", "a rehearsal's key, known to everybody");
/// How many nodes are seeds of the others.
const SEEDS: usize = 3;

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

    /// A new process of a node receives datagrams at this address.
    pub fn set_gossip_address(&mut self, node: usize, at: SocketAddr) {
        self.nodes[node]
            .gossip
            .iter_mut()
            .for_each(|gossip| gossip.real = Some(at));
    }

    /// Datagrams and bytes that each node has sent.
    pub fn gossip_traffic(&self) -> Vec<(u64, u64)> {
        let of = |node: &SimulatedNode| {
            node.gossip
                .as_ref()
                .map_or((0, 0), |gossip| (gossip.datagrams, gossip.bytes))
        };
        self.nodes.iter().map(of).collect()
    }

    /// Schedules the delivery of a datagram, unless the link loses it.
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

    /// Writes a datagram that has arrived at its node.
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

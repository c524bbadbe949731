//! What the nodes say to each other: each is reached at a door of the kit, so that every datagram passes here and is
//! late or lost as the scene says. What stands in one nobody here reads.

use std::net::SocketAddr;

use badgerpost_fakes::net::ListenerId;

use super::stage::{NodeSide, Talk, Todo, World};

/// The file with the key that all nodes of a rehearsal have, and its text: good for nothing else.
pub const PEERS_KEY: (&str, &str) = ("peers.key", "a rehearsal's key, known to everybody");
/// Nodes that the others ask first.
const SEEDS: usize = 3;

impl World {
    /// Whether the nodes talk to each other.
    pub fn has_peers(&self) -> bool {
        self.nodes.iter().any(|node| node.talk.is_some())
    }

    /// The section of a node's own file that has it talk to the others; empty where it does not.
    pub fn peers_section(&self, node: usize) -> String {
        let Some(talk) = &self.nodes[node].talk else {
            return String::new();
        };
        let seeds = self
            .nodes
            .iter()
            .take(SEEDS)
            .filter_map(|seed| seed.talk.as_ref());
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{}\"", seed.at)).collect();
        format!(
            "\n[peers]\nlisten = \"127.0.0.1:0\"\nadvertise = \"{}\"\nseeds = [{}]\nkey_file = \"{{folder}}/{}\"\n",
            talk.at,
            seeds.join(", "),
            PEERS_KEY.0
        )
    }

    /// A node takes datagrams at this address from now on.
    pub fn peer_up(&mut self, node: usize, at: SocketAddr) {
        self.nodes[node]
            .talk
            .iter_mut()
            .for_each(|talk| talk.real = Some(at));
    }

    /// What each node has sent to the others: datagrams and bytes.
    pub fn talk(&self) -> Vec<(u64, u64)> {
        let of = |node: &NodeSide| {
            node.talk
                .as_ref()
                .map_or((0, 0), |talk| (talk.datagrams, talk.bytes))
        };
        self.nodes.iter().map(of).collect()
    }

    /// A node has sent a datagram to another one's door.
    pub(super) fn datagram_goes(&mut self, door: ListenerId, from: SocketAddr, bytes: Vec<u8>) {
        let node = |is: &dyn Fn(&Talk) -> bool| {
            self.nodes
                .iter()
                .position(|node| node.talk.as_ref().is_some_and(is))
        };
        let to = node(&|talk| talk.door == door);
        // The sender of a datagram that came as its process had gone is not known any more.
        let (Some(from), Some(to)) = (node(&|talk| talk.real == Some(from)), to) else {
            return;
        };
        if let Some(talk) = &mut self.nodes[from].talk {
            talk.datagrams += 1;
            talk.bytes += bytes.len() as u64;
        }
        if let Some(delay) = self.datagram_way(from, to) {
            self.at(self.now.saturating_add(delay), Todo::Datagram(to, bytes));
        }
    }

    /// A datagram comes to a node.
    pub(super) fn datagram_comes(&mut self, to: usize, bytes: &[u8]) -> Option<(usize, u64)> {
        let node = &self.nodes[to];
        let talk = node.talk.as_ref().filter(|_| node.up)?;
        let sent = self.net.send_datagram(talk.door, talk.real?, bytes);
        Some((to, sent as u64))
    }
}

//! Network links between nodes and the processes around them: the latency of each message, and the delays, losses, cuts
//! and resets of active link faults.

use badgerpost_fakes::net::ConnId;
use badgerpost_time::{MILLISECOND, Nanos};

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{InFlightMessage, LinkImpairment};
use super::state::Simulation;
use crate::scenario::{LinkEnd, LinkFaultKind};

/// The delay of the first retransmission of a lost segment; it doubles for each further one, as in TCP.
const RETRANSMISSION_TIMEOUT: Nanos = 200 * MILLISECOND;
/// A message arrives after at most this many losses in a row.
const MAX_CONSECUTIVE_LOSSES: u32 = 8;

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remote {
    Server(usize),
    Discovery,
    Clients,
    /// Another node, over gossip.
    Node(usize),
}

/// One direction of a link.
#[derive(Clone, Copy, Debug)]
struct Route {
    node: usize,
    remote: Remote,
    /// Whether the direction is from the node to the remote end.
    is_outbound: bool,
}

impl Route {
    fn outbound(node: usize, remote: Remote) -> Self {
        Self {
            node,
            remote,
            is_outbound: true,
        }
    }

    fn inbound(node: usize, remote: Remote) -> Self {
        Self {
            node,
            remote,
            is_outbound: false,
        }
    }
}

/// The combined effect of the link faults on a route that delivers messages.
struct Degradation {
    delay: Nanos,
    /// The loss in thousandths of all messages.
    loss_permille: u16,
}

/// What happens to a message on a route.
enum Transmission {
    /// The message arrives after this delay.
    Delayed(Nanos),
    /// The message is held until the link faults change.
    Held,
    /// The connection is reset.
    Reset,
}

impl Simulation {
    /// Whether a link fault affects a route.
    fn affects(&self, impairment: &LinkImpairment, route: Route) -> bool {
        let fault = impairment.link_fault;
        let matches_remote = match (fault.remote, route.remote) {
            (LinkEnd::Clients, remote) => remote == Remote::Clients,
            (_, Remote::Clients) => false,
            (LinkEnd::All, _) => true,
            (LinkEnd::Servers, remote) => matches!(remote, Remote::Server(_)),
            (LinkEnd::Discovery, remote) => remote == Remote::Discovery,
            (LinkEnd::Zone(zone), Remote::Server(server)) => {
                self.servers[server].zone_index == zone.get()
            }
            (LinkEnd::Zone(zone), Remote::Node(other)) => {
                self.nodes[other].zone_index == zone.get()
            }
            (LinkEnd::Nodes, remote) => matches!(remote, Remote::Node(_)),
            (LinkEnd::Zone(_), Remote::Discovery) => false,
        };
        let matches_direction = if route.is_outbound {
            fault.outbound
        } else {
            fault.inbound
        };
        matches_remote && impairment.nodes[route.node] && matches_direction
    }

    /// The latency of a link without faults.
    fn base_latency(&self, node: usize, remote: Remote) -> Nanos {
        let network = self.plan.scenario.spec.network;
        let zone = match remote {
            Remote::Server(server) => Some(self.servers[server].zone_index),
            Remote::Node(other) => Some(self.nodes[other].zone_index),
            Remote::Discovery | Remote::Clients => None,
        };
        let is_local = zone.is_none_or(|zone| zone == self.nodes[node].zone_index);
        1000 * if is_local {
            network.latency_in_zone_us
        } else {
            network.latency_between_zones_us
        }
    }

    /// Combines the active link faults of a route. The first cut or reset among them is returned as the error.
    fn combined_impairment(
        &self,
        applies: impl Fn(&LinkImpairment) -> bool,
    ) -> Result<Degradation, LinkFaultKind> {
        let (mut delay, mut loss_permille) = (0, 0);
        for impairment in self.impairments.iter().filter(|active| applies(active)) {
            match impairment.link_fault.kind {
                kind @ (LinkFaultKind::Cut | LinkFaultKind::Reset) => return Err(kind),
                LinkFaultKind::Slow { by } => delay += by,
                LinkFaultKind::Lossy { permille } => {
                    loss_permille = loss_permille.max(permille);
                }
            }
        }
        Ok(Degradation {
            delay,
            loss_permille,
        })
    }

    /// Draws whether a message is lost. Without loss no random number is taken.
    fn is_lost(&mut self, permille: u16) -> bool {
        permille > 0 && self.random.chance(f64::from(permille) / 1000.0)
    }

    fn transmission(&mut self, route: Route) -> Transmission {
        let degradation = match self.combined_impairment(|active| self.affects(active, route)) {
            Ok(degradation) => degradation,
            Err(LinkFaultKind::Reset) => return Transmission::Reset,
            Err(_) => return Transmission::Held,
        };
        let mut delay = self.base_latency(route.node, route.remote) + degradation.delay;
        for round in 0..MAX_CONSECUTIVE_LOSSES {
            if !self.is_lost(degradation.loss_permille) {
                break;
            }
            delay += RETRANSMISSION_TIMEOUT << round;
        }
        Transmission::Delayed(delay)
    }

    /// The delay of a datagram between nodes; absent if the datagram is lost. Resets do not affect datagrams.
    pub(super) fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Nanos> {
        let applies = |impairment: &LinkImpairment| {
            impairment.link_fault.kind != LinkFaultKind::Reset
                && (self.affects(impairment, Route::outbound(from, Remote::Node(to)))
                    || self.affects(impairment, Route::inbound(to, Remote::Node(from))))
        };
        let degradation = self.combined_impairment(applies).ok()?;
        let delay = self.base_latency(from, Remote::Node(to)) + degradation.delay;
        (!self.is_lost(degradation.loss_permille)).then_some(delay)
    }

    /// Sends a message over its link. Returns the node that has new input, if the message is delivered without delay.
    pub(super) fn transmit(&mut self, message: InFlightMessage) -> Option<NodeInput> {
        let Some(route) = self.route(&message) else {
            return self.deliver_message(message);
        };
        match self.transmission(route) {
            Transmission::Delayed(0) => self.deliver_message(message),
            Transmission::Delayed(delay) => {
                let at = self.now.saturating_add(delay);
                self.schedule(at, ScheduledEvent::MessageDelivery(Box::new(message)));
                None
            }
            Transmission::Held => {
                self.excuse_request_of(&message);
                self.held_messages.push(message);
                None
            }
            Transmission::Reset => {
                let conn = message.conn();
                self.excuse_request_of(&message);
                self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
                None
            }
        }
    }

    /// The route of a message; absent if the connection is closed or its node is not known yet.
    fn route(&self, message: &InFlightMessage) -> Option<Route> {
        let connection = self.connections.get(&message.conn())?;
        match (message, connection) {
            (InFlightMessage::ToServer(_), Connection::Server { server, node, .. }) => {
                Some(Route::outbound((*node)?, Remote::Server(*server)))
            }
            (InFlightMessage::FromServer(_), Connection::Server { server, node, .. }) => {
                Some(Route::inbound((*node)?, Remote::Server(*server)))
            }
            (InFlightMessage::ToDiscovery(..), Connection::Discovery { node, .. }) => {
                Some(Route::outbound(*node, Remote::Discovery))
            }
            (InFlightMessage::FromDiscovery(..), Connection::Discovery { node, .. }) => {
                Some(Route::inbound(*node, Remote::Discovery))
            }
            (InFlightMessage::ToNode(..), Connection::Client { node, .. }) => {
                Some(Route::inbound(*node, Remote::Clients))
            }
            (InFlightMessage::ToClient(..), Connection::Client { node, .. }) => {
                Some(Route::outbound(*node, Remote::Clients))
            }
            _ => None,
        }
    }

    /// Excuses the request of a message that was not delivered to or from a client.
    fn excuse_request_of(&mut self, message: &InFlightMessage) {
        if let InFlightMessage::ToNode(_, number, _) | InFlightMessage::ToClient(_, number, _) =
            message
        {
            self.requests[*number].log.is_excused = true;
        }
    }

    /// Delivers a message to its receiver.
    pub(super) fn deliver_message(&mut self, message: InFlightMessage) -> Option<NodeInput> {
        match message {
            InFlightMessage::ToServer(job) => {
                self.receive_request(job);
                None
            }
            InFlightMessage::FromServer(response) => self.write_response(response),
            InFlightMessage::ToDiscovery(conn, message) => {
                self.receive_poll(conn, &message);
                None
            }
            InFlightMessage::FromDiscovery(conn, reply) => self.write_endpoint_list(conn, &reply),
            InFlightMessage::ToNode(conn, number, bytes) => {
                self.deliver_to_node(conn, number, &bytes)
            }
            InFlightMessage::ToClient(conn, number, response) => {
                self.deliver_to_client(conn, number, &response);
                None
            }
        }
    }

    /// Sends all held messages again after the active link faults have changed.
    pub(super) fn release_held_messages(&mut self) {
        for message in std::mem::take(&mut self.held_messages) {
            if self.connections.contains_key(&message.conn()) {
                self.schedule(self.now, ScheduledEvent::HeldMessage(Box::new(message)));
            }
        }
    }

    /// Resets the connections that a new link fault affects.
    pub(super) fn reset_links(&mut self, impairment: &LinkImpairment) {
        let is_affected = |connection: &Connection| match connection {
            Connection::Server {
                server,
                node: Some(node),
                ..
            } => self.affects(impairment, Route::outbound(*node, Remote::Server(*server))),
            Connection::Discovery { node, .. } => {
                self.affects(impairment, Route::outbound(*node, Remote::Discovery))
            }
            _ => false,
        };
        let mut conns: Vec<ConnId> = Vec::new();
        for (conn, connection) in &self.connections {
            if is_affected(connection) {
                conns.push(*conn);
            }
        }
        for conn in conns {
            self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
        }
    }
}

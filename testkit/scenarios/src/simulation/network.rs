//! The links between nodes and the processes around them: each message is delayed, held, lost or reset as the link
//! faults of the scenario say.

use badgerpost_fakes::net::ConnId;
use badgerpost_time::{MILLISECOND, Nanos};

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{InFlightMessage, LinkImpairment};
use super::state::Simulation;
use crate::scenario::{LinkEnd, LinkFaultKind};

/// The first retransmission of a lost segment comes after this; each further one takes twice as long, as in TCP.
const RETRANSMISSION_TIMEOUT: Nanos = 200 * MILLISECOND;
/// After so many losses in a row the message arrives all the same, long after anybody waits for it.
const MAX_LOSSES: u32 = 8;

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remote {
    Server(usize),
    Discovery,
    Clients,
    /// Another node.
    Node(usize),
}

/// One direction of a link.
#[derive(Clone, Copy, Debug)]
struct Route {
    node: usize,
    remote: Remote,
    /// From the node to the remote end.
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

/// What all impairments of a route that lets messages through add up to.
struct Degradation {
    delay: Nanos,
    /// The thousandths of messages that are lost.
    loss: u16,
}

/// What a route does with a message.
enum Path {
    /// It arrives after this delay.
    Delayed(Nanos),
    Cut,
    Reset,
}

impl Simulation {
    fn affects(&self, impairment: &LinkImpairment, route: Route) -> bool {
        let fault = impairment.trouble;
        let matches_remote = match (fault.remote, route.remote) {
            (LinkEnd::Clients, remote) => remote == Remote::Clients,
            (_, Remote::Clients) => false,
            (LinkEnd::All, _) => true,
            (LinkEnd::Servers, remote) => matches!(remote, Remote::Server(_)),
            (LinkEnd::Discovery, remote) => remote == Remote::Discovery,
            (LinkEnd::Zone(zone), Remote::Server(server)) => {
                self.servers[server].zone_number == zone.get()
            }
            (LinkEnd::Zone(zone), Remote::Node(other)) => {
                self.nodes[other].zone_number == zone.get()
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

    /// The delay of a link without impairments.
    fn base_latency(&self, node: usize, remote: Remote) -> Nanos {
        let network = self.plan.scenario.spec.network;
        let zone = match remote {
            Remote::Server(server) => Some(self.servers[server].zone_number),
            Remote::Node(other) => Some(self.nodes[other].zone_number),
            Remote::Discovery | Remote::Clients => None,
        };
        let is_local = zone.is_none_or(|zone| zone == self.nodes[node].zone_number);
        1000 * if is_local {
            network.latency_in_zone_us
        } else {
            network.latency_between_zones_us
        }
    }

    /// Combines the active impairments of a route; the first one that lets nothing through is an error.
    fn combined_impairment(
        &self,
        applies: impl Fn(&LinkImpairment) -> bool,
    ) -> Result<Degradation, LinkFaultKind> {
        let (mut delay, mut loss) = (0, 0);
        for impairment in self.impairments.iter().filter(|active| applies(active)) {
            match impairment.trouble.kind {
                stops @ (LinkFaultKind::Cut | LinkFaultKind::Reset) => return Err(stops),
                LinkFaultKind::Slow { by } => delay += by,
                LinkFaultKind::Lossy { permille } => loss = loss.max(permille),
            }
        }
        Ok(Degradation { delay, loss })
    }

    fn is_lost(&mut self, permille: u16) -> bool {
        permille > 0 && self.random.chance(f64::from(permille) / 1000.0)
    }

    fn path(&mut self, route: Route) -> Path {
        let degradation = match self.combined_impairment(|active| self.affects(active, route)) {
            Ok(degradation) => degradation,
            Err(LinkFaultKind::Reset) => return Path::Reset,
            Err(_) => return Path::Cut,
        };
        let mut delay = self.base_latency(route.node, route.remote) + degradation.delay;
        for round in 0..MAX_LOSSES {
            if !self.is_lost(degradation.loss) {
                break;
            }
            delay += RETRANSMISSION_TIMEOUT << round;
        }
        Path::Delayed(delay)
    }

    /// The delay of a datagram from one node to another; none if it is lost. Faults that reset connections leave
    /// datagrams alone.
    pub(super) fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Nanos> {
        let applies = |impairment: &LinkImpairment| {
            impairment.trouble.kind != LinkFaultKind::Reset
                && (self.affects(impairment, Route::outbound(from, Remote::Node(to)))
                    || self.affects(impairment, Route::inbound(to, Remote::Node(from))))
        };
        let degradation = self.combined_impairment(applies).ok()?;
        let delay = self.base_latency(from, Remote::Node(to)) + degradation.delay;
        (!self.is_lost(degradation.loss)).then_some(delay)
    }

    /// Sends a message. One that needs no time is delivered at once; returns the node that has input then.
    pub(super) fn transmit(&mut self, message: InFlightMessage) -> Option<NodeInput> {
        let Some(route) = self.route(&message) else {
            return self.deliver_message(message);
        };
        match self.path(route) {
            Path::Delayed(0) => self.deliver_message(message),
            Path::Delayed(delay) => {
                let at = self.now.saturating_add(delay);
                self.schedule(at, ScheduledEvent::MessageDelivery(Box::new(message)));
                None
            }
            Path::Cut => {
                self.excuse_request_of(&message);
                self.held_messages.push(message);
                None
            }
            Path::Reset => {
                let conn = message.conn();
                self.excuse_request_of(&message);
                self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
                None
            }
        }
    }

    /// The route of a message; none if its connection is gone or its node is not known yet.
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

    /// The rules ask nothing of a request whose message to or from its client did not come through.
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
            InFlightMessage::ToClient(conn, number, answer) => {
                self.deliver_to_client(conn, number, &answer);
                None
            }
        }
    }

    /// Sends all held messages once more after the impairments have changed.
    pub(super) fn release_held_messages(&mut self) {
        for message in std::mem::take(&mut self.held_messages) {
            if self.connections.contains_key(&message.conn()) {
                self.schedule(self.now, ScheduledEvent::HeldMessage(Box::new(message)));
            }
        }
    }

    /// Resets the connections that a new impairment affects.
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

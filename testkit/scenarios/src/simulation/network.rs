//! The network between the machines: each message between a node and a server, its list, its clients or another
//! node passes here, and is late, stuck, lost or reset as the scene says.

use badgerpost_fakes::net::ConnId;

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{InFlightMessage, LinkImpairment};
use super::state::Simulation;
use crate::scene::{Far, LinkTrouble, LinkWhat};
use badgerpost_time::{MILLISECOND, Nanos};

/// What a connection has lost is sent again after this long, and after twice as long when that is lost too, as TCP
/// does.
const SENT_AGAIN: Nanos = 200 * MILLISECOND;
/// Given up after so many losses in a row, long after anybody still waits.
const MOST_LOSSES: u32 = 8;

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    Server(usize),
    List,
    Clients,
    /// Another node.
    Node(usize),
}

/// What a message meets.
enum PathState {
    /// It comes through after so long.
    Open(Nanos),
    Cut,
    Reset,
}

impl Simulation {
    fn touches(&self, bad: &LinkImpairment, node: usize, end: LinkEnd, there: bool) -> bool {
        let LinkTrouble {
            far,
            there: cut_there,
            back,
            ..
        } = bad.trouble;
        let fits = match (far, end) {
            (Far::Clients, end) => end == LinkEnd::Clients,
            (_, LinkEnd::Clients) => false,
            (Far::All, _) => true,
            (Far::Servers, end) => matches!(end, LinkEnd::Server(_)),
            (Far::List, end) => end == LinkEnd::List,
            (Far::Zone(zone), LinkEnd::Server(server)) => self.servers[server].zone_number == zone,
            (Far::Zone(zone), LinkEnd::Node(other)) => self.nodes[other].zone_number == zone,
            (Far::Nodes, end) => matches!(end, LinkEnd::Node(_)),
            (Far::Zone(_), LinkEnd::List) => false,
        };
        fits && bad.nodes[node] && if there { cut_there } else { back }
    }

    /// How long a message between a node and another end takes where no link does badly.
    fn base_latency(&self, node: usize, end: LinkEnd) -> Nanos {
        let network = self.plan.scene.scene.network;
        let zone = match end {
            LinkEnd::Server(server) => Some(self.servers[server].zone_number),
            LinkEnd::Node(other) => Some(self.nodes[other].zone_number),
            LinkEnd::List | LinkEnd::Clients => None,
        };
        let near = zone.is_none_or(|zone| zone == self.nodes[node].zone_number);
        1000 * if near {
            network.within_us
        } else {
            network.between_us
        }
    }

    /// What the bad links that a message meets add to its way, and the thousandths of it that they lose; or what the
    /// first of them that lets nothing through does.
    fn combined_impairment(
        &self,
        meets: impl Fn(&LinkImpairment) -> bool,
    ) -> Result<(Nanos, u16), LinkWhat> {
        let (mut delay, mut loss) = (0, 0);
        for bad in self.impairments.iter().filter(|bad| meets(bad)) {
            match bad.trouble.what {
                stops @ (LinkWhat::Cut | LinkWhat::Reset) => return Err(stops),
                LinkWhat::Slow { by } => delay += by,
                LinkWhat::Lossy { permille } => loss = loss.max(permille),
            }
        }
        Ok((delay, loss))
    }

    fn is_lost(&mut self, permille: u16) -> bool {
        permille > 0 && self.random.chance(f64::from(permille) / 1000.0)
    }

    fn path(&mut self, node: usize, end: LinkEnd, there: bool) -> PathState {
        let (late, loss) = match self.combined_impairment(|bad| self.touches(bad, node, end, there))
        {
            Ok(met) => met,
            Err(LinkWhat::Reset) => return PathState::Reset,
            Err(_) => return PathState::Cut,
        };
        let mut delay = self.base_latency(node, end) + late;
        for round in 0..MOST_LOSSES {
            if !self.is_lost(loss) {
                break;
            }
            delay += SENT_AGAIN << round;
        }
        PathState::Open(delay)
    }

    /// How long a datagram from one node to another is under way; none where it gets lost. There is no connection that
    /// a link could reset.
    pub(super) fn datagram_delay(&mut self, from: usize, to: usize) -> Option<Nanos> {
        let meets = |bad: &LinkImpairment| {
            bad.trouble.what != LinkWhat::Reset
                && (self.touches(bad, from, LinkEnd::Node(to), true)
                    || self.touches(bad, to, LinkEnd::Node(from), false))
        };
        let (late, loss) = self.combined_impairment(meets).ok()?;
        let delay = self.base_latency(from, LinkEnd::Node(to)) + late;
        (!self.is_lost(loss)).then_some(delay)
    }

    /// Sends a message on its way. What needs no time arrives at once, and a node that has news then is returned.
    pub(super) fn transmit(&mut self, carried: InFlightMessage) -> Option<NodeInput> {
        let Some((node, end, there)) = self.endpoints_of(&carried) else {
            return self.deliver_message(carried);
        };
        match self.path(node, end, there) {
            PathState::Open(0) => self.deliver_message(carried),
            PathState::Open(delay) => {
                self.schedule(
                    self.now.saturating_add(delay),
                    ScheduledEvent::MessageDelivery(Box::new(carried)),
                );
                None
            }
            PathState::Cut => {
                self.excuse_held(&carried);
                self.held_messages.push(carried);
                None
            }
            PathState::Reset => {
                let conn = carried.conn();
                self.excuse_held(&carried);
                self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
                None
            }
        }
    }

    /// The node, the other end, and whether it goes there; none where the node is not known yet.
    fn endpoints_of(&self, carried: &InFlightMessage) -> Option<(usize, LinkEnd, bool)> {
        let peer = self.connections.get(&carried.conn())?;
        match (carried, peer) {
            (InFlightMessage::ToServer(_), Connection::Server { server, node, .. }) => {
                Some(((*node)?, LinkEnd::Server(*server), true))
            }
            (InFlightMessage::FromServer(_), Connection::Server { server, node, .. }) => {
                Some(((*node)?, LinkEnd::Server(*server), false))
            }
            (InFlightMessage::ToList(..), Connection::List { node, .. }) => {
                Some((*node, LinkEnd::List, true))
            }
            (InFlightMessage::FromList(..), Connection::List { node, .. }) => {
                Some((*node, LinkEnd::List, false))
            }
            (InFlightMessage::ToNode(..), Connection::Client { node, .. }) => {
                Some((*node, LinkEnd::Clients, false))
            }
            (InFlightMessage::ToClient(..), Connection::Client { node, .. }) => {
                Some((*node, LinkEnd::Clients, true))
            }
            _ => None,
        }
    }

    /// A message that does not come through may have been the one that the rules ask for: nothing is owed then.
    fn excuse_held(&mut self, carried: &InFlightMessage) {
        if let InFlightMessage::ToNode(_, number, _) | InFlightMessage::ToClient(_, number, _) =
            carried
        {
            self.requests[*number].log.excused = true;
        }
    }

    /// A message has arrived.
    pub(super) fn deliver_message(&mut self, carried: InFlightMessage) -> Option<NodeInput> {
        match carried {
            InFlightMessage::ToServer(job) => {
                self.receive_request(job);
                None
            }
            InFlightMessage::FromServer(sending) => self.write_response(sending),
            InFlightMessage::ToList(conn, message) => {
                self.receive_poll(conn, &message);
                None
            }
            InFlightMessage::FromList(conn, reply) => self.write_endpoint_list(conn, &reply),
            InFlightMessage::ToNode(conn, number, bytes) => {
                self.deliver_to_node(conn, number, &bytes)
            }
            InFlightMessage::ToClient(conn, number, answer) => {
                self.deliver_to_client(conn, number, &answer);
                None
            }
        }
    }

    /// A link has become bad, or good again: what was stuck goes on, or is stuck once more.
    pub(super) fn release_held_messages(&mut self) {
        for carried in std::mem::take(&mut self.held_messages) {
            if self.connections.contains_key(&carried.conn()) {
                self.schedule(self.now, ScheduledEvent::HeldMessage(Box::new(carried)));
            }
        }
    }

    /// Connections under a link that resets them are reset as it begins to.
    pub(super) fn reset_links(&mut self, bad: &LinkImpairment) {
        let reset: Vec<ConnId> = self
            .connections
            .iter()
            .filter(|(_, peer)| match peer {
                Connection::Server {
                    server,
                    node: Some(node),
                    ..
                } => self.touches(bad, *node, LinkEnd::Server(*server), true),
                Connection::List { node, .. } => self.touches(bad, *node, LinkEnd::List, true),
                _ => false,
            })
            .map(|(conn, _)| *conn)
            .collect();
        reset
            .into_iter()
            .for_each(|conn| self.schedule(self.now, ScheduledEvent::ResetConnection(conn)));
    }
}

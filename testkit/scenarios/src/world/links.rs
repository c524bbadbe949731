//! The network between the machines: each message between a node and a server, its list, its clients or another
//! node passes here, and is late, stuck, lost or reset as the scene says.

use badgerpost_fakes::discovery::WatchResponse;
use badgerpost_fakes::message::Message;
use badgerpost_fakes::net::ConnId;

use super::stage::{Job, Peer, Sending, Todo, World};
use crate::scenario::{LinkEnd, LinkFault, LinkFaultKind};
use badgerpost_time::{MILLISECOND, Nanos};

/// What a connection has lost is sent again after this long, and after twice as long when that is lost too, as TCP
/// does.
const SENT_AGAIN: Nanos = 200 * MILLISECOND;
/// Given up after so many losses in a row, long after anybody still waits.
const MOST_LOSSES: u32 = 8;

/// The other end of a node's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Server(usize),
    List,
    Clients,
    /// Another node.
    Node(usize),
}

/// A message on its way.
#[derive(Clone, Debug)]
pub(super) enum Carried {
    /// A request to a server.
    ToServer(Job),
    /// What a server answers.
    FromServer(Sending),
    /// A call to the list.
    ToList(ConnId, Message),
    /// What the list answers.
    FromList(ConnId, WatchResponse),
    /// A client's request, by its number, as it is written.
    ToNode(ConnId, usize, Vec<u8>),
    /// A node's answer to the request of this number.
    ToClient(ConnId, usize, Message),
}

/// A link that does badly: whose, and how.
pub(super) struct BadLink {
    pub(super) fault: usize,
    pub(super) nodes: Vec<bool>,
    pub(super) trouble: LinkFault,
}

/// What a message meets.
enum Way {
    /// It comes through after so long.
    Open(Nanos),
    Cut,
    Reset,
}

impl World {
    fn touches(&self, bad: &BadLink, node: usize, end: End, there: bool) -> bool {
        let LinkFault {
            remote,
            outbound,
            inbound,
            ..
        } = bad.trouble;
        let fits = match (remote, end) {
            (LinkEnd::Clients, end) => end == End::Clients,
            (_, End::Clients) => false,
            (LinkEnd::All, _) => true,
            (LinkEnd::Servers, end) => matches!(end, End::Server(_)),
            (LinkEnd::Discovery, end) => end == End::List,
            (LinkEnd::Zone(zone), End::Server(server)) => {
                self.sites[server].zone_number == zone.get()
            }
            (LinkEnd::Zone(zone), End::Node(other)) => self.nodes[other].zone_number == zone.get(),
            (LinkEnd::Nodes, end) => matches!(end, End::Node(_)),
            (LinkEnd::Zone(_), End::List) => false,
        };
        fits && bad.nodes[node] && if there { outbound } else { inbound }
    }

    /// How long a message between a node and another end takes where no link does badly.
    fn usual(&self, node: usize, end: End) -> Nanos {
        let network = self.plan.scenario.spec.network;
        let zone = match end {
            End::Server(server) => Some(self.sites[server].zone_number),
            End::Node(other) => Some(self.nodes[other].zone_number),
            End::List | End::Clients => None,
        };
        let near = zone.is_none_or(|zone| zone == self.nodes[node].zone_number);
        1000 * if near {
            network.latency_in_zone_us
        } else {
            network.latency_between_zones_us
        }
    }

    /// What the bad links that a message meets add to its way, and the thousandths of it that they lose; or what the
    /// first of them that lets nothing through does.
    fn met(&self, meets: impl Fn(&BadLink) -> bool) -> Result<(Nanos, u16), LinkFaultKind> {
        let (mut delay, mut loss) = (0, 0);
        for bad in self.bad_links.iter().filter(|bad| meets(bad)) {
            match bad.trouble.kind {
                stops @ (LinkFaultKind::Cut | LinkFaultKind::Reset) => return Err(stops),
                LinkFaultKind::Slow { by } => delay += by,
                LinkFaultKind::Lossy { permille } => loss = loss.max(permille),
            }
        }
        Ok((delay, loss))
    }

    fn is_lost(&mut self, permille: u16) -> bool {
        permille > 0 && self.random.chance(f64::from(permille) / 1000.0)
    }

    fn way(&mut self, node: usize, end: End, there: bool) -> Way {
        let (late, loss) = match self.met(|bad| self.touches(bad, node, end, there)) {
            Ok(met) => met,
            Err(LinkFaultKind::Reset) => return Way::Reset,
            Err(_) => return Way::Cut,
        };
        let mut delay = self.usual(node, end) + late;
        for round in 0..MOST_LOSSES {
            if !self.is_lost(loss) {
                break;
            }
            delay += SENT_AGAIN << round;
        }
        Way::Open(delay)
    }

    /// How long a datagram from one node to another is under way; none where it gets lost. There is no connection that
    /// a link could reset.
    pub(super) fn datagram_way(&mut self, from: usize, to: usize) -> Option<Nanos> {
        let meets = |bad: &BadLink| {
            bad.trouble.kind != LinkFaultKind::Reset
                && (self.touches(bad, from, End::Node(to), true)
                    || self.touches(bad, to, End::Node(from), false))
        };
        let (late, loss) = self.met(meets).ok()?;
        let delay = self.usual(from, End::Node(to)) + late;
        (!self.is_lost(loss)).then_some(delay)
    }

    /// Sends a message on its way. What needs no time arrives at once, and a node that has news then is returned.
    pub(super) fn carry(&mut self, carried: Carried) -> Option<(usize, u64)> {
        let Some((node, end, there)) = self.ends_of(&carried) else {
            return self.arrives(carried);
        };
        match self.way(node, end, there) {
            Way::Open(0) => self.arrives(carried),
            Way::Open(delay) => {
                self.at(
                    self.now.saturating_add(delay),
                    Todo::Arrives(Box::new(carried)),
                );
                None
            }
            Way::Cut => {
                self.is_stuck(&carried);
                self.stuck.push(carried);
                None
            }
            Way::Reset => {
                let conn = carried.conn();
                self.is_stuck(&carried);
                self.at(self.now, Todo::Reset(conn));
                None
            }
        }
    }

    /// The node, the other end, and whether it goes there; none where the node is not known yet.
    fn ends_of(&self, carried: &Carried) -> Option<(usize, End, bool)> {
        let peer = self.peers.get(&carried.conn())?;
        match (carried, peer) {
            (Carried::ToServer(_), Peer::Server { server, node, .. }) => {
                Some(((*node)?, End::Server(*server), true))
            }
            (Carried::FromServer(_), Peer::Server { server, node, .. }) => {
                Some(((*node)?, End::Server(*server), false))
            }
            (Carried::ToList(..), Peer::List { node, .. }) => Some((*node, End::List, true)),
            (Carried::FromList(..), Peer::List { node, .. }) => Some((*node, End::List, false)),
            (Carried::ToNode(..), Peer::Client { node, .. }) => Some((*node, End::Clients, false)),
            (Carried::ToClient(..), Peer::Client { node, .. }) => Some((*node, End::Clients, true)),
            _ => None,
        }
    }

    /// A message that does not come through may have been the one that the rules ask for: nothing is owed then.
    fn is_stuck(&mut self, carried: &Carried) {
        if let Carried::ToNode(_, number, _) | Carried::ToClient(_, number, _) = carried {
            self.requests[*number].log.is_excused = true;
        }
    }

    /// A message has arrived.
    pub(super) fn arrives(&mut self, carried: Carried) -> Option<(usize, u64)> {
        match carried {
            Carried::ToServer(job) => {
                self.reached(job);
                None
            }
            Carried::FromServer(sending) => self.deliver(sending),
            Carried::ToList(conn, message) => {
                self.list_asked(conn, &message);
                None
            }
            Carried::FromList(conn, reply) => self.list_told(conn, &reply),
            Carried::ToNode(conn, number, bytes) => self.node_gets(conn, number, &bytes),
            Carried::ToClient(conn, number, answer) => {
                self.client_gets(conn, number, &answer);
                None
            }
        }
    }

    /// A link has become bad, or good again: what was stuck goes on, or is stuck once more.
    pub(super) fn links_changed(&mut self) {
        for carried in std::mem::take(&mut self.stuck) {
            if self.peers.contains_key(&carried.conn()) {
                self.at(self.now, Todo::Goes(Box::new(carried)));
            }
        }
    }

    /// Connections under a link that resets them are reset as it begins to.
    pub(super) fn reset_links(&mut self, bad: &BadLink) {
        let reset: Vec<ConnId> = self
            .peers
            .iter()
            .filter(|(_, peer)| match peer {
                Peer::Server {
                    server,
                    node: Some(node),
                    ..
                } => self.touches(bad, *node, End::Server(*server), true),
                Peer::List { node, .. } => self.touches(bad, *node, End::List, true),
                _ => false,
            })
            .map(|(conn, _)| *conn)
            .collect();
        reset
            .into_iter()
            .for_each(|conn| self.at(self.now, Todo::Reset(conn)));
    }
}

impl Carried {
    fn conn(&self) -> ConnId {
        match self {
            Self::ToServer(job) => job.conn,
            Self::FromServer(sending) => sending.conn,
            Self::ToList(conn, _)
            | Self::FromList(conn, _)
            | Self::ToNode(conn, ..)
            | Self::ToClient(conn, ..) => *conn,
        }
    }
}

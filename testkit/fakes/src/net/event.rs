//! What the network reports: new connections, received bytes and datagrams, and the ends of connections.

use std::net::SocketAddr;

/// Identifies a listener or a datagram socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(pub usize);

/// Identifies a connection; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub usize);

/// Something that a peer has done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NetworkEvent {
    /// A peer has connected.
    Accepted {
        /// The listener that accepted the connection.
        listener: ListenerId,
        /// The new connection.
        conn: ConnId,
    },
    /// Bytes have been received on a connection.
    Received {
        /// The connection.
        conn: ConnId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A datagram has been received.
    Datagram {
        /// The socket that received it, from [`super::LoopbackNetwork::bind_datagrams`].
        socket: ListenerId,
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's payload.
        bytes: Vec<u8>,
    },
    /// The peer has closed the connection; the last event of a connection.
    Closed {
        /// The connection.
        conn: ConnId,
        /// Whether the connection was reset.
        reset: bool,
    },
}

/// Where an event is sorted among others: connections first, then datagram sockets.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SortKey {
    Connection(ConnId),
    DatagramSocket(ListenerId),
}

impl NetworkEvent {
    /// The event's place in the order that [`super::LoopbackNetwork::sort_events`] establishes.
    pub(super) fn sort_key(&self) -> SortKey {
        match self {
            Self::Accepted { conn, .. }
            | Self::Received { conn, .. }
            | Self::Closed { conn, .. } => SortKey::Connection(*conn),
            Self::Datagram { socket, .. } => SortKey::DatagramSocket(*socket),
        }
    }

    /// The connection that the event belongs to, if any.
    pub(super) fn connection_mut(&mut self) -> Option<&mut ConnId> {
        match self {
            Self::Accepted { conn, .. }
            | Self::Received { conn, .. }
            | Self::Closed { conn, .. } => Some(conn),
            Self::Datagram { .. } => None,
        }
    }
}

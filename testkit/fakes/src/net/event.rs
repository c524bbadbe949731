//! Network events: new connections, received bytes and datagrams, and closed connections.

use std::net::SocketAddr;

/// Identifies a listener or a datagram socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(pub usize);

/// Identifies a connection; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub usize);

/// An action of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NetworkEvent {
    /// A connection has been accepted.
    Accepted {
        /// The listener that accepted the connection.
        listener: ListenerId,
        /// The new connection.
        conn: ConnId,
    },
    /// Bytes have been received on a connection.
    Received {
        /// The connection that received the bytes.
        conn: ConnId,
        /// All bytes that one poll has read from the connection; never empty.
        bytes: Vec<u8>,
    },
    /// A datagram has been received.
    Datagram {
        /// The receiving socket, from [`super::LoopbackNetwork::bind_datagrams`].
        socket: ListenerId,
        /// The sender's address.
        from: SocketAddr,
        /// The datagram's payload.
        bytes: Vec<u8>,
    },
    /// The peer has closed the connection; the last event of a connection.
    Closed {
        /// The closed connection.
        conn: ConnId,
        /// Whether the peer reset the connection rather than closing it in an orderly way.
        reset: bool,
    },
}

/// The sort order of events: by connection, then by datagram socket.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SortKey {
    Connection(ConnId),
    DatagramSocket(ListenerId),
}

impl NetworkEvent {
    /// The key by which [`super::LoopbackNetwork::sort_events`] sorts.
    pub(super) fn sort_key(&self) -> SortKey {
        match self {
            Self::Accepted { conn, .. }
            | Self::Received { conn, .. }
            | Self::Closed { conn, .. } => SortKey::Connection(*conn),
            Self::Datagram { socket, .. } => SortKey::DatagramSocket(*socket),
        }
    }

    /// The id of the connection; `None` for datagrams.
    pub(super) fn connection_mut(&mut self) -> Option<&mut ConnId> {
        match self {
            Self::Accepted { conn, .. }
            | Self::Received { conn, .. }
            | Self::Closed { conn, .. } => Some(conn),
            Self::Datagram { .. } => None,
        }
    }
}

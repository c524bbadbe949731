//! Requests and responses in flight, and the impairments of links that they meet.

use badgerpost_fakes::discovery::WatchResponse;
use badgerpost_fakes::message::Message;
use badgerpost_fakes::net::ConnId;

use crate::outcome::AttemptOutcome;
use crate::scenario::LinkFault;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: usize,
    /// Its position among the attempts of the request.
    pub(super) number: usize,
}

/// A request that a server works on.
#[derive(Clone, Debug)]
pub(super) struct ServerJob {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<AttemptId>,
    pub(super) id: String,
}

/// A response of a server that is to be written.
#[derive(Clone, Debug)]
pub(super) struct ServerResponse {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<AttemptId>,
    pub(super) bytes: Vec<u8>,
    pub(super) ended: AttemptOutcome,
    /// What becomes of the connection afterwards.
    pub(super) then: ConnectionFate,
}

/// What becomes of a server's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionFate {
    Stays,
    Closes,
    Resets,
}

/// A message between a node and another process, in flight on their link.
#[derive(Clone, Debug)]
pub(super) enum InFlightMessage {
    /// A request to a server.
    ToServer(ServerJob),
    /// A server's response.
    FromServer(ServerResponse),
    /// A poll of the endpoint list.
    ToDiscovery(ConnId, Message),
    /// Discovery's response.
    FromDiscovery(ConnId, WatchResponse),
    /// A client's request, by its number, as it is written.
    ToNode(ConnId, usize, Vec<u8>),
    /// A node's answer to the request of this number.
    ToClient(ConnId, usize, Message),
}

impl InFlightMessage {
    /// The connection that carries it.
    pub(super) fn conn(&self) -> ConnId {
        match self {
            Self::ToServer(job) => job.conn,
            Self::FromServer(sending) => sending.conn,
            Self::ToDiscovery(conn, _)
            | Self::FromDiscovery(conn, _)
            | Self::ToNode(conn, ..)
            | Self::ToClient(conn, ..) => *conn,
        }
    }
}

/// A fault of links that is active.
pub(super) struct LinkImpairment {
    pub(super) fault: usize,
    /// Whether it concerns a node, by index.
    pub(super) nodes: Vec<bool>,
    pub(super) trouble: LinkFault,
}

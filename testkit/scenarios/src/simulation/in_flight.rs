//! Messages in flight between nodes and other processes, and active link faults.

use badgerpost_fakes::discovery::WatchResponse;
use badgerpost_fakes::message::Message;
use badgerpost_fakes::net::ConnId;

use crate::outcome::AttemptOutcome;
use crate::scenario::LinkFault;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptId {
    pub(super) request: usize,
    /// The index among the attempts of the request.
    pub(super) number: usize,
}

/// A request at a server.
#[derive(Clone, Debug)]
pub(super) struct ServerJob {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<AttemptId>,
    pub(super) id: String,
}

/// A server's response that is to be sent.
#[derive(Clone, Debug)]
pub(super) struct ServerResponse {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<AttemptId>,
    pub(super) bytes: Vec<u8>,
    /// The outcome of the attempt once the response is sent.
    pub(super) outcome: AttemptOutcome,
    pub(super) connection_action: ConnectionAction,
}

/// What a server does with the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionAction {
    KeepOpen,
    Close,
    Reset,
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
    /// The index and the bytes of a client's request.
    ToNode(ConnId, usize, Vec<u8>),
    /// A node's response to the request with this index.
    ToClient(ConnId, usize, Message),
}

impl InFlightMessage {
    /// The connection that carries the message.
    pub(super) fn conn(&self) -> ConnId {
        match self {
            Self::ToServer(job) => job.conn,
            Self::FromServer(response) => response.conn,
            Self::ToDiscovery(conn, _)
            | Self::FromDiscovery(conn, _)
            | Self::ToNode(conn, ..)
            | Self::ToClient(conn, ..) => *conn,
        }
    }
}

/// An active link fault.
pub(super) struct LinkImpairment {
    /// The index of the fault in the plan.
    pub(super) fault: usize,
    /// Whether the fault affects each node, by index.
    pub(super) nodes: Vec<bool>,
    pub(super) link_fault: LinkFault,
}

//! Listening sockets and connections of the simulation.

use std::collections::VecDeque;

use badgerpost_fakes::message::MessageDecoder;
use badgerpost_time::Nanos;

use super::in_flight::AttemptId;

/// A poll of the endpoint list, held until the list changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) number: u64,
    /// The revision of the list that the node already has.
    pub(super) revision: Option<u64>,
}

/// The process that a listening socket belongs to.
#[derive(Clone, Copy)]
pub(super) enum ListenerOwner {
    /// The server with this index.
    Server(usize),
    /// Discovery, as polled by the node with this index.
    Discovery(usize),
}

/// An open connection of a node, by the kind of the process at the other end.
pub(super) enum Connection {
    Server {
        server: usize,
        /// In real time absent until the first request, which identifies the node.
        node: Option<usize>,
        decoder: MessageDecoder,
        attempt: Option<AttemptId>,
    },
    Discovery {
        node: usize,
        decoder: MessageDecoder,
        watch: Option<Watch>,
    },
    Client {
        node: usize,
        decoder: MessageDecoder,
        /// Requests without a delivered response, in the order of sending.
        open: VecDeque<usize>,
        /// The number of responses to open requests that were read and have not been delivered to the client yet.
        undelivered_responses: usize,
        /// The last request whose response was delivered.
        last_answered: Option<usize>,
        /// Whether an incomplete request head was written after the last request.
        has_partial_head: bool,
    },
    /// A client that sends nothing more, since the given time.
    Silent { node: usize, since: Nanos },
}

impl Connection {
    /// The node of the connection, if it is known.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::Server { node, .. } => *node,
            Self::Discovery { node, .. }
            | Self::Client { node, .. }
            | Self::Silent { node, .. } => Some(*node),
        }
    }
}

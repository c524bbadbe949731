//! Listening sockets and connections of the simulation, and their state by kind.

use std::collections::VecDeque;

use badgerpost_fakes::message::MessageDecoder;
use badgerpost_time::Nanos;

use super::in_flight::AttemptId;

/// A poll of the endpoint list that is held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watch {
    pub(super) number: u64,
    /// The revision that the node has.
    pub(super) revision: Option<u64>,
}

/// Whose listening socket it is.
#[derive(Clone, Copy)]
pub(super) enum ListenerOwner {
    Server(usize),
    Discovery(usize),
}

/// An open connection of a node, by who holds its other end.
pub(super) enum Connection {
    Server {
        server: usize,
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
        /// Requests on it, in the order in which they were written.
        open: VecDeque<usize>,
        /// Of these, how many answers have been read that are still on their way to the client.
        read: usize,
        last: Option<usize>,
        /// An incomplete request head was written after the last one.
        has_partial_head: bool,
    },
    /// A client that sends nothing more.
    Silent { node: usize, since: Nanos },
}

impl Connection {
    /// The node at the other end, where it is known.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Self::Server { node, .. } => *node,
            Self::Discovery { node, .. }
            | Self::Client { node, .. }
            | Self::Silent { node, .. } => Some(*node),
        }
    }
}

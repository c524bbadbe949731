//! The stages of a node's life and what each of them permits.

/// A stage of a node's life, in the order of shutdown: a later stage compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// In service.
    #[default]
    Active,
    /// Draining on the operators' request: connections are accepted, and each response closes its connection.
    Draining,
    /// Drained: idle connections are closed as well. The operators may return the node to service.
    Empty,
    /// Shutting down: connections are accepted, and each response closes its connection.
    Stopping,
    /// About to exit: idle connections are closed as well, new ones are still accepted.
    Closing,
    /// Accepts no more connections; the process exits when the last one has ended.
    Closed,
}

impl Stage {
    /// The stage's name in replies to the operators' calls.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Draining => "draining",
            Self::Empty => "empty",
            Self::Stopping => "stopping",
            Self::Closing => "closing",
            Self::Closed => "closed",
        }
    }

    /// Whether new connections should be routed to this node.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self == Self::Active
    }

    /// Whether connections without a request on them are closed.
    #[must_use]
    pub fn closes_idle(self) -> bool {
        matches!(self, Self::Empty | Self::Closing | Self::Closed)
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn accepts(self) -> bool {
        self != Self::Closed
    }

    /// Whether shutdown has begun, which is final.
    #[must_use]
    pub(crate) fn is_shutting_down(self) -> bool {
        self >= Self::Stopping
    }
}

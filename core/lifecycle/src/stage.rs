//! The stages of a node's lifecycle.

/// A stage of a node's lifecycle. Stages are ordered: a later stage compares greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The node is in service.
    #[default]
    Active,
    /// The operators drain the node: new connections are accepted, and each connection closes after its next response.
    Draining,
    /// The node is drained: idle connections are closed as well. The operators may return the node to service.
    Empty,
    /// The node shuts down: new connections are accepted, and each connection closes after its next response.
    Stopping,
    /// The process is about to exit: idle connections are closed as well, and new connections are still accepted.
    Closing,
    /// No new connections are accepted; the process exits when the last open connection has closed.
    Closed,
}

impl Stage {
    /// The stage's name in the console's responses.
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

    /// Whether the readiness check tells the platform to route new connections to this node.
    #[must_use]
    pub fn is_ready(self) -> bool {
        self == Self::Active
    }

    /// Whether connections without a request in progress are closed.
    #[must_use]
    pub fn closes_idle(self) -> bool {
        matches!(self, Self::Empty | Self::Closing | Self::Closed)
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn accepts(self) -> bool {
        self != Self::Closed
    }

    /// Whether shutdown has begun.
    #[must_use]
    pub(crate) fn is_shutting_down(self) -> bool {
        self >= Self::Stopping
    }
}

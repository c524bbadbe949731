//! Positions in a scenario, one type for each list, so that a position in one list can't be taken for one in another.

use serde::{Deserialize, Serialize};

macro_rules! index_types {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub usize);

        impl $name {
            /// The position as a number, to index the list.
            pub fn get(self) -> usize {
                self.0
            }
        }
    )*};
}

index_types! {
    /// The position of a node.
    NodeIndex
    /// The position of a match server.
    ServerIndex
    /// The position of a request class.
    ClassIndex
    /// The position of a zone among all zones, sorted by name.
    ZoneIndex
    /// The position of a server or a node, whichever the kind of a fault affects; 0 for a fault of discovery.
    TargetIndex
}

impl TargetIndex {
    /// The node at this position, for a fault that affects nodes.
    pub fn node(self) -> NodeIndex {
        NodeIndex(self.0)
    }

    /// The server at this position, for a fault that affects servers.
    pub fn server(self) -> ServerIndex {
        ServerIndex(self.0)
    }
}

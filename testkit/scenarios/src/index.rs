//! Positions in the lists of a scenario. Each list has its own index type, so that indexes are not mixed up.

use serde::{Deserialize, Serialize};

macro_rules! index_types {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub usize);

        impl $name {
            /// The position as a number, from 0.
            pub fn get(self) -> usize {
                self.0
            }
        }
    )*};
}

index_types! {
    /// The position of a node in the scenario.
    NodeIndex
    /// The position of a match server in the scenario.
    ServerIndex
    /// The position of a request class in the scenario.
    ClassIndex
    /// The position of a zone among all zones sorted by name.
    ZoneIndex
    /// The position of the server or node that a fault affects, depending on the fault's kind; 0 for faults of discovery.
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

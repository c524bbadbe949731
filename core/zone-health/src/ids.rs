//! Identifiers that the caller and the monitor exchange.

use serde::{Deserialize, Serialize};

/// A zone's position in the settings, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneIndex(pub u32);

impl ZoneIndex {
    /// The zone's position in a vector with one element per zone.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// A zone's position as nodes gossip it: the low eight bits of a [`ZoneIndex`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipZone(pub u8);

impl From<ZoneIndex> for GossipZone {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the gossip format has eight bits for a zone, and fleets have far fewer zones"
    )]
    fn from(zone: ZoneIndex) -> Self {
        Self(zone.0 as u8)
    }
}

impl From<GossipZone> for ZoneIndex {
    fn from(zone: GossipZone) -> Self {
        Self(u32::from(zone.0))
    }
}

/// A backend server, by the number that the caller gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// A request class's position in the settings, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub u32);

impl ClassIndex {
    /// The class's position in a vector with one element per class.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// An attempt, by a number that no other outstanding attempt has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

/// Another node of the fleet, by its identifier in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId(pub u64);

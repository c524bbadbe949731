//! Identifiers that the caller and the monitor exchange.

use serde::{Deserialize, Serialize};

/// Index of a zone in the settings, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneIndex(pub u32);

impl ZoneIndex {
    /// Index into a vector with one element per zone.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// Index of a zone in gossip: the low eight bits of a [`ZoneIndex`].
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

/// Identifier of a backend server, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId(pub u32);

/// Index of a request class in the settings, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub u32);

impl ClassIndex {
    /// Index into a vector with one element per class.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// Identifier of an attempt, assigned by the caller and unique among the outstanding attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

/// Identifier of another node of the fleet in the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberId(pub u64);

//! The identity of a member in the SWIM protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::api::MemberId;
use badgerpost_time::Nanos;

/// One incarnation of a member. The order of the fields is their order in the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub(crate) address: SocketAddr,
    pub(crate) member: MemberId,
    /// The index of the zone in the fleet's settings.
    pub(crate) zone: u8,
    /// The time at which the member started, incremented whenever the other members considered the member down.
    pub(crate) incarnation: Nanos,
}

impl MemberIdentity {
    /// Returns a placeholder identity for a seed. The address suffices for announcing this member to the seed.
    pub(crate) fn from_seed_address(address: SocketAddr) -> Self {
        Self {
            address,
            member: MemberId::default(),
            zone: 0,
            incarnation: 0,
        }
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self {
            incarnation: self.incarnation.saturating_add(1),
            ..*self
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

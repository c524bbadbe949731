//! The identity of a member in the SWIM protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::api::MemberId;
use badgerpost_time::Nanos;

/// One incarnation of a member. The order of the fields is that of their bytes in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub(crate) address: SocketAddr,
    pub(crate) member: MemberId,
    /// Position in the fleet's settings.
    pub(crate) zone: u8,
    /// Time of the member's start, raised by one whenever the others considered it down.
    pub(crate) incarnation: Nanos,
}

impl MemberIdentity {
    /// A seed, of which only the address is known; sufficient for the request to join.
    pub(crate) fn unknown(address: SocketAddr) -> Self {
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

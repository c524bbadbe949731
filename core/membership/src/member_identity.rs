//! Who a member is, for foca.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{MemberId, Nanos};

/// A life of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberIdentity {
    pub(crate) at: SocketAddr,
    pub(crate) member: MemberId,
    pub(crate) zone: u8,
    /// Rises with each start, and when the others took it for gone.
    pub(crate) life: Nanos,
}

impl MemberIdentity {
    /// One of which only the address is known: good for asking it to let this node in.
    pub(crate) fn unknown(at: SocketAddr) -> Self {
        Self {
            at,
            member: 0,
            zone: 0,
            life: 0,
        }
    }
}

impl foca::Identity for MemberIdentity {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self {
            life: self.life.saturating_add(1),
            ..*self
        })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.life > adversary.life
    }
}

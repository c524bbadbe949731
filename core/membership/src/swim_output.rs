//! Collects what calls of foca ask for, to be turned into actions afterwards.

use std::net::SocketAddr;
use std::time::Duration;

use foca::{Notification, Runtime, Timer};

use crate::member_identity::MemberIdentity;

/// A packet without its authentication code.
pub(crate) struct Packet {
    pub(crate) to: SocketAddr,
    pub(crate) content: Vec<u8>,
}

/// A timer requested by foca.
pub(crate) struct TimerRequest {
    pub(crate) after: Duration,
    pub(crate) timer: Timer<MemberIdentity>,
}

/// A member that has joined, restarted or gone.
pub(crate) struct MemberChange {
    pub(crate) identity: MemberIdentity,
    pub(crate) is_up: bool,
}

/// Outputs of foca's calls, each kind in its order.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) packets: Vec<Packet>,
    pub(crate) timers: Vec<TimerRequest>,
    pub(crate) member_changes: Vec<MemberChange>,
    /// New identities at addresses of known members.
    pub(crate) renamed: Vec<MemberIdentity>,
}

impl Runtime<MemberIdentity> for &mut SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberIdentity>) {
        match notification {
            Notification::MemberUp(identity) => self.member_changes.push(MemberChange {
                identity: *identity,
                is_up: true,
            }),
            Notification::MemberDown(identity) => self.member_changes.push(MemberChange {
                identity: *identity,
                is_up: false,
            }),
            // A member has restarted before the others considered it down.
            Notification::Rename(_, identity) => self.renamed.push(*identity),
            _ => {}
        }
    }

    fn send_to(&mut self, to: MemberIdentity, data: &[u8]) {
        self.packets.push(Packet {
            to: to.address,
            content: data.to_vec(),
        });
    }

    fn submit_after(&mut self, timer: Timer<MemberIdentity>, after: Duration) {
        self.timers.push(TimerRequest { after, timer });
    }
}

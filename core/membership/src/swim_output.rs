//! Collects the outputs of foca, which are converted to actions afterwards.

use std::net::SocketAddr;
use std::time::Duration;

use foca::{Notification, Runtime, Timer};

use crate::member_identity::MemberIdentity;

/// A packet of foca, before the authentication code is added.
pub(crate) struct Packet {
    pub(crate) to: SocketAddr,
    pub(crate) content: Vec<u8>,
}

/// A timer that foca has requested.
pub(crate) struct TimerRequest {
    pub(crate) after: Duration,
    pub(crate) timer: Timer<MemberIdentity>,
}

/// A member that has joined, restarted, left or failed.
pub(crate) struct MemberChange {
    pub(crate) identity: MemberIdentity,
    pub(crate) is_up: bool,
}

/// The outputs of one or more calls of foca. Each kind of output is in the order of the calls.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub(crate) packets: Vec<Packet>,
    pub(crate) timers: Vec<TimerRequest>,
    pub(crate) member_changes: Vec<MemberChange>,
    /// Identities that have replaced another identity at the same address.
    pub(crate) replacements: Vec<MemberIdentity>,
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
            // The member has restarted before being considered down.
            Notification::Rename(_, identity) => self.replacements.push(*identity),
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

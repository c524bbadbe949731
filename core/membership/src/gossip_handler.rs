//! Connects foca's custom broadcasts to the gossip store.

use std::cell::RefCell;
use std::rc::Rc;

use foca::{BroadcastHandler, Invalidates};

use crate::gossip_store::{GossipItem, GossipKey, GossipStore, GossipVersion};
use crate::member_identity::MemberIdentity;

/// The stored items, and those that were received and not reported yet.
#[derive(Default)]
pub(crate) struct GossipState {
    pub(crate) store: GossipStore,
    pub(crate) unreported: Vec<GossipItem>,
    /// Items that were ignored because too many are stored.
    pub(crate) ignored_count: u64,
}

/// Foca's access to the gossip state. Foca owns its handler, so the state is shared with the membership.
pub(crate) struct GossipHandler(pub(crate) Rc<RefCell<GossipState>>);

/// Identifies a broadcast to foca, which stops to retransmit one when a later one with the same key arrives.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct BroadcastKey {
    key: GossipKey,
    version: GossipVersion,
}

impl Invalidates for BroadcastKey {
    fn invalidates(&self, other: &Self) -> bool {
        self.key == other.key && self.version >= other.version
    }
}

impl BroadcastHandler<MemberIdentity> for GossipHandler {
    type Key = BroadcastKey;
    type Error = postcard::Error;

    /// Merges an item; foca retransmits it if it is new. Items of this member itself come without a sender.
    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&MemberIdentity>,
    ) -> Result<Option<BroadcastKey>, Self::Error> {
        let item: GossipItem = postcard::from_bytes(data)?;
        let broadcast_key = BroadcastKey {
            key: item.key(),
            version: item.version,
        };
        let mut state = self.0.borrow_mut();
        if state.store.ignores(item.key()) {
            state.ignored_count += 1;
        }
        if !state.store.merge(item.clone()) {
            return Ok(None);
        }
        if sender.is_some() {
            state.unreported.push(item);
        }
        Ok(Some(broadcast_key))
    }
}

#[cfg(test)]
mod tests;

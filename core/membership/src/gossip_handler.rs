//! Connects foca's custom broadcasts to the gossip store.

use std::cell::RefCell;
use std::rc::Rc;

use foca::{BroadcastHandler, Invalidates};

use crate::gossip_store::{GossipItem, GossipKey, GossipStore, GossipVersion};
use crate::member_identity::MemberIdentity;

/// The gossip store and the items that have not been reported to the caller yet.
#[derive(Default)]
pub(crate) struct GossipState {
    pub(crate) store: GossipStore,
    /// Items received from other members, in the order of reception.
    pub(crate) unreported: Vec<GossipItem>,
    /// The number of items that were ignored because the store was full.
    pub(crate) ignored_count: u64,
}

/// Handles foca's custom broadcasts. Foca owns the handler, so the gossip state is shared with the membership.
pub(crate) struct GossipHandler(pub(crate) Rc<RefCell<GossipState>>);

/// Identifies a broadcast to foca, which stops retransmitting a broadcast when a newer one with the same key arrives.
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

    /// Merges an item and returns the broadcast key if foca has to retransmit the item. The sender is `None` for items
    /// that this member publishes.
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

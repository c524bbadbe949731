//! The latest gossip item of each member on each topic.
//!
//! A map whose values only grow by their version, so merging is a join: any order and any repetition of merges leads to
//! the same content.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use crate::api::{MAX_ITEM_BODY_BYTES, MemberId, Topic};
use badgerpost_time::Nanos;

/// Most items stored: sixteen topics of two thousand members. Items beyond that are ignored, and counted by the membership;
/// only what their members publish is then missing on this node.
pub(crate) const MAX_STORED_ITEMS: usize = 32_768;

/// Order of a member's items: by the member's start, then by the number of items since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// Time of the member's start.
    pub incarnation: Nanos,
    /// Rises with every item that the member publishes on any topic.
    pub count: u32,
}

/// What a gossip item replaces: the item with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GossipKey {
    /// The member that published the item.
    pub member: MemberId,
    /// What the item is about.
    pub topic: Topic,
}

/// What a member has published on a topic. The order of the fields is that of their bytes in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipItem {
    /// The member.
    pub member: MemberId,
    /// What the item is about.
    pub topic: Topic,
    /// Its place among all items of the member.
    pub version: GossipVersion,
    /// Time of publication, by the member's clock.
    pub sent_at: Nanos,
    /// The content.
    pub body: Vec<u8>,
}

impl GossipItem {
    /// The key of the item.
    #[must_use]
    pub fn key(&self) -> GossipKey {
        GossipKey {
            member: self.member,
            topic: self.topic,
        }
    }
}

/// Gossip items, the latest of each member and topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipStore {
    items: BTreeMap<GossipKey, GossipItem>,
}

impl GossipStore {
    /// Merges an item; returns whether it was new. Items with too long a body are ignored.
    pub fn merge(&mut self, item: GossipItem) -> bool {
        let is_full = self.is_full();
        if item.body.len() > MAX_ITEM_BODY_BYTES {
            return false;
        }
        match self.items.entry(item.key()) {
            Entry::Vacant(_) if is_full => false,
            Entry::Vacant(vacant) => {
                vacant.insert(item);
                true
            }
            Entry::Occupied(mut stored) => {
                // A faulty member may publish two items of one version; all nodes then agree on the greater one.
                let is_later = (item.version, &item) > (stored.get().version, stored.get());
                if is_later {
                    stored.insert(item);
                }
                is_later
            }
        }
    }

    /// Merges all items of another store.
    pub fn merge_all(&mut self, other: &Self) {
        for item in other.items.values() {
            self.merge(item.clone());
        }
    }

    /// The latest item with this key.
    #[must_use]
    pub fn get(&self, key: GossipKey) -> Option<&GossipItem> {
        self.items.get(&key)
    }

    fn is_full(&self) -> bool {
        self.items.len() >= MAX_STORED_ITEMS
    }

    /// Whether an item with this key is ignored because too many others are stored.
    pub(crate) fn ignores(&self, key: GossipKey) -> bool {
        self.is_full() && !self.items.contains_key(&key)
    }

    /// Removes all items of a member that is gone.
    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.items.retain(|key, _| key.member != member);
    }
}

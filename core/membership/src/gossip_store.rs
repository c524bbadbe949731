//! The latest gossip item of each member on each topic.
//!
//! An item is only ever replaced by a greater one, so merging is a join: the content does not depend on the order and
//! repetition of merges.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use crate::api::{MAX_ITEM_BODY_BYTES, MemberId, Topic};
use badgerpost_time::Nanos;

/// The maximum number of stored items, enough for 16 topics of 2048 members. Items with further keys are ignored and
/// counted.
pub(crate) const MAX_STORED_ITEMS: usize = 32_768;

/// The version of an item among all items of a member: ordered by incarnation, then by count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// The time at which the member started.
    pub incarnation: Nanos,
    /// The number of items that this incarnation has published on any topic, up to and including this item.
    pub count: u32,
}

/// The key of a gossip item. An item replaces the stored item with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GossipKey {
    /// The member that published the item.
    pub member: MemberId,
    /// The topic of the item.
    pub topic: Topic,
}

/// An item that a member has published on a topic. The order of the fields is their order in the encoding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipItem {
    /// The member that published the item.
    pub member: MemberId,
    /// The topic of the item.
    pub topic: Topic,
    /// The version of the item, which determines which of two items is kept.
    pub version: GossipVersion,
    /// The time of publication by the publishing member's clock.
    pub sent_at: Nanos,
    /// The opaque content, at most [`MAX_ITEM_BODY_BYTES`] bytes.
    pub body: Vec<u8>,
}

impl GossipItem {
    /// Returns the key of the item.
    #[must_use]
    pub fn key(&self) -> GossipKey {
        GossipKey {
            member: self.member,
            topic: self.topic,
        }
    }
}

/// The latest gossip item of each member on each topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipStore {
    items: BTreeMap<GossipKey, GossipItem>,
}

impl GossipStore {
    /// Merges an item and returns whether the item was stored. An item is ignored if the body is longer than
    /// [`MAX_ITEM_BODY_BYTES`], if the stored item is newer or equal, or if the key is new and the store is full.
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
                // A faulty member may publish two items of the same version. All nodes then keep the greater one.
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

    /// Returns the latest item with this key.
    #[must_use]
    pub fn get(&self, key: GossipKey) -> Option<&GossipItem> {
        self.items.get(&key)
    }

    fn is_full(&self) -> bool {
        self.items.len() >= MAX_STORED_ITEMS
    }

    /// Whether an item with this key is ignored because the store is full.
    pub(crate) fn ignores(&self, key: GossipKey) -> bool {
        self.is_full() && !self.items.contains_key(&key)
    }

    /// Removes all items of a member that has left or failed.
    pub(crate) fn remove_member(&mut self, member: MemberId) {
        self.items.retain(|key, _| key.member != member);
    }
}

//! Facts: what each member last said of itself on each topic. A map whose values only grow by their version, so merging
//! is a join: in any order, any number of times, the same comes out.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use crate::{MAX_ITEM_LENGTH, MemberId, Nanos};

/// Facts that are kept: sixteen topics of two thousand members. What is beyond is not taken; its members' own nodes
/// still act on it.
const MOST: usize = 32_768;

/// Which of two facts is the later one: by the member's start, then by its count since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipVersion {
    /// The member's start.
    pub incarnation: Nanos,
    /// Rises with everything that it says.
    pub count: u32,
}

/// What a member says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GossipItem {
    /// Who.
    pub member: MemberId,
    /// On which topic.
    pub topic: u16,
    /// How late among all that it says.
    pub version: GossipVersion,
    /// When, by its clock.
    pub sent_at: Nanos,
    /// What.
    pub body: Vec<u8>,
}

/// Facts, the latest of each member and topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipStore {
    known: BTreeMap<(MemberId, u16), GossipItem>,
}

impl GossipStore {
    /// Takes a fact in; whether it is news.
    pub fn merge(&mut self, fact: GossipItem) -> bool {
        let full = self.known.len() >= MOST;
        if fact.body.len() > MAX_ITEM_LENGTH {
            return false;
        }
        match self.known.entry((fact.member, fact.topic)) {
            Entry::Vacant(_) if full => false,
            Entry::Vacant(free) => {
                free.insert(fact);
                true
            }
            Entry::Occupied(mut held) => {
                // Two facts under one version would be a member's fault; the larger one counts, everywhere.
                let later = (fact.version, &fact) > (held.get().version, held.get());
                if later {
                    held.insert(fact);
                }
                later
            }
        }
    }

    /// Takes in all that others know.
    pub fn join(&mut self, other: &Self) {
        other.known.values().for_each(|fact| {
            self.merge(fact.clone());
        });
    }

    /// The latest on a topic by a member.
    pub fn get(&self, member: MemberId, topic: u16) -> Option<&GossipItem> {
        self.known.get(&(member, topic))
    }

    /// A member has been gone for long.
    pub(crate) fn forget(&mut self, member: MemberId) {
        self.known.retain(|(of, _), _| *of != member);
    }
}

//! Gossip items merge to the same content in any order and with any repetition.

use badgerpost_membership::{GossipItem, GossipKey, GossipStore, GossipVersion, MemberId, Topic};
use proptest::prelude::*;

fn item() -> impl Strategy<Value = GossipItem> {
    let version =
        (0..3u64, 0..4u32).prop_map(|(incarnation, count)| GossipVersion { incarnation, count });
    (
        0..4u64,
        0..3u16,
        version,
        0..2u64,
        prop::collection::vec(any::<u8>(), 0..3),
    )
        .prop_map(|(member, topic, version, sent_at, body)| GossipItem {
            member: MemberId(member),
            topic: Topic(topic),
            version,
            sent_at,
            body,
        })
}

fn store_of(items: &[GossipItem]) -> GossipStore {
    let mut store = GossipStore::default();
    for item in items {
        store.merge(item.clone());
    }
    store
}

fn merged(one: &GossipStore, other: &GossipStore) -> GossipStore {
    let mut both = one.clone();
    both.merge_all(other);
    both
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in prop::collection::vec(item(), 0..12), b in prop::collection::vec(item(), 0..12), c in prop::collection::vec(item(), 0..12)) {
        let (a, b, c) = (store_of(&a), store_of(&b), store_of(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // Versions only grow.
        for member in 0..4 {
            for topic in 0..3 {
                let key = GossipKey { member: MemberId(member), topic: Topic(topic) };
                if let Some(known) = a.get(key) {
                    prop_assert!(merged(&a, &b).get(key).unwrap().version >= known.version);
                }
            }
        }
    }

    #[test]
    fn order_and_repetition_of_merges_do_not_matter(all in prop::collection::vec(item(), 1..20), seed in any::<u64>()) {
        let mut shuffled = all.clone();
        let mut random = seed;
        for at in (1..shuffled.len()).rev() {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            shuffled.swap(at, (random >> 33) as usize % (at + 1));
        }
        shuffled.extend(all.iter().take(3).cloned());
        prop_assert_eq!(store_of(&shuffled), store_of(&all));
    }
}

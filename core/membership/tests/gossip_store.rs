//! Property tests: the content of a gossip store does not depend on the order and repetition of merges.

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

fn merged(left: &GossipStore, right: &GossipStore) -> GossipStore {
    let mut result = left.clone();
    result.merge_all(right);
    result
}

proptest! {
    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in prop::collection::vec(item(), 0..12), b in prop::collection::vec(item(), 0..12), c in prop::collection::vec(item(), 0..12)) {
        let (a, b, c) = (store_of(&a), store_of(&b), store_of(&c));
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // The version of a stored item does not decrease.
        for member in 0..4 {
            for topic in 0..3 {
                let key = GossipKey { member: MemberId(member), topic: Topic(topic) };
                if let Some(stored) = a.get(key) {
                    prop_assert!(merged(&a, &b).get(key).unwrap().version >= stored.version);
                }
            }
        }
    }

    #[test]
    fn the_content_is_independent_of_order_and_repetition_of_merges(items in prop::collection::vec(item(), 1..20), seed in any::<u64>()) {
        let mut shuffled = items.clone();
        let mut random_state = seed;
        for index in (1..shuffled.len()).rev() {
            random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            shuffled.swap(index, (random_state >> 33) as usize % (index + 1));
        }
        shuffled.extend(items.iter().take(3).cloned());
        prop_assert_eq!(store_of(&shuffled), store_of(&items));
    }
}

//! Facts merge to the same whatever the order, and however often.

use badgerpost_membership::{GossipItem, GossipStore, GossipVersion};
use proptest::prelude::*;

fn fact() -> impl Strategy<Value = GossipItem> {
    let version = (0..3u64, 0..4u32).prop_map(|(life, count)| GossipVersion {
        incarnation: life,
        count,
    });
    (
        0..4u64,
        0..3u16,
        version,
        0..2u64,
        prop::collection::vec(any::<u8>(), 0..3),
    )
        .prop_map(|(member, topic, version, sent, body)| GossipItem {
            member,
            topic,
            version,
            sent_at: sent,
            body,
        })
}

fn facts(of: &[GossipItem]) -> GossipStore {
    let mut facts = GossipStore::default();
    of.iter().for_each(|fact| {
        facts.merge(fact.clone());
    });
    facts
}

fn joined(one: &GossipStore, other: &GossipStore) -> GossipStore {
    let mut both = one.clone();
    both.join(other);
    both
}

proptest! {
    #[test]
    fn merging_is_a_join(a in prop::collection::vec(fact(), 0..12), b in prop::collection::vec(fact(), 0..12), c in prop::collection::vec(fact(), 0..12)) {
        let (a, b, c) = (facts(&a), facts(&b), facts(&c));
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert_eq!(joined(&a, &a), a.clone());
        // It only grows: what is known later is never older.
        for member in 0..4 {
            for topic in 0..3 {
                if let Some(known) = a.get(member, topic) {
                    prop_assert!(joined(&a, &b).get(member, topic).unwrap().version >= known.version);
                }
            }
        }
    }

    #[test]
    fn order_loss_of_old_news_and_repetition_do_not_matter(all in prop::collection::vec(fact(), 1..20), seed in any::<u64>()) {
        let mut shuffled = all.clone();
        let mut random = seed;
        for at in (1..shuffled.len()).rev() {
            random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            shuffled.swap(at, (random >> 33) as usize % (at + 1));
        }
        shuffled.extend(all.iter().take(3).cloned());
        prop_assert_eq!(facts(&shuffled), facts(&all));
    }
}

use badgerpost_balancer::{ClassSettings, DedupScope, ZoneId};

use super::*;

fn ids_of(idempotency: Idempotency, deadline: Nanos) -> ExecutedRequestIds {
    let class = ClassSettings {
        idempotency,
        deadline,
        ..ClassSettings::default()
    };
    ExecutedRequestIds::new(&Settings {
        classes: vec![class],
        ..Settings::new(ZoneId(0), 1)
    })
}

/// Guards against a time that is shorter than the window in which the settings allow repeats.
#[test]
fn an_id_is_kept_for_the_window_and_the_deadline() {
    let keyed = Idempotency::Keyed {
        scope: DedupScope::All,
        window: 20 * SECOND,
    };
    let mut ids = ids_of(keyed, 3 * SECOND);
    ids.add(1, 0);
    assert!(ids.contains(1, 23 * SECOND - 1));
    assert!(!ids.contains(1, 23 * SECOND));
    let mut unsafe_ids = ids_of(Idempotency::NonIdempotent, SECOND);
    unsafe_ids.add(1, 0);
    assert!(unsafe_ids.contains(1, MIN_RETENTION - 1));
}

#[test]
fn an_id_that_is_added_again_is_kept_from_then_on() {
    let mut ids = ids_of(Idempotency::NonIdempotent, SECOND);
    ids.add(1, 0);
    ids.add(1, 5 * SECOND);
    assert!(ids.contains(1, 14 * SECOND));
    assert!(!ids.contains(1, 15 * SECOND));
}

/// Guards against memory that grows with the number of requests.
#[test]
fn the_oldest_ids_are_dropped_beyond_the_maximum() {
    let mut ids = ids_of(Idempotency::NonIdempotent, SECOND);
    let count = MAX_IDS as u64 + 10;
    for id in 0..count {
        ids.add(id, id);
    }
    assert!(!ids.contains(9, count));
    assert!(ids.contains(10, count));
    assert_eq!(ids.kept_until.len(), MAX_IDS);
}

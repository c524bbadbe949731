use super::*;

/// One request a millisecond from 1 ms on: `z` for a request to the zone, any other character for one elsewhere.
fn sent(pattern: &str) -> Vec<SentRequest> {
    pattern
        .chars()
        .zip(1..)
        .map(|(character, at)| (at * MILLISECOND, character == 'z'))
        .collect()
}

#[test]
fn failover_is_at_the_last_request_to_the_zone_apart_from_trials() {
    assert_eq!(
        failover_at(&sent("zzz-----------------"), 0),
        Some(3 * MILLISECOND)
    );
    assert_eq!(
        failover_at(&sent("zzz-----------z------------"), 0),
        Some(3 * MILLISECOND)
    );
    assert_eq!(failover_at(&sent("--------"), 0), Some(0));
    assert_eq!(
        failover_at(&sent("z-z-z-z-z-z-z---------"), 0),
        Some(11 * MILLISECOND)
    );
    assert_eq!(failover_at(&sent("zzzz"), 0), None);
}

#[test]
fn a_node_has_returned_once_it_keeps_sending_to_the_zone() {
    assert_eq!(
        return_at(&sent("---z----------zzzzzzzz"), 1.0),
        Some(15 * MILLISECOND)
    );
    assert_eq!(return_at(&sent("--------------"), 1.0), None);
}

#[test]
fn a_quantile_is_taken_from_sorted_durations_and_is_absent_without_any() {
    let durations: Vec<Nanos> = (1..=10).collect();
    assert_eq!(
        [0.5, 0.9, 1.0].map(|fraction| quantile(&durations, fraction)),
        [Some(5), Some(9), Some(10)]
    );
    assert_eq!(quantile(&[], 0.5), None);
}

use super::*;

fn sent(pattern: &str) -> Vec<(Nanos, bool)> {
    pattern
        .chars()
        .zip(1..)
        .map(|(one, at)| (at * MILLISECOND, one == 'z'))
        .collect()
}

#[test]
fn a_node_has_left_at_its_last_send_but_for_trials() {
    assert_eq!(
        left(&sent("zzz-----------------"), 0),
        Some(3 * MILLISECOND)
    );
    assert_eq!(
        left(&sent("zzz-----------z------------"), 0),
        Some(3 * MILLISECOND)
    );
    assert_eq!(left(&sent("--------"), 0), Some(0));
    assert_eq!(
        left(&sent("z-z-z-z-z-z-z---------"), 0),
        Some(11 * MILLISECOND)
    );
    assert_eq!(left(&sent("zzzz"), 0), None);
}

#[test]
fn a_node_is_back_once_it_goes_on_sending() {
    assert_eq!(
        back(&sent("---z----------zzzzzzzz"), 1.0),
        Some(15 * MILLISECOND)
    );
    assert_eq!(back(&sent("--------------"), 1.0), None);
}

#[test]
fn shares_of_sorted_spans() {
    let spans: Vec<Nanos> = (1..=10).collect();
    assert_eq!(
        [0.5, 0.9, 1.0].map(|share| at_share(&spans, share)),
        [Some(5), Some(9), Some(10)]
    );
    assert_eq!(at_share(&[], 0.5), None);
}

use super::*;

/// Guards against responses that are sent before the client's deadline and arrive after it.
#[test]
fn network_time_is_subtracted_from_a_budget() {
    assert_eq!(budget(200, 500 * MILLISECOND), 196 * MILLISECOND);
    assert_eq!(budget(9000, 500 * MILLISECOND), 496 * MILLISECOND);
    assert_eq!(budget(3, 500 * MILLISECOND), 0);
    assert_eq!(budget(u64::MAX, u64::MAX), u64::MAX - 4 * MILLISECOND);
}

use super::*;

const MS: Nanos = 1_000_000;

/// Guards against answers that leave when the client's time is up and so come too late.
#[test]
fn the_ways_there_and_back_come_off_a_budget() {
    assert_eq!(time_left(200, 500 * MS), 196 * MS);
    assert_eq!(time_left(9000, 500 * MS), 496 * MS);
    assert_eq!(time_left(3, 500 * MS), 0);
    assert_eq!(time_left(u64::MAX, u64::MAX), u64::MAX - 4 * MS);
}

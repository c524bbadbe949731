use badgerpost_time::MILLISECOND;

use super::*;

/// Guards against answers that leave when the client's time is up and so come too late.
#[test]
fn the_ways_there_and_back_come_off_a_budget() {
    assert_eq!(time_left(200, 500 * MILLISECOND), 196 * MILLISECOND);
    assert_eq!(time_left(9000, 500 * MILLISECOND), 496 * MILLISECOND);
    assert_eq!(time_left(3, 500 * MILLISECOND), 0);
    assert_eq!(time_left(u64::MAX, u64::MAX), u64::MAX - 4 * MILLISECOND);
}

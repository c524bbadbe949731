use badgerpost_time::MILLISECOND;

use super::*;

const MS: Nanos = MILLISECOND;

#[test]
fn a_late_heartbeat_tells_of_a_pause_until_what_came_in_it_is_handled() {
    let heartbeat = Heartbeat::default();
    assert!(!heartbeat.has_just_resumed(5000 * MS, 0), "none is due");
    heartbeat.expect(100 * MS);
    assert!(!heartbeat.has_just_resumed(149 * MS, 0));
    // Something else is handled before the heartbeat.
    assert!(heartbeat.has_just_resumed(1100 * MS, 0));
    heartbeat.beat(1100 * MS);
    heartbeat.expect(1200 * MS);
    assert!(heartbeat.has_just_resumed(1119 * MS, 1099 * MS));
    assert!(
        !heartbeat.has_just_resumed(1119 * MS, 1101 * MS),
        "begun after the pause"
    );
    assert!(
        !heartbeat.has_just_resumed(1120 * MS, 0),
        "arrived after the pause"
    );
}

#[test]
fn a_heartbeat_that_is_a_little_late_tells_of_no_pause() {
    let heartbeat = Heartbeat::default();
    for due_at in [100 * MS, 250 * MS] {
        heartbeat.expect(due_at);
        heartbeat.beat(due_at + 49 * MS);
        assert!(!heartbeat.has_just_resumed(due_at + 49 * MS, 0));
    }
}

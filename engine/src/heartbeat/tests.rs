use badgerpost_time::MILLISECOND;

use super::*;

const MS: Nanos = MILLISECOND;

#[test]
fn late_heartbeat_indicates_a_pause_until_the_catch_up_time_has_passed() {
    let heartbeat = Heartbeat::default();
    assert!(!heartbeat.has_just_resumed(5000 * MS, 0), "none is due");
    heartbeat.schedule(100 * MS);
    assert!(!heartbeat.has_just_resumed(149 * MS, 0));
    // Another task runs before the heartbeat.
    assert!(heartbeat.has_just_resumed(1100 * MS, 0));
    heartbeat.record(1100 * MS);
    heartbeat.schedule(1200 * MS);
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
fn slightly_late_heartbeat_does_not_indicate_a_pause() {
    let heartbeat = Heartbeat::default();
    for due_at in [100 * MS, 250 * MS] {
        heartbeat.schedule(due_at);
        heartbeat.record(due_at + 49 * MS);
        assert!(!heartbeat.has_just_resumed(due_at + 49 * MS, 0));
    }
}

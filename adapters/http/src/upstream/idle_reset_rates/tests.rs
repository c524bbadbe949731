use super::*;

#[test]
fn connections_are_not_reused_after_an_idle_time_with_many_resets() {
    let rates = IdleResetRates::default();
    let resets = |count, idle_time| {
        for _ in 0..count {
            rates.record(idle_time, true);
        }
    };
    resets(2, 100 * MILLISECOND);
    assert!(rates.allows_reuse(100 * MILLISECOND));
    resets(1, 100 * MILLISECOND);
    assert!(!rates.allows_reuse(100 * MILLISECOND));
    assert!(!rates.allows_reuse(64 * MILLISECOND), "the same range");
    assert!(!rates.allows_reuse(128 * MILLISECOND - 1), "the same range");
    assert!(rates.allows_reuse(63 * MILLISECOND));
    assert!(rates.allows_reuse(128 * MILLISECOND));
}

#[test]
fn idle_times_beyond_the_ranges_fall_into_the_first_or_the_last_range() {
    let rates = IdleResetRates::default();
    for _ in 0..3 {
        rates.record(0, true);
        rates.record(Nanos::MAX, true);
    }
    assert!(!rates.allows_reuse(16 * MILLISECOND - 1));
    assert!(rates.allows_reuse(16 * MILLISECOND));
    assert!(rates.allows_reuse(16 * 1023 * MILLISECOND));
    assert!(!rates.allows_reuse(16 * 1024 * MILLISECOND));
}

#[test]
fn reuse_is_allowed_again_after_a_served_request_or_decay() {
    let rates = IdleResetRates::default();
    for idle_time in [100 * MILLISECOND, 1000 * MILLISECOND] {
        for _ in 0..3 {
            rates.record(idle_time, true);
        }
    }
    rates.record(100 * MILLISECOND, false);
    assert!(rates.allows_reuse(100 * MILLISECOND));
    assert!(!rates.allows_reuse(1000 * MILLISECOND));
    for _ in 0..4 {
        rates.decay();
    }
    assert!(rates.allows_reuse(1000 * MILLISECOND));
}

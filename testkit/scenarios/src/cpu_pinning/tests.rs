use super::*;

#[test]
fn a_thread_is_pinned_to_one_processor_until_the_guard_is_dropped() {
    let before = sched_getaffinity(None).unwrap();
    let pinning = CpuPinning::acquire();
    assert_eq!(sched_getaffinity(None).unwrap().count(), 1);
    drop(pinning);
    assert_eq!(sched_getaffinity(None).unwrap(), before);
}

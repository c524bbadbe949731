use super::*;

#[test]
fn a_thread_is_on_one_processor_for_a_while() {
    let before = sched_getaffinity(None).unwrap();
    let one = OneCore::take();
    assert_eq!(sched_getaffinity(None).unwrap().count(), 1);
    drop(one);
    assert_eq!(sched_getaffinity(None).unwrap(), before);
}

use super::*;

/// Guards against a response that begins too late to be forwarded before its deadline.
#[test]
fn a_response_is_forwarded_before_its_deadline() {
    let times = ForwardingTimes::new(1000, 2000);
    assert_eq!((times.with_first_bytes, times.with_head), (1250, 1750));
    let late = ForwardingTimes::new(2000, 1000);
    assert_eq!(late.with_first_bytes, 2000);
    assert!(late.with_head <= 1000);
}

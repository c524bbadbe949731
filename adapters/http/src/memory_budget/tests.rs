use super::*;

#[test]
fn chunks_are_collected_in_order() {
    let mut collector = BytesCollector::default();
    for (chunk, length) in [("", 0), ("ab", 2), ("", 2), ("c", 3), ("de", 5)] {
        collector.add(Bytes::from_static(chunk.as_bytes()));
        assert_eq!(collector.len(), length);
    }
    assert_eq!(collector.into_bytes(), Bytes::from_static(b"abcde"));
    assert!(BytesCollector::default().into_bytes().is_empty());
}

#[test]
fn a_dropped_reservation_returns_to_the_budget() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).expect("60 of 100 bytes fit");
    assert!(
        budget.reserve(41).is_none(),
        "a reservation is never partial"
    );
    first.shrink(10);
    first.shrink(70);
    let second = budget.reserve(90).expect("90 of 90 bytes fit");
    drop(first);
    assert!(budget.reserve(11).is_none());
    drop(second);
    assert!(budget.reserve(100).is_some());
}

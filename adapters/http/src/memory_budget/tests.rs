use super::*;

#[test]
fn chunks_are_collected_in_order() {
    let mut collector = BytesCollector::new(5);
    for (chunk, length) in [("", 0), ("ab", 2), ("", 2), ("c", 3), ("de", 5)] {
        collector.add(Bytes::from_static(chunk.as_bytes()));
        assert_eq!(collector.len(), length);
    }
    assert_eq!(collector.into_bytes(), Bytes::from_static(b"abcde"));
    assert!(BytesCollector::new(5).into_bytes().is_empty());
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

/// Guards against buffers of twice the reserved size, which a buffer that grows by doubling takes.
#[test]
fn collected_chunks_take_no_more_memory_than_expected() {
    let mut collector = BytesCollector::new(70_000);
    for _ in 0..10 {
        collector.add(Bytes::from(vec![0; 7000]));
    }
    assert_eq!(collector.len(), 70_000);
    assert_eq!(collector.joined.capacity(), 70_000);
}

/// Guards against returning the memory of a response while hyper still holds some of its bytes.
#[test]
fn bytes_stay_reserved_until_their_last_part_is_dropped() {
    let budget = MemoryBudget::new(10);
    let reservation = budget.reserve(10);
    let mut bytes =
        BufferedBytes::new(Bytes::from_static(b"0123456789"), reservation).into_reserved_bytes();
    let last = bytes.split_off(9);
    drop(bytes);
    assert!(budget.reserve(1).is_none());
    drop(last);
    assert!(budget.reserve(10).is_some());
}

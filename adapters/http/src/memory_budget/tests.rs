use super::*;

#[test]
fn pieces_are_gathered_in_order() {
    let mut gathered = BytesCollector::default();
    for (piece, length) in [("", 0), ("ab", 2), ("", 2), ("c", 3), ("de", 5)] {
        gathered.add(Bytes::from_static(piece.as_bytes()));
        assert_eq!(gathered.count(), length);
    }
    assert_eq!(gathered.into_bytes(), Bytes::from_static(b"abcde"));
    assert!(BytesCollector::default().into_bytes().is_empty());
}

#[test]
fn what_is_taken_comes_back() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.take(60).expect("there is room");
    assert!(
        budget.take(41).is_none(),
        "a part of it is not taken either"
    );
    first.shrink(10);
    first.shrink(70);
    let second = budget.take(90).expect("room again");
    drop(first);
    assert!(budget.take(11).is_none());
    drop(second);
    assert!(budget.take(100).is_some());
}

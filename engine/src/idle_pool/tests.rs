use std::cell::Cell;
use std::rc::Rc;

use super::*;

struct FakeConnection {
    name: &'static str,
    is_idle: Rc<Cell<bool>>,
}

impl IdleCheck for FakeConnection {
    fn is_idle(&mut self) -> bool {
        self.is_idle.get()
    }
}

fn connection(name: &'static str, is_idle: &Rc<Cell<bool>>) -> FakeConnection {
    FakeConnection {
        name,
        is_idle: is_idle.clone(),
    }
}

fn name_and_idle_time(
    taken: Option<TakenConnection<FakeConnection>>,
) -> Option<(&'static str, Nanos)> {
    taken.map(|taken| (taken.connection.name, taken.idle_time))
}

#[test]
fn take_returns_the_most_recently_used_connection_that_is_idle_long_enough_and_has_no_unread_bytes()
{
    let pool = IdlePool::<u8, FakeConnection>::default();
    let (first, last) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(true)));
    pool.put(1, connection("first", &first), 0);
    pool.put(1, connection("last", &last), 10);
    // "last" has not been idle long enough.
    assert_eq!(
        name_and_idle_time(pool.take(&1, 12, 5)),
        Some(("first", 12))
    );
    pool.put(1, connection("first", &first), 12);
    assert_eq!(name_and_idle_time(pool.take(&2, 20, 0)), None);
    // "last" has received unexpected bytes, so the next `take` that reaches it drops it.
    last.set(false);
    assert_eq!(name_and_idle_time(pool.take(&1, 20, 8)), Some(("first", 8)));
    assert_eq!(name_and_idle_time(pool.take(&1, 20, 8)), None);
    assert!(!pool.drop_oldest(|_| true), "the pool is empty");
}

#[test]
fn drop_oldest_drops_the_longest_idle_connection_to_matching_destinations() {
    let pool = IdlePool::<u8, FakeConnection>::default();
    let is_idle = Rc::new(Cell::new(true));
    for (destination, name, since) in [(1, "a", 3), (2, "b", 1), (2, "c", 2)] {
        pool.put(destination, connection(name, &is_idle), since);
    }
    assert_eq!(
        (
            pool.count(|destination| *destination == 2),
            pool.count(|_| true)
        ),
        (2, 3)
    );
    assert!(pool.drop_oldest(|destination| *destination == 1));
    assert!(pool.drop_oldest(|_| true));
    assert_eq!(
        pool.take(&2, 9, 0).map(|taken| taken.connection.name),
        Some("c")
    );
}

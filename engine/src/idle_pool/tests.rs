use std::cell::Cell;
use std::rc::Rc;

use super::*;

struct Link(&'static str, Rc<Cell<bool>>);

impl IdleCheck for Link {
    fn is_idle(&mut self) -> bool {
        self.1.get()
    }
}

#[test]
fn the_one_used_last_is_taken_once_it_has_rested_and_while_it_is_quiet() {
    let pool = IdlePool::<u8, Link>::default();
    let (first, last) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(true)));
    pool.put(1, Link("first", first.clone()), 0);
    pool.put(1, Link("last", last.clone()), 10);
    let name = |taken: Option<(Link, Nanos)>| taken.map(|(link, rest)| (link.0, rest));
    // The last one has not rested yet.
    assert_eq!(name(pool.take(&1, 12, 5)), Some(("first", 12)));
    pool.put(1, Link("first", first), 12);
    assert_eq!(name(pool.take(&2, 20, 0)), None);
    // Something has come on the last one meanwhile: it goes when its turn comes.
    last.set(false);
    assert_eq!(name(pool.take(&1, 20, 8)), Some(("first", 8)));
    assert_eq!(name(pool.take(&1, 20, 8)), None);
    assert!(!pool.drop_oldest(|_| true), "nothing is left");
}

#[test]
fn room_is_made_by_the_oldest_at_the_places_picked() {
    let pool = IdlePool::<u8, Link>::default();
    let quiet = Rc::new(Cell::new(true));
    for (place, name, since) in [(1, "a", 3), (2, "b", 1), (2, "c", 2)] {
        pool.put(place, Link(name, quiet.clone()), since);
    }
    assert_eq!(
        (pool.count(|place| *place == 2), pool.count(|_| true)),
        (2, 3)
    );
    assert!(pool.drop_oldest(|place| *place == 1));
    assert!(pool.drop_oldest(|_| true));
    assert_eq!(pool.take(&2, 9, 0).map(|(link, _)| link.0), Some("c"));
}

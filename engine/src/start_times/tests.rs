use super::*;

const SLOW_START: i64 = 20 * SECOND;
/// The true Unix time of the first list.
const FIRST_LIST_AT: i64 = 1_700_000_000 * SECOND;

/// A node that receives endpoint lists. The engine's clock is set from the node's wall clock.
struct TestNode {
    starts: StartTimes,
    /// How far the wall clock was ahead of the true time when the engine's clock was set.
    clock_error: i64,
    is_first: bool,
}

impl TestNode {
    fn with_clock_ahead_by(clock_error: i64) -> Self {
        Self {
            starts: StartTimes::new(SLOW_START as u64),
            clock_error,
            is_first: true,
        }
    }

    /// Receives a list `after` nanoseconds after the first one, with the wall clock stepped by `step` since. Each
    /// listed backend has a name and a start relative to `FIRST_LIST_AT`. Returns the backends' ages in seconds.
    fn ages(&mut self, after: i64, step: i64, listed: &[(&str, i64)]) -> Vec<Option<i64>> {
        let now = FIRST_LIST_AT + self.clock_error + after;
        let at = ListTime {
            now: now as u64,
            wall_clock_lead: step,
            is_first: self.is_first,
        };
        self.is_first = false;
        let milliseconds = |start: i64| ((FIRST_LIST_AT + start) / 1_000_000) as u64;
        let entries = listed
            .iter()
            .map(|(name, start)| (*name, milliseconds(*start)));
        self.starts.list_received(at, entries);
        let ages = listed.iter().map(|(name, start)| {
            let started_at = self.starts.started_at(name, milliseconds(*start), at)?;
            Some((now - started_at as i64) / SECOND)
        });
        ages.collect()
    }
}

#[test]
fn start_listed_as_zero_has_no_start_time() {
    let mut starts = StartTimes::new(SLOW_START as u64);
    let at = ListTime {
        now: FIRST_LIST_AT as u64,
        wall_clock_lead: 0,
        is_first: true,
    };
    starts.list_received(at, [("a", 0)].into_iter());
    assert_eq!(starts.started_at("a", 0, at), None);
}

#[test]
fn first_list_uses_a_correct_wall_clock() {
    let mut node = TestNode::with_clock_ahead_by(0);
    let listed = [("a", -5 * SECOND), ("b", -600 * SECOND), ("c", -2 * HOUR)];
    assert_eq!(node.ages(0, 0, &listed), [Some(5), Some(600), Some(7200)]);
}

#[test]
fn new_start_in_a_later_list_is_recent_with_any_wall_clock_error() {
    for clock_error in [0, HOUR, -HOUR, 30 * SECOND, -30 * SECOND, 100 * HOUR] {
        let mut node = TestNode::with_clock_ahead_by(clock_error);
        node.ages(0, 0, &[("old", -2 * HOUR)]);
        assert_eq!(node.ages(9 * SECOND, 0, &[("new", 8 * SECOND)]), [Some(0)]);
        // Later ages are computed from the latest start.
        assert_eq!(
            node.ages(20 * SECOND, 0, &[("next", 12 * SECOND)]),
            [Some(7)],
            "ahead by {clock_error}"
        );
    }
}

#[test]
fn wall_clock_step_after_the_first_list_keeps_old_and_new_starts_apart() {
    for step in [HOUR, -HOUR, 5 * SECOND, -5 * SECOND] {
        let mut node = TestNode::with_clock_ahead_by(0);
        node.ages(0, 0, &[("old", -2 * HOUR)]);
        let listed = [("old", -2 * HOUR), ("new", 9 * SECOND)];
        let [old, new] = node.ages(10 * SECOND, step, &listed)[..] else {
            panic!("two ages");
        };
        assert!(old > Some(3600), "{step}: {old:?}");
        assert_eq!(new, Some(0), "{step}");
        assert_eq!(node.ages(15 * SECOND, 0, &listed)[1], Some(5), "{step}");
    }
}

/// The clocks of all machines step back by an hour, so a new start is listed with an earlier time than a known one.
#[test]
fn start_after_all_clocks_stepped_back_is_recent() {
    let mut node = TestNode::with_clock_ahead_by(0);
    node.ages(0, 0, &[("old", -2 * HOUR)]);
    node.ages(5 * SECOND, 0, &[("one", 4 * SECOND)]);
    let stepped = [("two", 9 * SECOND - HOUR)];
    assert_eq!(node.ages(10 * SECOND, -HOUR, &stepped), [Some(1)]);
}

#[test]
fn old_backends_stay_out_of_slow_start_if_the_first_list_is_read_with_a_wrong_clock() {
    for clock_error in [HOUR, -HOUR] {
        let mut node = TestNode::with_clock_ahead_by(clock_error);
        let listed = [("a", -600 * SECOND), ("b", -590 * SECOND)];
        let ages = node.ages(0, 0, &listed);
        assert!(
            ages.iter().all(|age| *age >= Some(590)),
            "{clock_error}: {ages:?}"
        );
    }
    // With a clock that is seconds behind, the latest start counts as just now, and the other ages are relative to it.
    let mut node = TestNode::with_clock_ahead_by(-30 * SECOND);
    let listed = [("a", -600 * SECOND), ("b", -10 * SECOND)];
    assert_eq!(node.ages(0, 0, &listed), [Some(590), Some(0)]);
}

#[test]
fn recent_start_in_the_first_list_is_recent_with_a_clock_that_is_an_hour_off() {
    for clock_error in [HOUR, -HOUR] {
        let mut node = TestNode::with_clock_ahead_by(clock_error);
        assert_eq!(
            node.ages(0, 0, &[("a", -3 * SECOND), ("b", -2 * HOUR)])[0],
            Some(3)
        );
    }
    // With a correct clock, the later start of b shows that a did start over an hour ago.
    let mut node = TestNode::with_clock_ahead_by(0);
    let listed = [("a", -HOUR - 5 * SECOND), ("b", -600 * SECOND)];
    assert_eq!(node.ages(0, 0, &listed), [Some(3605), Some(600)]);
}

#[test]
fn backward_step_makes_first_list_starts_younger_unless_a_start_lies_in_the_future() {
    let mut node = TestNode::with_clock_ahead_by(15 * SECOND);
    let listed = [("a", -2 * SECOND), ("b", -600 * SECOND)];
    assert_eq!(node.ages(0, 0, &listed), [Some(17), Some(615)]);
    assert_eq!(
        node.ages(SECOND, -15 * SECOND, &listed),
        [Some(3), Some(601)]
    );
    let mut node = TestNode::with_clock_ahead_by(0);
    assert_eq!(node.ages(0, 0, &listed), [Some(2), Some(600)]);
    assert_eq!(
        node.ages(SECOND, -15 * SECOND, &listed),
        [Some(3), Some(601)]
    );
}

#[test]
fn backend_that_returns_to_the_list_keeps_its_start_time() {
    let mut node = TestNode::with_clock_ahead_by(HOUR);
    node.ages(0, 0, &[("old", -2 * HOUR)]);
    assert_eq!(node.ages(5 * SECOND, 0, &[("a", 5 * SECOND)]), [Some(0)]);
    node.ages(10 * SECOND, 0, &[("old", -2 * HOUR)]);
    assert_eq!(node.ages(30 * SECOND, 0, &[("a", 5 * SECOND)]), [Some(25)]);
    // A different listed start means that the backend has restarted.
    assert_eq!(node.ages(40 * SECOND, 0, &[("a", 38 * SECOND)]), [Some(2)]);
}

#[test]
fn number_of_starts_of_unlisted_backends_is_bounded() {
    let mut starts = StartTimes::new(SLOW_START as u64);
    for number in 0..10_000 {
        let at = ListTime {
            now: FIRST_LIST_AT as u64,
            wall_clock_lead: 0,
            is_first: false,
        };
        let name = format!("s-{number}");
        starts.started_at(&name, 1, at);
        starts.prune(|listed| listed == name);
    }
    assert!(starts.starts.len() <= MAX_UNLISTED_STARTS + 2);
}

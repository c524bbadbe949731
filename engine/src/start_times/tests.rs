use super::*;

const SLOW_START: i64 = 20 * SECOND;
/// The true Unix time of the first list.
const BEGIN: i64 = 1_700_000_000 * SECOND;

/// Lists as a node with this wall clock sees them; the engine's clock begins at the wall clock's time.
struct Lists {
    starts: StartTimes,
    /// By how much the wall clock was ahead of the true time as the engine's clock was set.
    clock_error: i64,
    is_first: bool,
}

impl Lists {
    fn with_clock_ahead_by(clock_error: i64) -> Self {
        Self {
            starts: StartTimes::new(SLOW_START as u64),
            clock_error,
            is_first: true,
        }
    }

    /// A list at this time after the first one, by a wall clock that has stepped by so much since; returns the ages of
    /// its backends, each given by its start relative to the first list's true time.
    fn ages(&mut self, after: i64, step: i64, listed: &[(&str, i64)]) -> Vec<Option<i64>> {
        let now = BEGIN + self.clock_error + after;
        let at = ListTime {
            now: now as u64,
            wall_clock_lead: step,
            is_first: self.is_first,
        };
        self.is_first = false;
        let milliseconds = |start: i64| ((BEGIN + start) / 1_000_000) as u64;
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
fn a_start_of_long_ago_is_none() {
    let mut starts = StartTimes::new(SLOW_START as u64);
    let at = ListTime {
        now: BEGIN as u64,
        wall_clock_lead: 0,
        is_first: true,
    };
    starts.list_received(at, [("a", 0)].into_iter());
    assert_eq!(starts.started_at("a", 0, at), None);
}

#[test]
fn the_first_list_goes_by_a_wall_clock_that_is_right() {
    let mut lists = Lists::with_clock_ahead_by(0);
    let listed = [("a", -5 * SECOND), ("b", -600 * SECOND), ("c", -2 * HOUR)];
    assert_eq!(lists.ages(0, 0, &listed), [Some(5), Some(600), Some(7200)]);
}

#[test]
fn a_start_in_a_change_is_recent_by_any_wall_clock() {
    for clock_error in [0, HOUR, -HOUR, 30 * SECOND, -30 * SECOND, 100 * HOUR] {
        let mut lists = Lists::with_clock_ahead_by(clock_error);
        lists.ages(0, 0, &[("old", -2 * HOUR)]);
        assert_eq!(lists.ages(9 * SECOND, 0, &[("new", 8 * SECOND)]), [Some(0)]);
        // The latest start tells the time from then on.
        assert_eq!(
            lists.ages(20 * SECOND, 0, &[("next", 12 * SECOND)]),
            [Some(7)],
            "ahead by {clock_error}"
        );
    }
}

#[test]
fn a_step_while_the_node_runs_changes_no_age() {
    for step in [HOUR, -HOUR, 5 * SECOND, -5 * SECOND] {
        let mut lists = Lists::with_clock_ahead_by(0);
        lists.ages(0, 0, &[("old", -2 * HOUR)]);
        let listed = [("old", -2 * HOUR), ("new", 9 * SECOND)];
        let [old, new] = lists.ages(10 * SECOND, step, &listed)[..] else {
            panic!("two ages");
        };
        assert!(old > Some(3600), "{step}: {old:?}");
        assert_eq!(new, Some(0), "{step}");
        assert_eq!(lists.ages(15 * SECOND, 0, &listed)[1], Some(5), "{step}");
    }
}

/// All machines' clocks step together: the start lies an hour before an earlier one.
#[test]
fn a_start_after_all_clocks_have_stepped_back_is_recent() {
    let mut lists = Lists::with_clock_ahead_by(0);
    lists.ages(0, 0, &[("old", -2 * HOUR)]);
    lists.ages(5 * SECOND, 0, &[("one", 4 * SECOND)]);
    let stepped = [("two", 9 * SECOND - HOUR)];
    assert_eq!(lists.ages(10 * SECOND, -HOUR, &stepped), [Some(1)]);
}

#[test]
fn backends_that_have_long_been_up_stay_warm_where_the_first_list_is_read_by_a_wrong_clock() {
    for clock_error in [HOUR, -HOUR] {
        let mut lists = Lists::with_clock_ahead_by(clock_error);
        let listed = [("a", -600 * SECOND), ("b", -590 * SECOND)];
        let ages = lists.ages(0, 0, &listed);
        assert!(
            ages.iter().all(|age| *age >= Some(590)),
            "{clock_error}: {ages:?}"
        );
    }
    // Behind by seconds: the latest start may be a moment ago, the others are older by as much as they are listed.
    let mut lists = Lists::with_clock_ahead_by(-30 * SECOND);
    let listed = [("a", -600 * SECOND), ("b", -10 * SECOND)];
    assert_eq!(lists.ages(0, 0, &listed), [Some(590), Some(0)]);
}

#[test]
fn a_recent_start_in_the_first_list_is_recent_by_a_clock_that_is_an_hour_off() {
    for clock_error in [HOUR, -HOUR] {
        let mut lists = Lists::with_clock_ahead_by(clock_error);
        assert_eq!(
            lists.ages(0, 0, &[("a", -3 * SECOND), ("b", -2 * HOUR)])[0],
            Some(3)
        );
    }
    // By a clock that is right something newer shows that an hour ago is an hour ago.
    let mut lists = Lists::with_clock_ahead_by(0);
    let listed = [("a", -HOUR - 5 * SECOND), ("b", -600 * SECOND)];
    assert_eq!(lists.ages(0, 0, &listed), [Some(3605), Some(600)]);
}

#[test]
fn a_clock_that_is_right_again_makes_starts_of_the_first_list_younger_unless_a_start_proves_it_wrong()
 {
    let mut lists = Lists::with_clock_ahead_by(15 * SECOND);
    let listed = [("a", -2 * SECOND), ("b", -600 * SECOND)];
    assert_eq!(lists.ages(0, 0, &listed), [Some(17), Some(615)]);
    assert_eq!(
        lists.ages(SECOND, -15 * SECOND, &listed),
        [Some(3), Some(601)]
    );
    let mut lists = Lists::with_clock_ahead_by(0);
    assert_eq!(lists.ages(0, 0, &listed), [Some(2), Some(600)]);
    assert_eq!(
        lists.ages(SECOND, -15 * SECOND, &listed),
        [Some(3), Some(601)]
    );
}

#[test]
fn a_backend_that_comes_back_has_the_start_that_it_had() {
    let mut lists = Lists::with_clock_ahead_by(HOUR);
    lists.ages(0, 0, &[("old", -2 * HOUR)]);
    assert_eq!(lists.ages(5 * SECOND, 0, &[("a", 5 * SECOND)]), [Some(0)]);
    lists.ages(10 * SECOND, 0, &[("old", -2 * HOUR)]);
    assert_eq!(lists.ages(30 * SECOND, 0, &[("a", 5 * SECOND)]), [Some(25)]);
    // With another start it has started anew.
    assert_eq!(lists.ages(40 * SECOND, 0, &[("a", 38 * SECOND)]), [Some(2)]);
}

#[test]
fn starts_of_backends_that_left_are_bounded() {
    let mut starts = StartTimes::new(SLOW_START as u64);
    for number in 0..10_000 {
        let at = ListTime {
            now: BEGIN as u64,
            wall_clock_lead: 0,
            is_first: false,
        };
        let name = format!("s-{number}");
        starts.started_at(&name, 1, at);
        starts.prune(|listed| listed == name);
    }
    assert!(starts.starts.len() <= MAX_UNLISTED + 2);
}

use proptest::prelude::*;

use super::*;

fn due(step: Transition) -> Event {
    Event::TimerFired(step.timer.expect("a wake-up").1)
}

#[test]
fn a_drain_empties_the_node_and_ends_when_called_back() {
    let mut life = Lifecycle::new();
    let first = life.handle(Event::Standby);
    assert_eq!((first.stage, first.granted), (Stage::Draining, true));
    assert!(!first.stage.is_ready() && first.stage.accepts() && !first.stage.closes_idle());
    assert_eq!(
        life.handle(Event::Standby),
        Transition {
            timer: None,
            ..first
        },
        "again: the same, and no second wait"
    );
    assert!(life.handle(due(first)).stage.closes_idle());
    assert!(life.accepts(), "what still comes is served");
    assert_eq!(life.handle(Event::Active).stage, Stage::Active);
    assert!(life.handle(Event::Active).granted);
}

/// Guards against a drain that goes on after its end: the first one's wake-up would close idle connections early.
#[test]
fn a_wake_up_of_a_stage_that_was_left_changes_nothing() {
    let mut life = Lifecycle::new();
    let first = life.handle(Event::Standby);
    life.handle(Event::Active);
    assert_eq!(life.handle(due(first)).stage, Stage::Active);
    let second = life.handle(Event::Standby);
    assert_eq!(life.handle(due(first)).stage, Stage::Draining);
    assert_eq!(life.handle(due(second)).stage, Stage::Empty);
}

#[test]
fn a_stop_goes_on_whatever_is_called_meanwhile() {
    for before in [
        &[][..],
        &[Event::Standby],
        &[Event::Standby, Event::TimerFired(1)],
    ] {
        let mut life = Lifecycle::new();
        for event in before {
            life.handle(*event);
        }
        let stop = life.handle(Event::Stop);
        assert_eq!(stop.stage, Stage::Stopping);
        assert!(life.handle(Event::Standby).granted, "it empties itself");
        assert!(!life.handle(Event::Active).granted, "too late");
        assert_eq!(life.handle(Event::Stop).timer, None);
        let closing = life.handle(due(stop));
        assert_eq!(closing.stage, Stage::Closing);
        assert_eq!(life.handle(due(closing)).stage, Stage::Closed);
        assert!(!life.handle(Event::Active).granted);
    }
}

#[test]
fn new_connections_are_left_to_a_successor_as_long_as_there_is_one() {
    let mut life = Lifecycle::new();
    life.handle(Event::Shared(true));
    assert!(life.accepts(), "both take them");
    life.handle(Event::Stop);
    assert!(!life.accepts());
    life.handle(Event::Shared(false));
    assert!(life.accepts(), "it has died: nobody else takes what comes");
}

proptest! {
    /// Whatever is told in whatever order: the way out has no way back, a node in service waits for nothing, and
    /// each stage that is passed through asks for the wake-up by which it ends.
    #[test]
    fn any_order_of_events_keeps_to_the_way_out(events in prop::collection::vec((0u8..5, 0u64..8), 0..40)) {
        let mut life = Lifecycle::new();
        for (kind, token) in events {
            let before = life.stage();
            let event = match kind {
                0 => Event::Standby,
                1 => Event::Active,
                2 => Event::Stop,
                3 => Event::Shared(token % 2 == 0),
                _ => Event::TimerFired(token),
            };
            let step = life.handle(event);
            prop_assert_eq!(step.stage, life.stage());
            if before >= Stage::Stopping {
                prop_assert!(step.stage >= before);
            }
            let passes = matches!(step.stage, Stage::Draining | Stage::Stopping | Stage::Closing);
            prop_assert_eq!(step.timer.is_some(), step.stage != before && passes);
            prop_assert_eq!(step.stage.is_ready(), step.stage == Stage::Active);
        }
    }
}

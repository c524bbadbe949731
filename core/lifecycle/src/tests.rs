use proptest::prelude::*;

use super::*;

/// The event by which the requested timer fires.
fn timer_fired(transition: Transition) -> Event {
    Event::TimerFired(transition.timer.expect("a timer").token)
}

#[test]
fn a_stage_has_its_name_in_operators_replies() {
    for (stage, name) in [
        (Stage::Active, "active"),
        (Stage::Draining, "draining"),
        (Stage::Empty, "empty"),
        (Stage::Stopping, "stopping"),
        (Stage::Closing, "closing"),
        (Stage::Closed, "closed"),
    ] {
        assert_eq!(stage.as_str(), name);
        assert_eq!(stage.as_str(), format!("{stage:?}").to_lowercase());
    }
}

#[test]
fn standby_drains_the_node_and_active_returns_it_to_service() {
    let mut lifecycle = Lifecycle::new();
    let first = lifecycle.handle(Event::Standby);
    assert_eq!((first.stage, first.granted), (Stage::Draining, true));
    assert!(!first.stage.is_ready() && first.stage.accepts() && !first.stage.closes_idle());
    assert_eq!(
        lifecycle.handle(Event::Standby),
        Transition {
            timer: None,
            ..first
        },
        "again: the same, and no second timer"
    );
    assert!(lifecycle.handle(timer_fired(first)).stage.closes_idle());
    assert!(
        lifecycle.accepts(),
        "connections that still arrive are served"
    );
    assert_eq!(lifecycle.handle(Event::Active).stage, Stage::Active);
    assert!(lifecycle.handle(Event::Active).granted);
}

/// Guards against a drain that continues after its end: its timer would close idle connections of the next one early.
#[test]
fn a_timer_of_an_earlier_stage_is_ignored() {
    let mut lifecycle = Lifecycle::new();
    let first = lifecycle.handle(Event::Standby);
    lifecycle.handle(Event::Active);
    assert_eq!(lifecycle.handle(timer_fired(first)).stage, Stage::Active);
    let second = lifecycle.handle(Event::Standby);
    assert_eq!(lifecycle.handle(timer_fired(first)).stage, Stage::Draining);
    assert_eq!(lifecycle.handle(timer_fired(second)).stage, Stage::Empty);
}

#[test]
fn shutdown_continues_whatever_operators_call_meanwhile() {
    for before in [
        &[][..],
        &[Event::Standby],
        &[Event::Standby, Event::TimerFired(TimerToken(1))],
    ] {
        let mut lifecycle = Lifecycle::new();
        for event in before {
            lifecycle.handle(*event);
        }
        let stop = lifecycle.handle(Event::Stop);
        assert_eq!(stop.stage, Stage::Stopping);
        assert!(
            lifecycle.handle(Event::Standby).granted,
            "shutdown drains the node"
        );
        assert!(!lifecycle.handle(Event::Active).granted, "too late");
        assert_eq!(lifecycle.handle(Event::Stop).timer, None);
        let closing = lifecycle.handle(timer_fired(stop));
        assert_eq!(closing.stage, Stage::Closing);
        assert_eq!(lifecycle.handle(timer_fired(closing)).stage, Stage::Closed);
        assert!(!lifecycle.handle(Event::Active).granted);
    }
}

#[test]
fn a_stopping_node_leaves_new_connections_to_its_successor_while_that_lives() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.handle(Event::ListenerShared(true));
    assert!(lifecycle.accepts(), "both processes accept");
    lifecycle.handle(Event::Stop);
    assert!(!lifecycle.accepts());
    lifecycle.handle(Event::ListenerShared(false));
    assert!(
        lifecycle.accepts(),
        "the successor has died: no other process accepts"
    );
}

proptest! {
    /// For events in any order: shutdown is never reversed, a node in service has no timer, and each transient stage
    /// requests the timer by which it ends.
    #[test]
    fn any_order_of_events_never_reverses_shutdown(events in prop::collection::vec((0u8..5, 0u64..8), 0..40)) {
        let mut lifecycle = Lifecycle::new();
        for (kind, token) in events {
            let before = lifecycle.stage();
            let event = match kind {
                0 => Event::Standby,
                1 => Event::Active,
                2 => Event::Stop,
                3 => Event::ListenerShared(token % 2 == 0),
                _ => Event::TimerFired(TimerToken(token)),
            };
            let transition = lifecycle.handle(event);
            prop_assert_eq!(transition.stage, lifecycle.stage());
            if before >= Stage::Stopping {
                prop_assert!(transition.stage >= before);
            }
            let is_transient = matches!(transition.stage, Stage::Draining | Stage::Stopping | Stage::Closing);
            prop_assert_eq!(transition.timer.is_some(), transition.stage != before && is_transient);
            prop_assert_eq!(transition.stage.is_ready(), transition.stage == Stage::Active);
        }
    }
}

use proptest::prelude::*;

use super::*;

/// Returns the event of the requested timer firing.
fn timer_fired(transition: Transition) -> Event {
    Event::TimerFired(
        transition
            .timer
            .expect("the transition requests a timer")
            .token,
    )
}

#[test]
fn stage_names_are_those_of_the_console_responses() {
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
        "a repeated standby call is granted and requests no second timer"
    );
    assert!(lifecycle.handle(timer_fired(first)).stage.closes_idle());
    assert!(
        lifecycle.accepts(),
        "a drained node still accepts connections"
    );
    assert_eq!(lifecycle.handle(Event::Active).stage, Stage::Active);
    assert!(lifecycle.handle(Event::Active).granted);
}

/// Guards against a cancelled drain's timer closing idle connections early during the next drain.
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
fn shutdown_is_not_reversed_by_console_calls() {
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
            "a standby call is granted during shutdown"
        );
        assert!(
            !lifecycle.handle(Event::Active).granted,
            "a return to service is refused during shutdown"
        );
        assert_eq!(lifecycle.handle(Event::Stop).timer, None);
        let closing = lifecycle.handle(timer_fired(stop));
        assert_eq!(closing.stage, Stage::Closing);
        assert_eq!(lifecycle.handle(timer_fired(closing)).stage, Stage::Closed);
        assert!(!lifecycle.handle(Event::Active).granted);
    }
}

#[test]
fn a_stopping_node_does_not_accept_while_a_successor_shares_the_listener() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.handle(Event::ListenerShared(true));
    assert!(
        lifecycle.accepts(),
        "both processes accept while this one is in service"
    );
    lifecycle.handle(Event::Stop);
    assert!(!lifecycle.accepts());
    lifecycle.handle(Event::ListenerShared(false));
    assert!(
        lifecycle.accepts(),
        "this process accepts again after the successor has exited"
    );
}

proptest! {
    /// For events in any order: shutdown is not reversed, a timer is requested exactly when a stage with a timer
    /// begins, and only a node in service is ready.
    #[test]
    fn shutdown_is_final_for_any_order_of_events(events in prop::collection::vec((0u8..5, 0u64..8), 0..40)) {
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

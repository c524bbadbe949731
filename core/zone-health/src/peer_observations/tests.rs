use super::*;

const NOW: Nanos = 100 * SECOND;

fn sight(home: u8, silent: f64) -> ZoneObservation {
    let silent = crate::observation::hundredths(silent);
    ZoneObservation {
        home,
        silent,
        failing: 0,
        has_answers: silent == 0,
        state: ObservedState::Healthy,
        is_own: silent > 0,
    }
}

fn fleet(count: u64) -> PeerObservations {
    let mut fleet = PeerObservations::default();
    (1..=count).for_each(|member| fleet.member(member, 0, true));
    fleet
}

#[test]
fn several_weak_words_are_one_strong_one_and_one_strong_word_is_none() {
    let mut fleet = fleet(7);
    assert!(fleet.said(NOW, 1, 0, NOW, sight(0, 500.0)));
    assert_eq!(
        fleet.view(NOW, 0, 0, (0.0, 0.0, false)).silence,
        0.0,
        "a liar alone"
    );
    fleet.said(NOW, 2, 0, NOW, sight(0, 2.4));
    fleet.said(NOW, 3, 0, NOW, sight(0, 2.4));
    let view = fleet.view(NOW, 0, 0, (0.0, 0.0, false));
    assert!((view.silence - 7.3).abs() < 1e-9, "{view:?}");
    // Those who hear from the zone speak for it.
    (4..=6).for_each(|member| {
        fleet.said(NOW, member, 0, NOW, sight(0, 0.0));
    });
    assert_eq!(fleet.view(NOW, 0, 0, (0.0, 0.0, false)).silence, 0.0);
    // And it is forgotten.
    assert_eq!(
        fleet.view(NOW + EVIDENCE_FRESH, 0, 0, (0.0, 0.0, false)),
        PeerSummary {
            bad_ago: u64::MAX,
            ..PeerSummary::default()
        }
    );
}

#[test]
fn what_was_long_under_way_and_what_another_zone_sees_over_its_own_link_does_not_count() {
    let mut fleet = fleet(4);
    assert!(!fleet.said(NOW, 1, 0, NOW - 5 * SECOND, sight(0, 2.5)));
    (5..9).for_each(|member| {
        fleet.member(member, 1, true);
        fleet.said(NOW, member, 0, NOW, sight(1, 2.5));
    });
    assert_eq!(
        fleet.view(NOW, 0, 0, (0.0, 0.0, false)).silence,
        0.0,
        "dc-b does not reach dc-a"
    );
    assert_eq!(
        fleet.view(NOW, 0, 2, (0.0, 0.0, false)).silence,
        0.0,
        "dc-c does not care"
    );
    assert!(fleet.view(NOW, 0, 1, (0.0, 0.0, false)).silence > 5.0);
    // What a zone's own nodes see of it counts for all.
    (1..4).for_each(|member| {
        fleet.said(NOW, member, 0, NOW, sight(0, 2.5));
    });
    assert!(fleet.view(NOW, 0, 2, (0.0, 0.0, false)).silence > 5.0);
}

#[test]
fn the_middle_one_leads_the_return_and_two_have_to_vouch_for_it() {
    let mut fleet = fleet(5);
    let at = |at| ZoneObservation {
        state: at,
        ..sight(0, 0.0)
    };
    fleet.said(
        NOW,
        1,
        0,
        NOW,
        at(ObservedState::Recovering {
            step: 4,
            good: true,
        }),
    );
    let view = fleet.view(NOW, 0, 0, (0.0, 0.0, false));
    assert_eq!(
        (view.step, view.returning, view.triers),
        (None, false, 1),
        "one alone leads nobody"
    );
    fleet.said(
        NOW,
        2,
        0,
        NOW,
        at(ObservedState::Recovering {
            step: 1,
            good: false,
        }),
    );
    fleet.said(
        NOW,
        3,
        0,
        NOW,
        at(ObservedState::Recovering {
            step: 0,
            good: true,
        }),
    );
    let view = fleet.view(NOW, 0, 0, (0.0, 0.0, false));
    assert_eq!(
        (view.step, view.good, view.returning),
        (Some(1), true, true)
    );
    fleet.said(
        NOW,
        4,
        0,
        NOW,
        at(ObservedState::Ejected {
            good: 9,
            bad_ms: 40,
        }),
    );
    let view = fleet.view(NOW + MILLISECOND, 0, 0, (0.0, 0.0, false));
    assert_eq!(
        (view.trials, view.triers, view.bad_ago),
        (8, 4, 41 * MILLISECOND)
    );
}

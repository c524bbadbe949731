//! Tests that requests submitted during their upload count as evidence of a zone's health.

use super::*;
use crate::clock::VirtualClock;

const STEP: Nanos = SECOND / 50;

/// How the test's requests are submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Submission {
    /// After the upload of the body.
    Complete,
    /// During an upload that completes right after the submission.
    Uploaded,
    /// During an upload that does not complete.
    Uploading,
}

/// The share of zone b after 20 s of requests, where all attempts in zone b end with `outcome`.
fn share_after_outcomes(submission: Submission, outcome: Outcome) -> f64 {
    let config = serde_json::json!({"az": "a", "zones": ["a", "b", "c"], "discovery": "pushed",
        "classes": [{"name": "read", "effect": "repeatable", "on-time-ns": 2_000_000_000u64,
            "deadline-ns": 4_000_000_000u64}],
        "policy-limits": {"attempts-cap": 1}, "goal": {},
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": 500_000_000u64,
            "fall-ns": 1_500_000_000u64, "start-capacity": 0.1, "tip-multiple": 2.5,
            "warm-after-ns": 20_000_000_000u64}});
    let virtual_clock = VirtualClock::at(SECOND);
    let (engine, transport) = engine_with(&config, Clock::from_virtual(virtual_clock.clone()));
    engine.start_zone_monitoring(7);
    let endpoints: Vec<DiscoveredEndpoint> = (0..8)
        .map(|n| DiscoveredEndpoint {
            zone: if n % 2 == 0 { "c" } else { "b" }.to_owned(),
            ..discovered(&format!("s{n}"), EndpointState::InService)
        })
        .collect();
    engine.endpoints_updated(EndpointUpdate::Snapshot, &endpoints);
    let zone_b: Vec<BackendId> = engine
        .endpoints_in_service()
        .iter()
        .map(|endpoint| endpoint.backend)
        .filter(|backend| {
            let name = engine.endpoint_name(*backend);
            name[1..].parse::<u32>().is_ok_and(|n| n % 2 == 1)
        })
        .collect();
    for _ in 0..1000 {
        let pending: Vec<_> = (0..12)
            .filter_map(|_| match submission {
                Submission::Complete => engine.submit(incoming(2 * SECOND)),
                Submission::Uploaded | Submission::Uploading => {
                    engine.submit_upload(incoming(3600 * SECOND))
                }
            })
            .collect();
        if submission == Submission::Uploaded {
            pending
                .iter()
                .for_each(|request| request.upload_complete(2 * SECOND));
        }
        virtual_clock.advance(engine.clock().now() + STEP);
        while let Some(command) = { transport.attempts.borrow_mut().pop() } {
            let end = if zone_b.contains(&command.backend) {
                AttemptEnd::without_response(outcome)
            } else {
                AttemptEnd {
                    response: Some("served"),
                    ..AttemptEnd::without_response(Outcome::Success)
                }
            };
            engine.attempt_ended(command.attempt, end);
        }
        engine.fire_timers();
    }
    let zones = engine.metrics().zones();
    zones[1].share
}

#[test]
fn zone_with_failing_uploads_loses_share() {
    for (submission, outcome) in [
        (Submission::Complete, Outcome::Error),
        (Submission::Uploaded, Outcome::Error),
        (Submission::Complete, Outcome::ConnectFailed),
        (Submission::Uploading, Outcome::ConnectFailed),
    ] {
        let share = share_after_outcomes(submission, outcome);
        assert!(share < 1.0, "{submission:?}, {outcome:?}: {share}");
    }
}

/// Guards against upload time that counts as the response time of a backend.
#[test]
fn zone_with_served_uploads_keeps_its_full_share() {
    for submission in [
        Submission::Complete,
        Submission::Uploaded,
        Submission::Uploading,
    ] {
        let share = share_after_outcomes(submission, Outcome::Success);
        assert!(share >= 1.0, "{submission:?}: {share}");
    }
}

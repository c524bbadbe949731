//! Valid settings: the resulting values, the defaults, and the lenient keys.

#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use badgerpost_balancer::{DedupScope, Discovery, Idempotency, Settings, WeightSource, ZoneId};
use badgerpost_settings::NodeSettings;
use common::{complete, minimal, with};
use serde_json::{Value, json};

/// Reads valid settings.
fn read(settings: &Value) -> NodeSettings {
    badgerpost_settings::read(settings).expect("settings")
}

/// Reads the complete settings with the value at a JSON pointer replaced, and returns the balancer's part.
fn read_with(pointer: &str, value: Value) -> Settings {
    read(&with(complete(), pointer, value)).settings
}

#[test]
fn keys_of_the_settings_object_are_read_into_their_fields() {
    let settings = read(&complete()).settings;
    assert_eq!(
        (
            settings.local_zone,
            settings.zone_count,
            settings.node_count
        ),
        (ZoneId(1), 2, 4)
    );
    assert_eq!(settings.tenant_quotas, [10.5, 3.0]);
    assert_eq!(
        (settings.over_quota_value, settings.worst_class_goal),
        (0.5, 0.1)
    );
    assert_eq!(settings.discovery, Discovery::Polled);
    assert_eq!(settings.weight_source, WeightSource::LoadAdjusted);
    assert_eq!(
        settings.max_queue_per_size,
        Settings::new(ZoneId(0), 1).max_queue_per_size
    );
    assert!(settings.reports_by_health_check && settings.key_affinity);
    assert!(settings.retries_marked && settings.is_weight_per_work);
    assert_eq!(settings.timer_resolution, 2_000_000);
}

#[test]
fn keys_of_limits_and_rules_are_read_into_their_fields() {
    let site = read(&complete());
    let limits = &site.settings.limits;
    assert!(limits.hedging && limits.health_checks && limits.cancellation);
    assert_eq!((limits.max_attempts, limits.max_retry_after), (3, 7));
    let rules = &site.settings.rules;
    assert_eq!(
        (rules.answer_grace, rules.poll_interval, rules.drain_grace),
        (20, 10, 5)
    );
    assert_eq!(
        (rules.slow_start_capacity, rules.slow_start_duration),
        (0.1, 12)
    );
    assert_eq!((rules.overload_multiple, rules.overload_window), (2.5, 15));
    assert_eq!(
        (
            site.connections.idle_timeout,
            site.connections.connect_timeout
        ),
        (8, 6)
    );
    assert!(site.gossip_allowed);
}

#[test]
fn keys_of_classes_are_read_into_their_fields() {
    let settings = read(&complete()).settings;
    let read = &settings.classes[0];
    assert_eq!(
        (read.latency_objective, read.deadline),
        (200_000_000, 500_000_000)
    );
    assert_eq!(
        (read.priority_weight, read.late_value_fraction),
        (2.0, 0.25)
    );
    let idempotency: Vec<_> = settings
        .classes
        .iter()
        .map(|class| class.idempotency)
        .collect();
    let keyed = Idempotency::Keyed {
        scope: DedupScope::Cell,
        window: 9,
    };
    assert_eq!(
        idempotency,
        [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent]
    );
}

#[test]
fn ids_of_names_are_their_positions_in_the_settings() {
    let mut names = read(&complete()).names;
    assert_eq!(
        (names.zone("a"), names.zone("b"), names.zone("new")),
        (ZoneId(0), ZoneId(1), ZoneId(2))
    );
    assert_eq!(
        (names.zone_name(ZoneId(2)), names.zone_name(ZoneId(3))),
        (Some("new"), None)
    );
    assert_eq!((names.kind("large"), names.kind("new")), (1, 2));
    assert_eq!(names.class_names(), ["read", "write", "pay"]);
    assert_eq!((names.class("pay"), names.class("new")), (Some(2), None));
    assert_eq!(
        (
            names.tenant(Some("t2")),
            names.tenant(Some("new")),
            names.tenant(None)
        ),
        (Some(1), None, None)
    );
}

#[test]
fn absent_keys_have_defaults() {
    let site = read(&minimal());
    let settings = &site.settings;
    assert_eq!(
        (
            settings.node_count,
            settings.over_quota_value,
            settings.worst_class_goal
        ),
        (1, 1.0, 0.0)
    );
    assert_eq!(settings.weight_source, WeightSource::Registered);
    assert!(settings.tenant_quotas.is_empty());
    assert!(!settings.reports_by_health_check && !settings.key_affinity);
    assert!(!settings.retries_marked && !settings.is_weight_per_work);
    assert_eq!(
        (settings.timer_resolution, settings.rules.poll_interval),
        (1_000_000, u64::MAX)
    );
    let limits = &settings.limits;
    assert!(!limits.hedging && !limits.health_checks && !limits.cancellation);
    assert_eq!(limits.max_retry_after, 0);
    assert_eq!(
        (
            settings.classes[0].priority_weight,
            settings.classes[0].late_value_fraction
        ),
        (1.0, 0.0)
    );
    assert_eq!(
        (
            site.connections.idle_timeout,
            site.connections.connect_timeout
        ),
        (15_000_000_000, 250_000_000)
    );
    assert!(!site.gossip_allowed);
}

#[test]
fn values_of_lenient_keys_may_have_any_type() {
    for pointer in [
        "/weights",
        "/report",
        "/family-info",
        "/callers",
        "/worth-by",
        "/unknown",
        "/policy-limits/probes",
        "/policy-limits/peers",
        "/policy-limits/retry-after",
    ] {
        for value in [json!(null), json!(3), json!("other"), json!([1])] {
            let settings = with(complete(), pointer, value.clone());
            assert!(
                badgerpost_settings::read(&settings).is_ok(),
                "{pointer} = {value}"
            );
        }
    }
}

#[test]
fn null_counts_as_absent_for_keys_with_a_default() {
    for pointer in [
        "/n-instances",
        "/over-share-worth",
        "/quantum-ns",
        "/goal/worst-class",
        "/rules/ask-within-ns",
        "/policy-limits/conn-idle-ns",
        "/policy-limits/connect-timeout-ns",
        "/policy-limits/max-retry-after-ns",
        "/classes/0/importance",
        "/classes/0/late-share",
    ] {
        let settings = with(complete(), pointer, json!(null));
        assert!(badgerpost_settings::read(&settings).is_ok(), "{pointer}");
    }
}

#[test]
fn numbers_out_of_range_are_read_as_the_nearest_bound() {
    assert_eq!(read_with("/n-instances", json!(-1)).node_count, 0);
    assert_eq!(
        read_with("/n-instances", json!(u64::MAX)).node_count,
        u32::MAX
    );
    let limits = read_with("/policy-limits/attempts-cap", json!(u64::MAX)).limits;
    assert_eq!(limits.max_attempts, u32::MAX);
    assert_eq!(
        read_with("/rules/fall-ns", json!(-5)).rules.overload_window,
        0
    );
}

#[test]
fn an_integer_is_accepted_as_a_number() {
    let rules = read_with("/rules/start-capacity", json!(1)).rules;
    assert_eq!(rules.slow_start_capacity, 1.0);
}

#[test]
fn the_maximum_retry_after_is_ignored_if_retry_after_is_off() {
    let off = with(complete(), "/policy-limits/retry-after", json!(false));
    let off = with(off, "/policy-limits/max-retry-after-ns", json!("x"));
    assert_eq!(read(&off).settings.limits.max_retry_after, 0);
}

#[test]
fn an_empty_list_of_classes_is_read_without_an_error() {
    assert!(read_with("/classes", json!([])).classes.is_empty());
}

#[test]
fn a_class_that_is_listed_twice_has_the_id_of_the_last_entry() {
    let twice = with(complete(), "/classes/2/name", json!("read"));
    assert_eq!(read(&twice).names.class("read"), Some(2));
}

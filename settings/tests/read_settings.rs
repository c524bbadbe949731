//! What `read` accepts, what it makes of it, and the exact text of each error.

use badgerpost_balancer::{DedupScope, Discovery, Idempotency, Settings, WeightSource, ZoneId};
use serde_json::{Value, json};

/// Settings with every key that `read` looks at.
fn complete() -> Value {
    json!({
        "az": "b", "zones": ["a", "b"], "kinds": ["small", "large"], "n-instances": 4,
        "discovery": "on_request", "weights": "live", "over-share-worth": 0.5, "quantum-ns": 2_000_000,
        "worth-by": "work", "report": {"how": "pull"}, "family-info": {"warm-keys": true},
        "callers": {"marks-retry": true},
        "classes": [
            {"name": "read", "effect": "repeatable", "on-time-ns": 200_000_000, "deadline-ns": 500_000_000,
                "importance": 2.0, "late-share": 0.25},
            {"name": "write", "effect": "by_key", "key-scope": "cell", "window-ns": 9,
                "on-time-ns": 1, "deadline-ns": 2},
            {"name": "pay", "effect": "once", "on-time-ns": 3, "deadline-ns": 4}
        ],
        "projects": [{"name": "t1", "quota-rps": 10.5}, {"name": "t2", "quota-rps": 3}],
        "policy-limits": {"attempts-cap": 3, "may-cancel": true, "second-copies": true, "probes": true,
            "retry-after": true, "max-retry-after-ns": 7, "peers": true, "conn-idle-ns": 8,
            "connect-timeout-ns": 6},
        "goal": {"worst-class": 0.1},
        "rules": {"answer-slack-ns": 20, "ask-within-ns": 10, "drain-grace-ns": 5, "fall-ns": 15,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 12}
    })
}

/// Only the keys that must be there.
fn minimal() -> Value {
    json!({
        "az": "a", "zones": ["a"], "discovery": "pushed",
        "classes": [{"name": "read", "effect": "once", "on-time-ns": 1, "deadline-ns": 2}],
        "policy-limits": {"attempts-cap": 1}, "goal": {},
        "rules": {"answer-slack-ns": 1, "drain-grace-ns": 1, "fall-ns": 1, "start-capacity": 0.1,
            "tip-multiple": 2.5, "warm-after-ns": 1}
    })
}

/// `settings` with the value at a JSON pointer replaced, or set anew in its object.
fn with(mut settings: Value, pointer: &str, value: Value) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("a parent");
    match parent {
        Value::Array(list) => list[key.parse::<usize>().expect("a position")] = value,
        _ => parent[key] = value,
    }
    settings
}

fn error(settings: &Value) -> String {
    match badgerpost_settings::read(settings) {
        Ok(_) => panic!("accepted: {settings}"),
        Err(error) => error.to_string(),
    }
}

#[test]
fn error_texts_name_the_object_and_the_key() {
    let missing =
        |object: &str, key: &str| format!("{object}: field {key} is missing or of the wrong type");
    for (pointer, value, object, key) in [
        ("/zones", json!("a"), "settings", "zones"),
        ("/zones", json!([1]), "settings", "zones"),
        ("/zones", json!([]), "settings", "az"),
        ("/az", json!("c"), "settings", "az"),
        ("/az", json!(null), "settings", "az"),
        ("/classes", json!({}), "settings", "classes"),
        (
            "/classes/0/effect",
            json!("sometimes"),
            "settings: classes",
            "effect",
        ),
        ("/classes/0/effect", json!(1), "settings: classes", "effect"),
        (
            "/classes/1/key-scope",
            json!("town"),
            "settings: classes",
            "key-scope",
        ),
        (
            "/classes/1/window-ns",
            json!(1.5),
            "settings: classes",
            "window-ns",
        ),
        (
            "/classes/0/on-time-ns",
            json!("1"),
            "settings: classes",
            "on-time-ns",
        ),
        (
            "/classes/0/deadline-ns",
            json!(null),
            "settings: classes",
            "deadline-ns",
        ),
        (
            "/classes/0/importance",
            json!("high"),
            "settings: classes",
            "importance",
        ),
        (
            "/classes/0/late-share",
            json!(true),
            "settings: classes",
            "late-share",
        ),
        ("/classes/0/name", json!(1), "settings: classes", "name"),
        ("/projects", json!(null), "settings", "projects"),
        ("/projects", json!({}), "settings", "projects"),
        ("/projects/0/name", json!(1), "settings: projects", "name"),
        (
            "/projects/0/quota-rps",
            json!("1"),
            "settings: projects",
            "quota-rps",
        ),
        ("/policy-limits", json!([]), "settings", "policy-limits"),
        ("/rules", json!(null), "settings", "rules"),
        ("/goal", json!(1), "settings", "goal"),
        (
            "/policy-limits/max-retry-after-ns",
            json!("1"),
            "policy-limits",
            "max-retry-after-ns",
        ),
        ("/n-instances", json!("4"), "settings", "n-instances"),
        (
            "/over-share-worth",
            json!("1"),
            "settings",
            "over-share-worth",
        ),
        ("/discovery", json!("sometimes"), "settings", "discovery"),
        ("/discovery", json!(null), "settings", "discovery"),
        (
            "/policy-limits/attempts-cap",
            json!(0.5),
            "policy-limits",
            "attempts-cap",
        ),
        (
            "/rules/answer-slack-ns",
            json!(null),
            "rules",
            "answer-slack-ns",
        ),
        ("/rules/ask-within-ns", json!("x"), "rules", "ask-within-ns"),
        (
            "/rules/drain-grace-ns",
            json!([]),
            "rules",
            "drain-grace-ns",
        ),
        (
            "/rules/start-capacity",
            json!("x"),
            "rules",
            "start-capacity",
        ),
        ("/rules/warm-after-ns", json!({}), "rules", "warm-after-ns"),
        ("/rules/tip-multiple", json!(null), "rules", "tip-multiple"),
        ("/rules/fall-ns", json!(true), "rules", "fall-ns"),
        ("/goal/worst-class", json!("x"), "goal", "worst-class"),
        ("/quantum-ns", json!("x"), "settings", "quantum-ns"),
        ("/kinds", json!(null), "settings", "kinds"),
        ("/kinds", json!([null]), "settings", "kinds"),
        (
            "/policy-limits/conn-idle-ns",
            json!("x"),
            "policy-limits",
            "conn-idle-ns",
        ),
        (
            "/policy-limits/connect-timeout-ns",
            json!(0.1),
            "policy-limits",
            "connect-timeout-ns",
        ),
    ] {
        let found = error(&with(complete(), pointer, value.clone()));
        assert_eq!(found, missing(object, key), "{pointer} = {value}");
    }
    assert_eq!(error(&json!([])), "settings: not an object");
    for (pointer, text) in [
        ("/classes/1", "settings: classes: not objects"),
        ("/projects/1", "settings: projects: not objects"),
    ] {
        assert_eq!(error(&with(complete(), pointer, json!("x"))), text);
    }
}

/// Where several keys are wrong the error names the first in this order.
#[test]
fn of_several_wrong_keys_the_same_one_is_named_first() {
    let pointers = [
        ("/zones", json!(["a", "b"])),
        ("/az", json!("b")),
        ("/classes/0/effect", json!("by_key")),
        ("/classes/0/key-scope", json!("all")),
        ("/classes/0/window-ns", json!(1)),
        ("/classes/0/on-time-ns", json!(1)),
        ("/classes/0/deadline-ns", json!(1)),
        ("/classes/0/importance", json!(1)),
        ("/classes/0/late-share", json!(1)),
        ("/classes/0/name", json!("read")),
        ("/projects/0/name", json!("t1")),
        ("/projects/0/quota-rps", json!(1)),
        ("/policy-limits/max-retry-after-ns", json!(1)),
        ("/n-instances", json!(1)),
        ("/over-share-worth", json!(1)),
        ("/discovery", json!("pushed")),
        ("/policy-limits/attempts-cap", json!(1)),
        ("/rules/answer-slack-ns", json!(1)),
        ("/rules/ask-within-ns", json!(1)),
        ("/rules/drain-grace-ns", json!(1)),
        ("/rules/start-capacity", json!(1)),
        ("/rules/warm-after-ns", json!(1)),
        ("/rules/tip-multiple", json!(1)),
        ("/rules/fall-ns", json!(1)),
        ("/goal/worst-class", json!(1)),
        ("/quantum-ns", json!(1)),
        ("/kinds", json!([])),
        ("/policy-limits/conn-idle-ns", json!(1)),
        ("/policy-limits/connect-timeout-ns", json!(1)),
    ];
    let mut settings = complete();
    for (pointer, _) in &pointers {
        settings = with(settings, pointer, json!([[]]));
    }
    for (pointer, right) in pointers {
        let key = pointer.rsplit('/').next().expect("a key");
        let found = error(&settings);
        assert!(
            found.contains(&format!(": field {key} is missing")),
            "{pointer}: {found}"
        );
        settings = with(settings, pointer, right);
    }
    assert!(badgerpost_settings::read(&settings).is_ok());
    settings = with(settings, "/policy-limits", json!([]));
    settings = with(settings, "/rules", json!([]));
    settings = with(settings, "/goal", json!([]));
    for key in ["policy-limits", "rules", "goal"] {
        assert!(error(&settings).contains(&format!(": field {key} is missing")));
        settings[key] = json!({});
    }
}

#[test]
fn every_key_reaches_its_setting() {
    let site = badgerpost_settings::read(&complete()).expect("settings");
    let settings = &site.settings;
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
    assert!(settings.retries_marked && settings.value_per_request);
    assert_eq!(settings.timer_resolution, 2_000_000);
    let limits = &settings.limits;
    assert!(limits.hedging && limits.health_checks && limits.cancellation);
    assert_eq!((limits.max_attempts, limits.max_retry_after), (3, 7));
    let rules = &settings.rules;
    assert_eq!(
        (rules.answer_grace, rules.poll_interval, rules.drain_grace),
        (20, 10, 5)
    );
    assert_eq!(
        (rules.slow_start_capacity, rules.slow_start_duration),
        (0.1, 12)
    );
    assert_eq!((rules.overload_multiple, rules.overload_window), (2.5, 15));
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
fn names_have_the_numbers_of_their_positions() {
    let mut names = badgerpost_settings::read(&complete())
        .expect("settings")
        .names;
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
    let site = badgerpost_settings::read(&minimal()).expect("settings");
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
    assert!(!settings.retries_marked && !settings.value_per_request);
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
fn odd_values_are_accepted_as_before() {
    // Lenient keys: anything of another type counts as absent.
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
    // Null counts as absent where there is a default.
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
    // Negative numbers count as 0, huge ones as the most that fits.
    let read = |pointer, value| {
        badgerpost_settings::read(&with(complete(), pointer, value))
            .expect("settings")
            .settings
    };
    assert_eq!(read("/n-instances", json!(-1)).node_count, 0);
    assert_eq!(read("/n-instances", json!(u64::MAX)).node_count, u32::MAX);
    assert_eq!(
        read("/policy-limits/attempts-cap", json!(u64::MAX))
            .limits
            .max_attempts,
        u32::MAX
    );
    assert_eq!(read("/rules/fall-ns", json!(-5)).rules.overload_window, 0);
    assert_eq!(
        read("/rules/start-capacity", json!(1))
            .rules
            .slow_start_capacity,
        1.0
    );
    // The longest retry-after is not even read where retry-after is off.
    let off = with(complete(), "/policy-limits/retry-after", json!(false));
    let off = with(off, "/policy-limits/max-retry-after-ns", json!("x"));
    assert_eq!(
        badgerpost_settings::read(&off)
            .expect("settings")
            .settings
            .limits
            .max_retry_after,
        0
    );
    // Empty lists of classes are left to `Settings::validate`.
    assert!(read("/classes", json!([])).classes.is_empty());
    // A class named twice has the number of the later one.
    let twice = with(complete(), "/classes/2/name", json!("read"));
    assert_eq!(
        badgerpost_settings::read(&twice)
            .expect("settings")
            .names
            .class("read"),
        Some(2)
    );
}

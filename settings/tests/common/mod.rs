//! Settings objects for tests.

use serde_json::{Value, json};

/// Settings with every key that `read` reads.
pub fn complete() -> Value {
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

/// Settings with the required keys only.
pub fn minimal() -> Value {
    json!({
        "az": "a", "zones": ["a"], "discovery": "pushed",
        "classes": [{"name": "read", "effect": "once", "on-time-ns": 1, "deadline-ns": 2}],
        "policy-limits": {"attempts-cap": 1}, "goal": {},
        "rules": {"answer-slack-ns": 1, "drain-grace-ns": 1, "fall-ns": 1, "start-capacity": 0.1,
            "tip-multiple": 2.5, "warm-after-ns": 1}
    })
}

/// Returns `settings` with the value at a JSON pointer replaced, or added to the object.
pub fn with(mut settings: Value, pointer: &str, value: Value) -> Value {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = settings.pointer_mut(parent).expect("a parent");
    match parent {
        Value::Array(list) => list[key.parse::<usize>().expect("a position")] = value,
        _ => parent[key] = value,
    }
    settings
}

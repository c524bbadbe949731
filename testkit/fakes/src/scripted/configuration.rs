//! The JSON of a node's platform configuration and of endpoint list entries.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// An entry of the endpoint list, whose field on the wire is `targets`.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "k", "pod_group": 0, "state": state,
        "capacity_hint": 1.0, "boot_ms": 0})
}

/// The `settings` section: two zones, three request classes, one project.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key-scope": "zone", "window-ns": 10_000_000_000u64,
            "on-time-ns": 2_000_000_000u64, "deadline-ns": 4_000_000_000u64, "importance": 1.0})
    };
    json!({"az": "a", "zones": ["a", "b"], "kinds": ["k"], "n-instances": 2, "discovery": "pushed",
        "classes": [class("read", "repeatable"), class("join", "by_key"), class("pay", "once")],
        "projects": [{"name": "acme", "quota-rps": 1000.0}],
        "policy-limits": {"attempts-cap": 3, "may-cancel": true, "second-copies": true, "probes": false,
            "retry-after": true, "max-retry-after-ns": 1_000_000_000u64, "conn-idle-ns": 30_000_000_000u64,
            "connect-timeout-ns": 1_000_000_000u64},
        "goal": {"worst-class": 0.1}, "quantum-ns": 1_000_000,
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": 500_000_000u64, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}})
}

/// The configuration of a node with the address of its discovery service. `known` holds the entries of the endpoint
/// list that the node starts with.
#[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
pub fn config(discovery: SocketAddr, known: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": true, "targets": known}, "settings": settings()})
}

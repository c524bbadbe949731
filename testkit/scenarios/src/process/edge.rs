//! The configuration that the platform gives a node, for a node of a scenario.

use std::net::SocketAddr;

use badgerpost_time::MILLISECOND;
use serde_json::{Value, json};

use crate::outcome;
use crate::scenario::LoadedScenario;

/// What the platform would tell a node of a scene.
#[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
pub fn edge_config(
    scenario: &LoadedScenario,
    node: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    known: Option<Value>,
) -> Value {
    let scene = &scenario.spec;
    let rules = &scene.rules;
    let own = &scene.nodes[node];
    let zones = scene.zones();
    let classes: Vec<Value> = scene
        .classes
        .iter()
        .map(|class| {
            let effect = match class.idempotency {
                outcome::Idempotency::Idempotent => "repeatable",
                outcome::Idempotency::Keyed => "by_key",
                outcome::Idempotency::NonIdempotent => "once",
            };
            json!({"name": class.name.get_ref(), "effect": effect, "key-scope": class.dedup_scope,
                "window-ns": class.dedup_window_ms * MILLISECOND, "on-time-ns": class.latency_objective_ms * MILLISECOND,
                "deadline-ns": class.deadline_ms.get_ref() * MILLISECOND})
        })
        .collect();
    let by_probe = scene.load_reports == crate::scenario::LoadReports::HealthChecks;
    let settings = json!({"report": {"how": if by_probe { "pull" } else { "piggyback" }}, "az": own.zone, "zones": zones, "n-instances": scene.nodes.len(),
        "discovery": "pushed", "classes": classes, "goal": {}, "callers": {"marks-retry": true},
        "policy-limits": {"attempts-cap": rules.attempts, "may-cancel": true, "second-copies": true, "peers": true,
            "probes": by_probe, "retry-after": true, "max-retry-after-ns": 1000 * MILLISECOND},
        "rules": {"answer-slack-ns": rules.response_slack_ms * MILLISECOND, "drain-grace-ns": rules.drain_grace_ms * MILLISECOND,
            "fall-ns": rules.overload_window_ms * MILLISECOND, "start-capacity": rules.slow_start_capacity,
            "tip-multiple": rules.overload_multiple, "warm-after-ns": rules.slow_start_duration_ms * MILLISECOND}});
    json!({"name": own.name.get_ref(), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": own.max_descriptors},
        "known": known, "settings": settings})
}

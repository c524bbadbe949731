//! The platform's configuration of a node.

use std::net::SocketAddr;

use badgerpost_time::MILLISECOND;
use serde_json::{Value, json};

use crate::outcome;
use crate::scenario::LoadedScenario;

/// The configuration that the platform would give a node of a scenario. `endpoint_list`: the list that the node starts
/// with, in discovery's format; none if the node starts without one.
#[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
pub fn edge_config(
    scenario: &LoadedScenario,
    node: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    endpoint_list: Option<Value>,
) -> Value {
    let spec = &scenario.spec;
    let rules = &spec.rules;
    let node = &spec.nodes[node];
    let zones = spec.zones();
    let classes: Vec<Value> = spec
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
    let uses_health_checks = spec.load_reports == crate::scenario::LoadReports::HealthChecks;
    let settings = json!({"report": {"how": if uses_health_checks { "pull" } else { "piggyback" }}, "az": node.zone, "zones": zones, "n-instances": spec.nodes.len(),
        "discovery": "pushed", "classes": classes, "goal": {}, "callers": {"marks-retry": true},
        "policy-limits": {"attempts-cap": rules.attempts, "may-cancel": true, "second-copies": true, "peers": true,
            "probes": uses_health_checks, "retry-after": true, "max-retry-after-ns": 1000 * MILLISECOND},
        "rules": {"answer-slack-ns": rules.response_slack_ms * MILLISECOND, "drain-grace-ns": rules.drain_grace_ms * MILLISECOND,
            "fall-ns": rules.overload_window_ms * MILLISECOND, "start-capacity": rules.slow_start_capacity,
            "tip-multiple": rules.overload_multiple, "warm-after-ns": rules.slow_start_duration_ms * MILLISECOND}});
    json!({"name": node.name.get_ref(), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": node.max_descriptors},
        "known": endpoint_list, "settings": settings})
}

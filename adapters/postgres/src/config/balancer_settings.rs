//! Builds the balancer's settings for PostgreSQL servers from the section `[postgres]`, as a settings object.

use badgerpost_settings::NodeSettings;
use serde_json::{Value, json};

use super::{Class, Config};
use crate::config_error::ConfigError;

const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Maximum number of transactions assigned to a server, per allowed connection. The surplus over 1 waits in the pool;
/// all further transactions wait in the balancer, which orders them by class.
const TRANSACTIONS_PER_CONNECTION: f64 = 1.25;

impl Config {
    /// The balancer's settings. A class with idempotent statements yields a second class for them.
    ///
    /// # Errors
    /// [`ConfigError`] if no class or no source of servers is configured, or a value is out of range.
    pub fn site(&self) -> Result<NodeSettings, ConfigError> {
        if self.class.is_empty() || (self.server.is_empty() && self.discovery.is_none()) {
            return Err(ConfigError::NoClassOrServer);
        }
        let mut site = badgerpost_settings::read(&self.settings_object())?;
        let connections = self.limits().max_connections_per_server;
        site.settings.max_queue_per_size = connections as f64 * TRANSACTIONS_PER_CONNECTION;
        site.settings.validate()?;
        Ok(site)
    }

    fn settings_object(&self) -> Value {
        let classes: Vec<Value> = self.class.iter().flat_map(class_objects).collect();
        json!({
            "az": self.zone,
            "zones": self.zones(),
            "discovery": "pushed",
            "classes": classes,
            "goal": {},
            "policy-limits": {
                "attempts-cap": 3,
                "may-cancel": true,
                "second-copies": false,
                "probes": false,
                "retry-after": true,
                "max-retry-after-ns": 1000 * NANOS_PER_MILLISECOND,
            },
            "rules": {
                "answer-slack-ns": 20 * NANOS_PER_MILLISECOND,
                "drain-grace-ns": 500 * NANOS_PER_MILLISECOND,
                "fall-ns": 1500 * NANOS_PER_MILLISECOND,
                "start-capacity": 0.1,
                "tip-multiple": 2.5,
                "warm-after-ns": 20_000 * NANOS_PER_MILLISECOND,
            },
        })
    }

    /// The node's zone, followed by the zones of the configured servers in order of first occurrence.
    fn zones(&self) -> Vec<&str> {
        let mut zones = vec![self.zone.as_str()];
        for server in &self.server {
            if !zones.contains(&server.zone.as_str()) {
                zones.push(&server.zone);
            }
        }
        zones
    }
}

/// The settings objects of a class: one for its transactions and, with idempotent statements, one for those.
fn class_objects(class: &Class) -> Vec<Value> {
    let mut objects = vec![class_object(class, &class.name, "once")];
    if class.has_idempotent_statements {
        let name = idempotent_class_name(&class.name);
        objects.push(class_object(class, &name, "repeatable"));
    }
    objects
}

fn class_object(class: &Class, name: &str, effect: &str) -> Value {
    json!({
        "name": name,
        "effect": effect,
        "on-time-ns": class.latency_objective_ms * NANOS_PER_MILLISECOND,
        "deadline-ns": class.deadline_ms * NANOS_PER_MILLISECOND,
        "importance": class.priority_weight,
    })
}

/// Name of the balancer's class for the idempotent statements of a configured class.
pub fn idempotent_class_name(class_name: &str) -> String {
    format!("{class_name}, repeatable")
}

//! The operators' settings object, from its words to the module's. Every program that embeds badgerpost_balancer
//! reads it here.

mod fields;
pub mod file;

use std::collections::HashMap;

use badgerpost_balancer::{
    ClassSettings, DedupScope, Discovery, Idempotency, Limits, Nanos, SafetyLimits, Settings,
    WeightSource, ZoneId,
};
use serde_json::Value;

pub use fields::Fields;

/// The numbers that an instance gives the names of its settings.
pub struct NameTable {
    zones: Vec<String>,
    classes: HashMap<String, u32>,
    kinds: Vec<String>,
    tenants: Vec<String>,
}

impl NameTable {
    /// A zone's name, or none for a number that was never given out.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0 as usize).map(String::as_str)
    }

    /// A zone's number; a name that the settings do not list gets a number past their zones.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(position(&mut self.zones, name))
    }

    /// A machine kind's number; a new name gets a new one.
    pub fn kind(&mut self, name: &str) -> u32 {
        position(&mut self.kinds, name)
    }

    /// A tenant's number, or none where the request has none or one that the settings do not list.
    pub fn tenant(&self, name: Option<&str>) -> Option<u32> {
        let at = name.and_then(|name| self.tenants.iter().position(|known| known == name));
        at.map(|at| at as u32)
    }

    /// The classes' names, by number.
    pub fn class_names(&self) -> Vec<String> {
        let mut names: Vec<_> = self.classes.iter().collect();
        names.sort_by_key(|(_, number)| **number);
        names.into_iter().map(|(name, _)| name.clone()).collect()
    }

    /// A class's number, or none where the settings do not list it.
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.get(name).copied()
    }
}

/// A number drawn from a name, the same in every process (FNV-1a, 64 bits).
pub fn name_tag(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Names beyond these share one number: lists go on for as long as a node lives, and invent what they like.
const MOST_NAMES: usize = 1024;

fn position(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            if names.len() < MOST_NAMES {
                names.push(name.to_owned());
            }
            names.len() - 1
        });
    at as u32
}

fn names(fields: &Fields, field: &str) -> Result<Vec<String>, String> {
    let name = |value: &Value| {
        value
            .as_str()
            .map(str::to_owned)
            .ok_or_else(|| fields.wrong(field))
    };
    fields.array(field)?.iter().map(name).collect()
}

fn class(value: &Value) -> Result<(String, ClassSettings), String> {
    let map = value.as_object().ok_or("settings: classes: not objects")?;
    let fields = Fields {
        tag: "settings: classes",
        map,
    };
    let effect = match fields.text("effect")? {
        "repeatable" => Idempotency::Idempotent,
        "once" => Idempotency::NonIdempotent,
        "by_key" => {
            let group = match fields.text("key-scope")? {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                _ => return Err(fields.wrong("key-scope")),
            };
            Idempotency::Keyed {
                scope: group,
                window: fields.whole("window-ns")?,
            }
        }
        _ => return Err(fields.wrong("effect")),
    };
    let settings = ClassSettings {
        latency_objective: fields.whole("on-time-ns")?,
        deadline: fields.whole("deadline-ns")?,
        priority_weight: fields.number_or("importance", 1.0)?,
        late_value_fraction: fields.number_or("late-share", 0.0)?,
        idempotency: effect,
    };
    Ok((fields.text("name")?.to_owned(), settings))
}

/// What the settings say of connections, which only a node on real sockets needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A backend closes a connection that has stood idle for this long, or sooner.
    pub idle: Nanos,
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Nanos,
}

/// All that is read from the settings.
pub struct Site {
    /// What the module is told.
    pub settings: Settings,
    /// The words for its numbers.
    pub words: NameTable,
    /// What goes for connections.
    pub links: ConnectionSettings,
    /// Whether the nodes may talk to each other; no, where the platform does not say so.
    pub peers: bool,
}

/// Reads the settings; the error names the field.
pub fn read(config: &Value) -> Result<Site, String> {
    let map = config.as_object().ok_or("settings: not an object")?;
    let fields = Fields {
        tag: "settings",
        map,
    };
    let zones = names(&fields, "zones")?;
    let home = fields.text("az")?;
    let home = zones
        .iter()
        .position(|zone| zone == home)
        .ok_or_else(|| fields.wrong("az"))?;
    let classes = fields
        .array("classes")?
        .iter()
        .map(class)
        .collect::<Result<Vec<_>, _>>()?;
    let (class_names, classes): (Vec<_>, Vec<_>) = classes.into_iter().unzip();
    let listed = if map.contains_key("projects") {
        fields.array("projects")?.as_slice()
    } else {
        &[]
    };
    let tenant = |value: &Value| {
        let map = value.as_object().ok_or("settings: projects: not objects")?;
        let fields = Fields {
            tag: "settings: projects",
            map,
        };
        Ok::<_, String>((fields.text("name")?.to_owned(), fields.number("quota-rps")?))
    };
    let (tenant_names, tenants): (Vec<_>, Vec<_>) = listed
        .iter()
        .map(tenant)
        .collect::<Result<Vec<_>, _>>()?
        .into_iter()
        .unzip();
    let limits = fields.object("policy-limits")?;
    let rules = fields.object("rules")?;
    let goal = fields.object("goal")?;
    let flag = |name: &str| {
        limits
            .map
            .get(name)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    };
    let max_pause = if flag("retry-after") {
        limits.whole_or("max-retry-after-ns", 0)?
    } else {
        0
    };
    let settings = Settings {
        local_zone: ZoneId(home as u32),
        zone_count: zones.len() as u32,
        node_count: u32::try_from(fields.whole_or("n-instances", 1)?).unwrap_or(u32::MAX),
        classes,
        tenant_quotas: tenants,
        over_quota_value: fields.number_or("over-share-worth", 1.0)?,
        discovery: match fields.text("discovery")? {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::Polled,
            _ => return Err(fields.wrong("discovery")),
        },
        weight_source: match map.get("weights").and_then(Value::as_str) {
            Some("live") => WeightSource::LoadAdjusted,
            _ => WeightSource::Registered,
        },
        max_queue_per_size: Settings::new(ZoneId(0), 1).max_queue_per_size,
        reports_by_health_check: map
            .get("report")
            .and_then(|report| report.get("how"))
            .and_then(Value::as_str)
            == Some("pull"),
        key_affinity: map
            .get("family-info")
            .and_then(|family| family.get("warm-keys"))
            .and_then(Value::as_bool)
            .unwrap_or(false),
        limits: Limits {
            max_attempts: u32::try_from(limits.whole("attempts-cap")?).unwrap_or(u32::MAX),
            hedging: flag("second-copies"),
            health_checks: flag("probes"),
            cancellation: flag("may-cancel"),
            max_retry_after: max_pause,
        },
        rules: SafetyLimits {
            answer_grace: rules.whole("answer-slack-ns")?,
            poll_interval: rules.whole_or("ask-within-ns", u64::MAX)?,
            drain_grace: rules.whole("drain-grace-ns")?,
            slow_start_capacity: rules.number("start-capacity")?,
            slow_start_duration: rules.whole("warm-after-ns")?,
            overload_multiple: rules.number("tip-multiple")?,
            overload_window: rules.whole("fall-ns")?,
        },
        worst_class_goal: goal.number_or("worst-class", 0.0)?,
        retries_marked: map
            .get("callers")
            .and_then(|callers| callers.get("marks-retry"))
            .and_then(Value::as_bool)
            .unwrap_or(false),
        value_per_request: map.get("worth-by").and_then(Value::as_str) == Some("work"),
        timer_resolution: fields.whole_or("quantum-ns", 1_000_000)?,
    };
    let classes = class_names.into_iter().zip(0..).collect();
    let kinds = if map.contains_key("kinds") {
        names(&fields, "kinds")?
    } else {
        Vec::new()
    };
    let links = ConnectionSettings {
        idle: limits.whole_or("conn-idle-ns", 15_000_000_000)?,
        connect_timeout: limits.whole_or("connect-timeout-ns", 250_000_000)?,
    };
    Ok(Site {
        settings,
        words: NameTable {
            zones,
            classes,
            kinds,
            tenants: tenant_names,
        },
        links,
        peers: flag("peers"),
    })
}

#[cfg(test)]
mod tests;

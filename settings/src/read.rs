//! Reads the settings object, section by section.
//!
//! If several keys are invalid, the error names the one that is read first. Operators' tools and tests match the error
//! texts and depend on this order.

use badgerpost_balancer::{
    ClassSettings, DedupScope, Discovery, Idempotency, Limits, Nanos, SafetyLimits, Settings,
    WeightSource, ZoneId,
};
use serde_json::Value;

use crate::name_table::{SettingsNames, id_of_position};
use crate::{ConnectionSettings, NameTable, NodeSettings, ObjectError, ObjectReader};

/// Default of `importance` in a class.
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;
/// Default of `over-share-worth`: the value of a request over its tenant's quota, relative to a request within the
/// quota.
const DEFAULT_OVER_QUOTA_VALUE: f64 = 1.0;
/// Default of `n-instances`: the number of nodes that share the backends.
const DEFAULT_NODE_COUNT: u64 = 1;
/// Default of `quantum-ns`, the minimum time between two timers: 1 ms.
const DEFAULT_TIMER_RESOLUTION: Nanos = 1_000_000;
/// Default of `conn-idle-ns`, the idle timeout of backend connections: 15 s.
const DEFAULT_IDLE_TIMEOUT: Nanos = 15_000_000_000;
/// Default of `connect-timeout-ns`: 250 ms.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
/// Default of `ask-within-ns`, the maximum poll interval: unbounded.
const UNBOUNDED_POLL_INTERVAL: Nanos = Nanos::MAX;

/// Names the settings object in errors.
const SETTINGS: &str = "settings";
/// Names the list of request classes in errors.
const CLASSES: &str = "settings: classes";
/// Names the list of tenants in errors.
const TENANTS: &str = "settings: projects";

/// Reads a settings object.
///
/// Unknown keys are ignored. If a value has the wrong type, a boolean option counts as off, and an optional key that
/// selects a mode counts as absent. The values are not checked for consistency: [`Settings::validate`] does that.
///
/// # Errors
///
/// A required key is missing, or a value has the wrong type. The error names the object and the key.
pub fn read(config: &Value) -> Result<NodeSettings, ObjectError> {
    let root = ObjectReader::new(SETTINGS, config)?;
    let lists = Lists::read(&root)?;
    let sections = Sections::read(&root)?;
    let settings = read_balancer_settings(&root, &lists, &sections)?;
    let machine_kinds = read_machine_kinds(&root)?;
    Ok(NodeSettings {
        settings,
        names: lists.into_name_table(machine_kinds),
        connections: read_connections(&sections.limits)?,
        gossip_allowed: sections.limits.is_true("peers"),
    })
}

/// The lists whose entries have their positions as ids.
struct Lists {
    zones: Vec<String>,
    local_zone: ZoneId,
    classes: Vec<NamedClass>,
    tenants: Vec<Tenant>,
}

impl Lists {
    fn read(root: &ObjectReader) -> Result<Self, ObjectError> {
        let zones = root.strings("zones")?;
        Ok(Self {
            local_zone: read_local_zone(root, &zones)?,
            classes: read_classes(root)?,
            tenants: read_tenants(root)?,
            zones,
        })
    }

    fn into_name_table(self, machine_kinds: Vec<String>) -> NameTable {
        let classes = self.classes.into_iter().map(|class| class.name);
        let tenants = self.tenants.into_iter().map(|tenant| tenant.name);
        NameTable::new(SettingsNames {
            zones: self.zones,
            classes: classes.collect(),
            machine_kinds,
            tenants: tenants.collect(),
        })
    }
}

/// The required objects nested in the settings object.
struct Sections<'a> {
    limits: ObjectReader<'a>,
    rules: ObjectReader<'a>,
    goal: ObjectReader<'a>,
}

impl<'a> Sections<'a> {
    fn read(root: &ObjectReader<'a>) -> Result<Self, ObjectError> {
        Ok(Self {
            limits: root.object("policy-limits")?,
            rules: root.object("rules")?,
            goal: root.object("goal")?,
        })
    }
}

struct NamedClass {
    name: String,
    settings: ClassSettings,
}

struct Tenant {
    name: String,
    /// Requests per second, summed over all nodes.
    quota: f64,
}

/// Reads the node's own zone, which must be one of `zones`.
fn read_local_zone(root: &ObjectReader, zones: &[String]) -> Result<ZoneId, ObjectError> {
    let name = root.string("az")?;
    let position = zones
        .iter()
        .position(|zone| zone == name)
        .ok_or_else(|| root.invalid("az"))?;
    Ok(ZoneId(id_of_position(position)))
}

fn read_classes(root: &ObjectReader) -> Result<Vec<NamedClass>, ObjectError> {
    root.array("classes")?.iter().map(read_class).collect()
}

fn read_class(element: &Value) -> Result<NamedClass, ObjectError> {
    let class = ObjectReader::of_element(CLASSES, element)?;
    let idempotency = read_idempotency(&class)?;
    let settings = ClassSettings {
        latency_objective: class.unsigned_integer("on-time-ns")?,
        deadline: class.unsigned_integer("deadline-ns")?,
        priority_weight: class.number_or("importance", DEFAULT_PRIORITY_WEIGHT)?,
        late_value_fraction: class.number_or("late-share", 0.0)?,
        idempotency,
    };
    Ok(NamedClass {
        name: class.string("name")?.to_owned(),
        settings,
    })
}

fn read_idempotency(class: &ObjectReader) -> Result<Idempotency, ObjectError> {
    match class.string("effect")? {
        "repeatable" => Ok(Idempotency::Idempotent),
        "once" => Ok(Idempotency::NonIdempotent),
        "by_key" => Ok(Idempotency::Keyed {
            scope: read_dedup_scope(class)?,
            window: class.unsigned_integer("window-ns")?,
        }),
        _ => Err(class.invalid("effect")),
    }
}

fn read_dedup_scope(class: &ObjectReader) -> Result<DedupScope, ObjectError> {
    match class.string("key-scope")? {
        "all" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        _ => Err(class.invalid("key-scope")),
    }
}

/// Reads the tenants. Empty if the settings have no `projects`.
fn read_tenants(root: &ObjectReader) -> Result<Vec<Tenant>, ObjectError> {
    if !root.contains_key("projects") {
        return Ok(Vec::new());
    }
    root.array("projects")?.iter().map(read_tenant).collect()
}

fn read_tenant(element: &Value) -> Result<Tenant, ObjectError> {
    let tenant = ObjectReader::of_element(TENANTS, element)?;
    Ok(Tenant {
        name: tenant.string("name")?.to_owned(),
        quota: tenant.number("quota-rps")?,
    })
}

/// Reads the names of the machine kinds. Empty if the settings have no `kinds`.
fn read_machine_kinds(root: &ObjectReader) -> Result<Vec<String>, ObjectError> {
    if !root.contains_key("kinds") {
        return Ok(Vec::new());
    }
    root.strings("kinds")
}

fn read_balancer_settings(
    root: &ObjectReader,
    lists: &Lists,
    sections: &Sections,
) -> Result<Settings, ObjectError> {
    // Read before the keys of the root object, to keep the order in which invalid keys are reported.
    let max_retry_after = read_max_retry_after(&sections.limits)?;
    let local_zone = lists.local_zone;
    let zone_count = id_of_position(lists.zones.len());
    Ok(Settings {
        local_zone,
        zone_count,
        node_count: saturate_to_u32(root.unsigned_integer_or("n-instances", DEFAULT_NODE_COUNT)?),
        classes: lists.classes.iter().map(|class| class.settings).collect(),
        tenant_quotas: lists.tenants.iter().map(|tenant| tenant.quota).collect(),
        over_quota_value: root.number_or("over-share-worth", DEFAULT_OVER_QUOTA_VALUE)?,
        discovery: read_discovery(root)?,
        weight_source: read_weight_source(root),
        max_queue_per_size: Settings::new(local_zone, zone_count).max_queue_per_size,
        reports_by_health_check: reports_by_health_check(root),
        key_affinity: has_key_affinity(root),
        limits: read_limits(&sections.limits, max_retry_after)?,
        rules: read_safety_limits(&sections.rules)?,
        worst_class_goal: sections.goal.number_or("worst-class", 0.0)?,
        retries_marked: are_retries_marked(root),
        is_weight_per_work: root.lenient_string("worth-by") == Some("work"),
        timer_resolution: root.unsigned_integer_or("quantum-ns", DEFAULT_TIMER_RESOLUTION)?,
    })
}

fn read_discovery(root: &ObjectReader) -> Result<Discovery, ObjectError> {
    match root.string("discovery")? {
        "pushed" => Ok(Discovery::Pushed),
        "on_request" => Ok(Discovery::Polled),
        _ => Err(root.invalid("discovery")),
    }
}

fn read_weight_source(root: &ObjectReader) -> WeightSource {
    match root.lenient_string("weights") {
        Some("live") => WeightSource::LoadAdjusted,
        _ => WeightSource::Registered,
    }
}

/// Whether backends send load reports only in responses to health checks.
fn reports_by_health_check(root: &ObjectReader) -> bool {
    root.lenient_object("report")
        .and_then(|report| report.lenient_string("how"))
        == Some("pull")
}

/// Whether a backend that has recently served a key does less work for further requests with that key.
fn has_key_affinity(root: &ObjectReader) -> bool {
    root.lenient_object("family-info")
        .is_some_and(|family| family.is_true("warm-keys"))
}

/// Whether clients mark all their retries.
fn are_retries_marked(root: &ObjectReader) -> bool {
    root.lenient_object("callers")
        .is_some_and(|callers| callers.is_true("marks-retry"))
}

/// Reads the longest `Retry-After` that clients honour, in nanoseconds. 0 if clients honour none.
fn read_max_retry_after(limits: &ObjectReader) -> Result<Nanos, ObjectError> {
    if !limits.is_true("retry-after") {
        return Ok(0);
    }
    limits.unsigned_integer_or("max-retry-after-ns", 0)
}

fn read_limits(limits: &ObjectReader, max_retry_after: Nanos) -> Result<Limits, ObjectError> {
    Ok(Limits {
        max_attempts: saturate_to_u32(limits.unsigned_integer("attempts-cap")?),
        hedging: limits.is_true("second-copies"),
        health_checks: limits.is_true("probes"),
        cancellation: limits.is_true("may-cancel"),
        max_retry_after,
    })
}

fn read_safety_limits(rules: &ObjectReader) -> Result<SafetyLimits, ObjectError> {
    Ok(SafetyLimits {
        answer_grace: rules.unsigned_integer("answer-slack-ns")?,
        poll_interval: rules.unsigned_integer_or("ask-within-ns", UNBOUNDED_POLL_INTERVAL)?,
        drain_grace: rules.unsigned_integer("drain-grace-ns")?,
        slow_start_capacity: rules.number("start-capacity")?,
        slow_start_duration: rules.unsigned_integer("warm-after-ns")?,
        overload_multiple: rules.number("tip-multiple")?,
        overload_window: rules.unsigned_integer("fall-ns")?,
    })
}

fn read_connections(limits: &ObjectReader) -> Result<ConnectionSettings, ObjectError> {
    Ok(ConnectionSettings {
        idle_timeout: limits.unsigned_integer_or("conn-idle-ns", DEFAULT_IDLE_TIMEOUT)?,
        connect_timeout: limits
            .unsigned_integer_or("connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT)?,
    })
}

fn saturate_to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

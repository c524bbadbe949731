//! Settings of one node: request classes, site limits, safety rules, and their validation.

use std::fmt;

use super::ids::{ClassId, Nanos, ZoneId};

/// Which backends drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether a request of a class may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped inside `group` for `window` from the first send that may have run.
    Keyed {
        /// The backends that share which keys they have seen.
        scope: DedupScope,
        /// How long they remember.
        window: Nanos,
    },
    /// Must not run twice.
    NonIdempotent,
}

/// What the settings say of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// An answer within this time earns the full worth.
    pub latency_objective: Nanos,
    /// The client's time over all its tries.
    pub deadline: Nanos,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth still earned after the aim.
    pub late_value_fraction: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            latency_objective: 500_000_000,
            deadline: 1_000_000_000,
            priority_weight: 1.0,
            late_value_fraction: 0.0,
            idempotency: Idempotency::Idempotent,
        }
    }
}

/// How the list of backends reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Pushed,
    /// Only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) or
    /// [`Action::FetchSnapshot`](crate::Action::FetchSnapshot).
    Polled,
}

/// What [`Endpoint::size`](crate::Endpoint::size) holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// The registered size, give or take, or nothing.
    Registered,
    /// The size divided by 1 + requests held for each core, some time ago.
    LoadAdjusted,
}

/// No queue is let grow longer than this, however wide the aim, where nothing says how many requests a
/// backend works on at once: past it a machine loses more to its own crowd than the queue gains, and one that
/// has slowed down keeps its queue.
const QUEUE_MOST: f64 = 2.8;

/// Limits that the site sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
    /// Probes may be sent.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Longest pause a client honours after a refusal; 0 where pauses are not passed on.
    pub max_retry_after: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Copy, Debug)]
pub struct SafetyLimits {
    /// A final answer is accepted this long after the client's deadline.
    pub answer_grace: Nanos,
    /// An asking node that has not asked for this long is deemed told of the list of that time.
    pub poll_interval: Nanos,
    /// Sends to a draining backend must have ended this long after the node was told.
    pub drain_grace: Nanos,
    /// Share of its capacity that a backend starts with, or more.
    pub slow_start_capacity: f64,
    /// A backend is warm this long after its start, or sooner.
    pub slow_start_duration: Nanos,
    /// A cold backend sent more than this multiple of its capacity falls over ...
    pub overload_multiple: f64,
    /// ... counted over any span of this length.
    pub overload_window: Nanos,
}

/// What the node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own zone.
    pub local_zone: ZoneId,
    /// How many zones there are.
    pub zone_count: u32,
    /// How many nodes share the backends, this one included.
    pub node_count: u32,
    /// The classes, by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Each tenant's requests a second, over all nodes, within its share.
    pub tenant_quotas: Vec<f64>,
    /// Worth of a request beyond its tenant's share, against one within it.
    pub over_quota_value: f64,
    /// How the list arrives.
    pub discovery: Discovery,
    /// What the list's sizes stand for.
    pub weight_source: WeightSource,
    /// Backends report their load in answers to probes only.
    pub reports_by_health_check: bool,
    /// Requests of this node's own that one backend may hold for each unit of size, whatever the aim.
    pub max_queue_per_size: f64,
    /// A backend that has lately served a key does less work for it.
    pub key_affinity: bool,
    /// The site's limits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: SafetyLimits,
    /// Share of the site's goal that the worst-served class decides, 0 to 1.
    pub worst_class_goal: f64,
    /// Clients mark their repeats, all of them.
    pub retries_marked: bool,
    /// Worth is counted for each unit of work, not for each request.
    pub value_per_request: bool,
    /// Shortest time between two handlings.
    pub timer_resolution: Nanos,
}

impl Settings {
    /// Settings for a node in zone `home` of `zones`, with plain values for the rest and no classes yet.
    pub fn new(home: ZoneId, zones: u32) -> Self {
        Self {
            local_zone: home,
            zone_count: zones,
            node_count: 1,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            discovery: Discovery::Pushed,
            weight_source: WeightSource::Registered,
            reports_by_health_check: false,
            max_queue_per_size: QUEUE_MOST,
            key_affinity: false,
            limits: Limits {
                max_attempts: 3,
                hedging: true,
                health_checks: false,
                cancellation: true,
                max_retry_after: 0,
            },
            rules: SafetyLimits {
                answer_grace: 20_000_000,
                poll_interval: 10_000_000_000,
                drain_grace: 500_000_000,
                slow_start_capacity: 0.1,
                slow_start_duration: 30_000_000_000,
                overload_multiple: 2.0,
                overload_window: 2_000_000_000,
            },
            worst_class_goal: 0.0,
            retries_marked: false,
            value_per_request: false,
            timer_resolution: 1_000_000,
        }
    }

    /// Settings of a class that is known to exist.
    pub(crate) fn class(&self, id: ClassId) -> &ClassSettings {
        &self.classes[id.index()]
    }

    /// Checks that the settings can be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fail = |field, problem| Err(SettingsError { field, problem });
        let rate = |v: f64| v.is_finite() && v >= 0.0;
        if self.zone_count == 0 {
            return fail("zones", "there must be at least one");
        }
        if self.local_zone.0 >= self.zone_count {
            return fail("home", "is not one of the zones");
        }
        if self.node_count == 0 {
            return fail("nodes", "there must be at least one");
        }
        if self.classes.is_empty() {
            return fail("classes", "there must be at least one");
        }
        for class in &self.classes {
            if class.latency_objective == 0 || class.deadline == 0 {
                return fail("classes", "aim and deadline must be above 0");
            }
            if !rate(class.priority_weight) || !rate(class.late_value_fraction) {
                return fail("classes", "worth and late share must be finite and not negative");
            }
        }
        if self.limits.max_attempts == 0 {
            return fail("limits.attempts", "must be at least 1");
        }
        if !rate(self.rules.overload_multiple) || self.rules.overload_multiple == 0.0 {
            return fail("rules.tip_multiple", "must be finite and above 0");
        }
        if !rate(self.rules.slow_start_capacity) || self.rules.slow_start_capacity > 1.0 {
            return fail("rules.start_capacity", "must lie between 0 and 1");
        }
        if !self.tenant_quotas.iter().all(|&quota| rate(quota)) {
            return fail("tenants", "must be finite and not negative");
        }
        if !rate(self.max_queue_per_size) {
            return fail("queue_most", "must be finite and not negative");
        }
        if !rate(self.over_quota_value) {
            return fail("over_share_worth", "must be finite and not negative");
        }
        if !rate(self.worst_class_goal) {
            return fail("worst_class_goal", "must be finite and not negative");
        }
        Ok(())
    }
}

/// Settings that cannot be used: which field, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

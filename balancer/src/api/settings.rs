//! Settings of one node: request classes, site limits, safety rules, and their validation.

use std::fmt;

use super::ids::{ClassId, Nanos, ZoneId};

/// Which backends deduplicate idempotency keys together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it again has no further effect.
    Idempotent,
    /// It carries an idempotency key: retries are deduplicated within `scope` for `window` from the first
    /// attempt that may have run.
    Keyed {
        /// The backends that deduplicate together.
        scope: DedupScope,
        /// How long they remember a key.
        window: Nanos,
    },
    /// It must not run twice.
    NonIdempotent,
}

/// Settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Latency objective: an answer within this time has its full value.
    pub latency_objective: Nanos,
    /// Time from the client's first attempt until it gives up, over all its attempts.
    pub deadline: Nanos,
    /// Priority weight: the value of one request answered within the objective, or of one unit of its work where
    /// [`Settings::is_weight_per_work`] is set.
    pub priority_weight: f64,
    /// Fraction of the value that an answer after the objective still has, 0 to 1.
    pub late_value_fraction: f64,
    /// Whether its requests may be retried after they may have run.
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
    /// The embedder delivers changes by itself.
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

/// Default of [`Settings::max_queue_per_size`], in requests for each unit of size: past it a machine loses
/// more to contention than the queue gains, and one that has slowed down keeps its queue.
const DEFAULT_MAX_QUEUE_PER_SIZE: f64 = 2.8;

/// Limits of the site on what the balancer may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Longest Retry-After that a client honours; 0 where none is sent.
    pub max_retry_after: Nanos,
}

/// Limits of the site's safety rules.
#[derive(Clone, Copy, Debug)]
pub struct SafetyLimits {
    /// A final answer is accepted this long after the client's deadline.
    pub answer_grace: Nanos,
    /// A polling node that has not polled for this long counts as notified of the list as it was then.
    pub poll_interval: Nanos,
    /// Sends to a draining backend must have ended this long after the node was notified.
    pub drain_grace: Nanos,
    /// Least fraction of its capacity that a backend has at its start, 0 to 1.
    pub slow_start_capacity: f64,
    /// A backend has warmed up this long after its start, or sooner.
    pub slow_start_duration: Nanos,
    /// A warming backend sent more than this multiple of its capacity becomes overloaded ...
    pub overload_multiple: f64,
    /// ... counted over any window of this length.
    pub overload_window: Nanos,
}

/// Settings of one node; they hold for the life of its [`Balancer`](crate::Balancer).
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
    /// Each tenant's quota in requests per second, over all nodes.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request beyond its tenant's quota, against one within it.
    pub over_quota_value: f64,
    /// How the list of backends arrives.
    pub discovery: Discovery,
    /// What the sizes in the list mean.
    pub weight_source: WeightSource,
    /// Backends report their load in answers to health checks only.
    pub reports_by_health_check: bool,
    /// Most requests of this node at one backend, for each unit of its size, whatever the latency objective.
    pub max_queue_per_size: f64,
    /// A backend that has lately served a key does less work for it.
    pub key_affinity: bool,
    /// The site's limits.
    pub limits: Limits,
    /// The site's safety rules.
    pub rules: SafetyLimits,
    /// Fraction of the site's goal that the worst-served class decides, 0 to 1.
    pub worst_class_goal: f64,
    /// Clients mark all their retries.
    pub retries_marked: bool,
    /// Whether a priority weight is the value of a unit of work (of service time), not of a request.
    pub is_weight_per_work: bool,
    /// Shortest time between two handlings.
    pub timer_resolution: Nanos,
}

impl Settings {
    /// Settings for a node in zone `local_zone` of `zone_count`, with defaults for the rest and no classes
    /// yet.
    pub fn new(local_zone: ZoneId, zone_count: u32) -> Self {
        Self {
            local_zone,
            zone_count,
            node_count: 1,
            classes: Vec::new(),
            tenant_quotas: Vec::new(),
            over_quota_value: 1.0,
            discovery: Discovery::Pushed,
            weight_source: WeightSource::Registered,
            reports_by_health_check: false,
            max_queue_per_size: DEFAULT_MAX_QUEUE_PER_SIZE,
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
            is_weight_per_work: false,
            timer_resolution: 1_000_000,
        }
    }

    /// Settings of a class that is known to exist.
    pub(crate) fn class(&self, id: ClassId) -> &ClassSettings {
        &self.classes[id.index()]
    }

    /// Checks that the settings can be used.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field that can't be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        self.validate_topology()?;
        if self.classes.is_empty() {
            return invalid("classes", "there must be at least one");
        }
        self.classes.iter().try_for_each(ClassSettings::validate)?;
        if self.limits.max_attempts == 0 {
            return invalid("limits.attempts", "must be at least 1");
        }
        self.rules.validate()?;
        if !self.tenant_quotas.iter().copied().all(is_non_negative) {
            return invalid("tenants", "must be finite and not negative");
        }
        if !is_non_negative(self.max_queue_per_size) {
            return invalid("queue_most", "must be finite and not negative");
        }
        if !is_non_negative(self.over_quota_value) {
            return invalid("over_share_worth", "must be finite and not negative");
        }
        if !is_non_negative(self.worst_class_goal) {
            return invalid("worst_class_goal", "must be finite and not negative");
        }
        Ok(())
    }

    /// Checks the numbers of zones and nodes.
    fn validate_topology(&self) -> Result<(), SettingsError> {
        if self.zone_count == 0 {
            return invalid("zones", "there must be at least one");
        }
        if self.local_zone.0 >= self.zone_count {
            return invalid("home", "is not one of the zones");
        }
        if self.node_count == 0 {
            return invalid("nodes", "there must be at least one");
        }
        Ok(())
    }
}

impl ClassSettings {
    /// Checks one class.
    fn validate(&self) -> Result<(), SettingsError> {
        if self.latency_objective == 0 || self.deadline == 0 {
            return invalid("classes", "aim and deadline must be above 0");
        }
        if !is_non_negative(self.priority_weight) || !is_non_negative(self.late_value_fraction) {
            return invalid(
                "classes",
                "worth and late share must be finite and not negative",
            );
        }
        Ok(())
    }
}

impl SafetyLimits {
    /// Checks the limits of slow start.
    fn validate(&self) -> Result<(), SettingsError> {
        if !is_non_negative(self.overload_multiple) || self.overload_multiple == 0.0 {
            return invalid("rules.tip_multiple", "must be finite and above 0");
        }
        if !is_non_negative(self.slow_start_capacity) || self.slow_start_capacity > 1.0 {
            return invalid("rules.start_capacity", "must lie between 0 and 1");
        }
        Ok(())
    }
}

/// Whether a number is finite and at least 0.
fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// The error for a field. Field and problem are worded as operators' tools know them.
fn invalid(field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { field, problem })
}

/// A settings field that can't be used, and why.
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

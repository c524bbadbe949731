//! Settings of one node (request classes, site limits, safety rules) and their validation.

use std::fmt;

use super::ids::{ClassId, Nanos, ZoneId};

/// The set of backends that share deduplication of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends.
    All,
    /// All backends of one zone.
    Zone,
    /// All backends of one cell.
    Cell,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated execution has no further effect.
    Idempotent,
    /// Requests carry an idempotency key. Retries are deduplicated within `scope` for `window` from the first
    /// attempt that may have run.
    Keyed {
        /// Backends that share deduplication.
        scope: DedupScope,
        /// Nanoseconds for which backends remember a key.
        window: Nanos,
    },
    /// A request must not run twice.
    NonIdempotent,
}

/// Settings of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// Latency objective in nanoseconds: a response within this time has its full value.
    pub latency_objective: Nanos,
    /// Nanoseconds from the client's first attempt until the client gives up, over all its attempts.
    pub deadline: Nanos,
    /// Priority weight: the value of one request answered within the objective, or of one unit of its work if
    /// [`Settings::is_weight_per_work`] is set.
    pub priority_weight: f64,
    /// Fraction of the value that a response after the objective retains, 0 to 1.
    pub late_value_fraction: f64,
    /// Whether requests may be retried after they may have run.
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

/// How the endpoint list reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The embedder delivers changes unasked.
    Pushed,
    /// The embedder delivers changes only after [`Action::WatchEndpoints`](crate::Action::WatchEndpoints) or
    /// [`Action::FetchSnapshot`](crate::Action::FetchSnapshot).
    Polled,
}

/// The meaning of [`Endpoint::size`](crate::Endpoint::size).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// The approximate size registered for the backend; 0 if none is registered.
    Registered,
    /// The size of the idle backend, divided by 1 + requests per core as of some time ago.
    LoadAdjusted,
}

/// Default of [`Settings::max_queue_per_size`]. A longer queue costs a backend more in contention than the queue
/// gains, and keeps a backend that has slowed down overloaded.
const DEFAULT_MAX_QUEUE_PER_SIZE: f64 = 2.8;

/// The site's limits on what the balancer may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of attempts for one request, at least 1.
    pub max_attempts: u32,
    /// Whether several attempts of one request may be in flight at a time.
    pub hedging: bool,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Longest Retry-After that clients honour, in nanoseconds; 0 if none is sent.
    pub max_retry_after: Nanos,
}

/// Limits in the site's safety rules. Durations are in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct SafetyLimits {
    /// Time after the client's deadline within which a final answer is still accepted.
    pub answer_grace: Nanos,
    /// Longest interval between polls. A node that has not polled for this long counts as notified of the endpoint
    /// list as of that moment.
    pub poll_interval: Nanos,
    /// Time after the notification of the node within which requests sent to a draining backend must end.
    pub drain_grace: Nanos,
    /// Minimum fraction of a backend's capacity that is available when the backend's process starts, 0 to 1.
    pub slow_start_capacity: f64,
    /// Time after the start of a backend's process within which the backend has warmed up.
    pub slow_start_duration: Nanos,
    /// Multiple of a warming backend's current capacity, above 0, beyond which the backend becomes overloaded.
    pub overload_multiple: f64,
    /// Length of the sliding window over which work sent to a warming backend is counted.
    pub overload_window: Nanos,
}

/// Settings of one node, constant for the life of its [`Balancer`](crate::Balancer).
#[derive(Clone, Debug)]
pub struct Settings {
    /// Zone that the node runs in.
    pub local_zone: ZoneId,
    /// Number of zones, at least 1.
    pub zone_count: u32,
    /// Number of nodes that share the backends, including this one; at least 1.
    pub node_count: u32,
    /// Request classes, by [`ClassId`]; at least one.
    pub classes: Vec<ClassSettings>,
    /// Quota of each tenant in requests per second, over all nodes.
    pub tenant_quotas: Vec<f64>,
    /// Value of a request beyond its tenant's quota, relative to one within the quota.
    pub over_quota_value: f64,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// Meaning of the sizes in the endpoint list.
    pub weight_source: WeightSource,
    /// Whether backends report their load only in responses to health checks.
    pub reports_by_health_check: bool,
    /// Longest queue of this node's requests at one backend, per unit of size, whatever the latency objective.
    pub max_queue_per_size: f64,
    /// Whether a backend that recently served an affinity key does less work for further requests with that key.
    pub key_affinity: bool,
    /// The site's limits on what the balancer may do.
    pub limits: Limits,
    /// Limits in the site's safety rules.
    pub rules: SafetyLimits,
    /// Weight of the worst-served class in the site's optimization goal, 0 to 1 (larger values count as 1); the
    /// remaining weight is on all requests by priority weight.
    pub worst_class_goal: f64,
    /// Whether clients mark all their retries.
    pub retries_marked: bool,
    /// Whether a priority weight is the value of a unit of work (service time) rather than of a request.
    pub is_weight_per_work: bool,
    /// Shortest interval between two calls of [`Balancer::handle`](crate::Balancer::handle), in nanoseconds.
    pub timer_resolution: Nanos,
}

impl Settings {
    /// Default settings for a node in zone `local_zone` of `zone_count`, without classes.
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

    /// Settings of a class. Panics if the class does not exist.
    pub(crate) fn class(&self, id: ClassId) -> &ClassSettings {
        &self.classes[id.index()]
    }

    /// Checks that the settings are usable.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the first invalid field.
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

    /// Checks the zone and node counts.
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
    /// Checks the slow-start limits.
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

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// Returns the error for a field. Operators' tools match the field names and the problem texts.
fn invalid(field: &'static str, problem: &'static str) -> Result<(), SettingsError> {
    Err(SettingsError { field, problem })
}

/// An invalid settings field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the invalid field, in the form that operators' tools match.
    pub field: &'static str,
    /// Reason why the value is invalid.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

//! The interface of the decision module: what it is told at start, what it hears, what it says.
//!
//! Ids are integers, so no name can influence a decision. Times are nanoseconds on the embedder's clock.

use std::fmt;

/// A time or a span, in nanoseconds.
pub type Nanos = u64;

/// A backend, numbered by the embedder; the number stays the same when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);
/// A zone: its position in the settings' zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A request class: its position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);
/// A request of this node; never used twice in a node's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

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
    /// Only after [`Action::WatchEndpoints`] or [`Action::FetchSnapshot`].
    Polled,
}

/// What [`Endpoint::size`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// The registered size, give or take, or nothing.
    Registered,
    /// The size divided by 1 + requests held for each core, some time ago.
    LoadAdjusted,
}

/// No queue is let grow longer than this, however wide the aim, where nothing says how many requests a backend
/// works on at once: past it a machine loses more to its own crowd than the queue gains, and one that has slowed
/// down keeps its queue.
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

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    InService,
    /// Completes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u64,
    /// A number drawn from its name: the same at every node.
    pub name_hash: u64,
    /// What it may take.
    pub state: EndpointState,
    /// Its size against the others', or what [`WeightSource`] says; 0 or less counts as 1.
    pub size: f64,
    /// When it last started, if lately.
    pub started_at: Option<Nanos>,
}

impl Endpoint {
    /// Its size, or 1 where that says nothing.
    pub fn size_or_one(&self) -> f64 {
        if self.size.is_finite() && self.size > 0.0 { self.size } else { 1.0 }
    }
}

/// Which list an [`Event::EndpointsUpdated`] brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed lines only.
    Delta,
    /// The whole list: who is missing has gone.
    Snapshot,
    /// The whole list as the node last held it, perhaps stale.
    Cached,
}

/// A backend's figures of its load; absent where not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Requests it serves a second.
    pub requests_per_second: Option<f64>,
    /// Requests it holds.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The backend returned an error.
    Error,
    /// What came back can't be used, and says nothing of the backend.
    InvalidResponse,
    /// Sent away without a look.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection came about.
    ConnectFailed,
    /// The connection broke while it was out.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// The outcome's name in log lines and simulator traces. It keeps the form that operators' tools read.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Success => "Served",
            Self::Error => "Error",
            Self::InvalidResponse => "Spoilt",
            Self::Rejected => "Full",
            Self::TimedOut => "TimedOut",
            Self::ConnectFailed => "ConnectFailed",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "Moot",
        }
    }
}

/// A request that has come in.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// What it concerns, as a number drawn from that thing's name.
    pub affinity_key: Option<u64>,
    /// How much work to expect, on a standard core.
    pub expected_work: Option<Nanos>,
    /// The client marks it as a repeat.
    pub is_retry: bool,
    /// Whose it is: a position in [`Settings::tenant_quotas`].
    pub tenant: Option<u32>,
    /// When the client gives this try up.
    pub expires_at: Nanos,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Nanos,
    /// The request has ended, by this or earlier.
    pub request_ended: bool,
    /// The backend's figures, if any came.
    pub report: LoadReport,
}

/// What the module hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must come first, once.
    Start,
    /// A list of backends.
    EndpointsUpdated {
        /// Which list.
        update: EndpointUpdate,
        /// Its lines.
        endpoints: Vec<Endpoint>,
    },
    /// A call to discovery failed or the watch broke.
    DiscoveryFailed,
    /// A request came in and is owed one final answer.
    RequestArrived(RequestArrival),
    /// The same, but its body is still on the way: its client's time begins with [`Event::UploadComplete`], and until then no
    /// backend works on it. `not_after` is when it is given up if that never comes.
    UploadStarted(RequestArrival),
    /// The last byte of a request's body has come.
    UploadComplete {
        /// The request.
        request: RequestId,
        /// When the client gives this try up.
        expires_at: Nanos,
    },
    /// Bytes of a request's body have gone out that can't be had again: it can't be sent once more.
    BodyConsumed {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// An answer that had begun to be passed on broke off at this backend.
    ResponseAborted {
        /// The backend.
        backend: BackendId,
    },
    /// A streamed answer has started.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    HealthCheckEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The backend's figures, if any came.
        report: LoadReport,
    },
    /// The client has gone; nothing more is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// What a zone may take from now on; at the start each has 1.
    ZoneShareChanged {
        /// The zone.
        zone: ZoneId,
        /// Of the home zone, the part of the requests that it takes; of another, its part, against the others', of
        /// what home does not take. At 0 nothing new goes there.
        share: f64,
    },
    /// The next request that may be repeated elsewhere tries this zone, whatever its share.
    ZoneProbeRequested {
        /// The zone.
        zone: ZoneId,
        /// How long its answer is waited for.
        timeout: Nanos,
    },
    /// A timer came due.
    TimerFired {
        /// As given in [`Action::SetTimer`].
        token: u64,
    },
}

/// What the module says.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Its time-out; `None` until the client gives up.
        timeout: Option<Nanos>,
    },
    /// Final answer: refused, trying again does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Advice how long to stay away; 0 for none.
        retry_after: Nanos,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Probe a backend.
    CheckHealth {
        /// The backend.
        backend: BackendId,
    },
    /// Ask discovery for all changes from now on.
    WatchEndpoints,
    /// Ask discovery for the whole list once.
    FetchSnapshot,
    /// Wake the module after this time.
    SetTimer {
        /// How long from now.
        after: Nanos,
        /// Comes back in [`Event::TimerFired`].
        token: u64,
    },
    /// Something for the operators' log.
    Log(LogEvent),
}

/// What the module has to say to operators. Its text is for people; its fields are for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The home zone has come to its threshold and spills, or is under it again and serves all.
    ZoneSpill {
        /// Whether it spills now.
        active: bool,
        /// The best-scored other zone; home where there is none.
        to: ZoneId,
    },
    /// A backend is an outlier and gets nothing for a while.
    Ejected {
        /// Which one.
        backend: BackendId,
        /// For how long.
        duration: Nanos,
        /// What its last attempt came to.
        outcome: Outcome,
    },
    /// A backend has served its trials and is back in use.
    Readmitted {
        /// Which one.
        backend: BackendId,
    },
}

impl std::fmt::Display for LogEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::ZoneSpill { active, to } => {
                let does = if *active { "spills" } else { "serves" };
                write!(f, "home zone {does}; the best other one is {}", to.0)
            }
            Self::Ejected { backend, duration, outcome } => {
                write!(
                    f,
                    "backend {} ejected for {} ms: {}",
                    backend.0,
                    duration / 1_000_000,
                    outcome.log_name()
                )
            }
            Self::Readmitted { backend } => write!(f, "backend {} readmitted: trials served", backend.0),
        }
    }
}

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
pub enum Group {
    /// Every backend.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// Whether a request of a class may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Repeatable,
    /// Repeats are dropped inside `group` for `window` from the first send that may have run.
    Keyed {
        /// The backends that share which keys they have seen.
        group: Group,
        /// How long they remember.
        window: Nanos,
    },
    /// Must not run twice.
    Once,
}

/// What the settings say of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassSettings {
    /// An answer within this time earns the full worth.
    pub aim: Nanos,
    /// The client's time over all its tries.
    pub deadline: Nanos,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth still earned after the aim.
    pub late_share: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
}

impl Default for ClassSettings {
    fn default() -> Self {
        Self {
            aim: 500_000_000,
            deadline: 1_000_000_000,
            worth: 1.0,
            late_share: 0.0,
            effect: Effect::Repeatable,
        }
    }
}

/// How the list of backends reaches the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    Pushed,
    /// Only after [`Action::Watch`] or [`Action::Fetch`].
    Asked,
}

/// What [`Member::size`] holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// The registered size, give or take, or nothing.
    Size,
    /// The size divided by 1 + requests held for each core, some time ago.
    Live,
}

/// No queue is let grow longer than this, however wide the aim, where nothing says how many requests a backend
/// works on at once: past it a machine loses more to its own crowd than the queue gains, and one that has slowed
/// down keeps its queue.
const QUEUE_MOST: f64 = 2.8;

/// Limits that the site sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most attempts for one request.
    pub attempts: u32,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Probes may be sent.
    pub probes: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Longest pause a client honours after a refusal; 0 where pauses are not passed on.
    pub retry_after: Nanos,
}

/// The figures of the four rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleFigures {
    /// A final answer is accepted this long after the client's deadline.
    pub answer_slack: Nanos,
    /// An asking node that has not asked for this long is deemed told of the list of that time.
    pub ask_within: Nanos,
    /// Sends to a draining backend must have ended this long after the node was told.
    pub drain_grace: Nanos,
    /// Share of its capacity that a backend starts with, or more.
    pub start_capacity: f64,
    /// A backend is warm this long after its start, or sooner.
    pub warm_after: Nanos,
    /// A cold backend sent more than this multiple of its capacity falls over ...
    pub tip_multiple: f64,
    /// ... counted over any span of this length.
    pub fall_span: Nanos,
}

/// What the node is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's own zone.
    pub home: ZoneId,
    /// How many zones there are.
    pub zones: u32,
    /// How many nodes share the backends, this one included.
    pub nodes: u32,
    /// The classes, by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Each tenant's requests a second, over all nodes, within its share.
    pub tenants: Vec<f64>,
    /// Worth of a request beyond its tenant's share, against one within it.
    pub over_share_worth: f64,
    /// How the list arrives.
    pub discovery: Discovery,
    /// What the list's sizes stand for.
    pub weights: Weights,
    /// Backends report their load in answers to probes only.
    pub reports_by_probe: bool,
    /// Requests of this node's own that one backend may hold for each unit of size, whatever the aim.
    pub queue_most: f64,
    /// A backend that has lately served a key does less work for it.
    pub warm_keys: bool,
    /// The site's limits.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: RuleFigures,
    /// Share of the site's goal that the worst-served class decides, 0 to 1.
    pub worst_class_goal: f64,
    /// Clients mark their repeats, all of them.
    pub repeats_marked: bool,
    /// Worth is counted for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// Shortest time between two handlings.
    pub quantum: Nanos,
}

impl Settings {
    /// Settings for a node in zone `home` of `zones`, with plain values for the rest and no classes yet.
    pub fn new(home: ZoneId, zones: u32) -> Self {
        Self {
            home,
            zones,
            nodes: 1,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            discovery: Discovery::Pushed,
            weights: Weights::Size,
            reports_by_probe: false,
            queue_most: QUEUE_MOST,
            warm_keys: false,
            limits: Limits { attempts: 3, second_copies: true, probes: false, cancel: true, retry_after: 0 },
            rules: RuleFigures {
                answer_slack: 20_000_000,
                ask_within: 10_000_000_000,
                drain_grace: 500_000_000,
                start_capacity: 0.1,
                warm_after: 30_000_000_000,
                tip_multiple: 2.0,
                fall_span: 2_000_000_000,
            },
            worst_class_goal: 0.0,
            repeats_marked: false,
            worth_by_work: false,
            quantum: 1_000_000,
        }
    }

    /// Checks that the settings can be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let fail = |field, problem| Err(SettingsError { field, problem });
        let rate = |v: f64| v.is_finite() && v >= 0.0;
        if self.zones == 0 {
            return fail("zones", "there must be at least one");
        }
        if self.home.0 >= self.zones {
            return fail("home", "is not one of the zones");
        }
        if self.nodes == 0 {
            return fail("nodes", "there must be at least one");
        }
        if self.classes.is_empty() {
            return fail("classes", "there must be at least one");
        }
        for class in &self.classes {
            if class.aim == 0 || class.deadline == 0 {
                return fail("classes", "aim and deadline must be above 0");
            }
            if !rate(class.worth) || !rate(class.late_share) {
                return fail("classes", "worth and late share must be finite and not negative");
            }
        }
        if self.limits.attempts == 0 {
            return fail("limits.attempts", "must be at least 1");
        }
        if !rate(self.rules.tip_multiple) || self.rules.tip_multiple == 0.0 {
            return fail("rules.tip_multiple", "must be finite and above 0");
        }
        if !rate(self.rules.start_capacity) || self.rules.start_capacity > 1.0 {
            return fail("rules.start_capacity", "must lie between 0 and 1");
        }
        if !self.tenants.iter().all(|&quota| rate(quota)) {
            return fail("tenants", "must be finite and not negative");
        }
        if !rate(self.queue_most) {
            return fail("queue_most", "must be finite and not negative");
        }
        if !rate(self.over_share_worth) {
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
pub enum Stage {
    /// Takes requests.
    #[default]
    InService,
    /// Completes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u64,
    /// A number drawn from its name: the same at every node.
    pub tag: u64,
    /// What it may take.
    pub stage: Stage,
    /// Its size against the others', or what [`Weights`] says; 0 or less counts as 1.
    pub size: f64,
    /// When it last started, if lately.
    pub online_since: Option<Nanos>,
}

impl Member {
    /// Its size, or 1 where that says nothing.
    pub fn size_or_one(&self) -> f64 {
        if self.size.is_finite() && self.size > 0.0 { self.size } else { 1.0 }
    }
}

/// Which list an [`Event::Fleet`] brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed lines only.
    Changes,
    /// The whole list: who is missing has gone.
    Full,
    /// The whole list as the node last held it, perhaps stale.
    Cached,
}

/// A backend's figures of its load; absent where not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Share of its cores in use.
    pub util: Option<f64>,
    /// Requests it serves a second.
    pub rate: Option<f64>,
    /// Requests it holds.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The backend returned an error.
    Error,
    /// What came back can't be used, and says nothing of the backend.
    Spoilt,
    /// Sent away without a look.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection came about.
    ConnectFailed,
    /// The connection broke while it was out.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Full | Self::ConnectFailed | Self::Moot)
    }
}

/// A request that has come in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// What it concerns, as a number drawn from that thing's name.
    pub key: Option<u64>,
    /// How much work to expect, on a standard core.
    pub hint: Option<Nanos>,
    /// The client marks it as a repeat.
    pub repeat: bool,
    /// Whose it is: a position in [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// When the client gives this try up.
    pub not_after: Nanos,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct Settlement {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send.
    pub elapsed: Nanos,
    /// The request has ended, by this or earlier.
    pub ended: bool,
    /// The backend's figures, if any came.
    pub report: Report,
}

/// What the module hears.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must come first, once.
    Start,
    /// A list of backends.
    Fleet {
        /// Which list.
        scope: ListScope,
        /// Its lines.
        members: Vec<Member>,
    },
    /// A call to discovery failed or the watch broke.
    FleetFailed,
    /// A request came in and is owed one final answer.
    Request(Arrival),
    /// The same, but its body is still on the way: its client's time begins with [`Event::Whole`], and until then no
    /// backend works on it. `not_after` is when it is given up if that never comes.
    Upload(Arrival),
    /// The last byte of a request's body has come.
    Whole {
        /// The request.
        request: RequestId,
        /// When the client gives this try up.
        not_after: Nanos,
    },
    /// Bytes of a request's body have gone out that can't be had again: it can't be sent once more.
    Spent {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    Settled(Settlement),
    /// An answer that had begun to be passed on broke off at this backend.
    Broke {
        /// The backend.
        backend: BackendId,
    },
    /// A streamed answer has started.
    Started {
        /// The request.
        request: RequestId,
    },
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The backend's figures, if any came.
        report: Report,
    },
    /// The client has gone; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// What a zone may take from now on; at the start each has 1.
    ZoneShare {
        /// The zone.
        zone: ZoneId,
        /// Of the home zone, the part of the requests that it takes; of another, its part, against the others', of
        /// what home does not take. At 0 nothing new goes there.
        share: f64,
    },
    /// The next request that may be repeated elsewhere tries this zone, whatever its share.
    ZoneTrial {
        /// The zone.
        zone: ZoneId,
        /// How long its answer is waited for.
        wait: Nanos,
    },
    /// A timer came due.
    Timer {
        /// As given in [`Action::Timer`].
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
    Refuse {
        /// The request.
        request: RequestId,
        /// Advice how long to stay away; 0 for none.
        pause: Nanos,
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
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Ask discovery for all changes from now on.
    Watch,
    /// Ask discovery for the whole list once.
    Fetch,
    /// Wake the module after this time.
    Timer {
        /// How long from now.
        after: Nanos,
        /// Comes back in [`Event::Timer`].
        token: u64,
    },
    /// Something for the operators' log.
    Log(Notice),
}

/// What the module has to say to operators. Its text is for people; its fields are for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The home zone has come to its threshold and spills, or is under it again and serves all.
    Spill {
        /// Whether it spills now.
        spills: bool,
        /// The best-scored other zone; home where there is none.
        to: ZoneId,
    },
    /// A backend is an outlier and gets nothing for a while.
    Ejected {
        /// Which one.
        backend: BackendId,
        /// For how long.
        span: Nanos,
        /// What its last attempt came to.
        outcome: Outcome,
    },
    /// A backend has served its trials and is back in use.
    Readmitted {
        /// Which one.
        backend: BackendId,
    },
}

impl std::fmt::Display for Notice {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Spill { spills, to } => {
                let does = if *spills { "spills" } else { "serves" };
                write!(f, "home zone {does}; the best other one is {}", to.0)
            }
            Self::Ejected { backend, span, outcome } => {
                write!(f, "backend {} ejected for {} ms: {outcome:?}", backend.0, span / 1_000_000)
            }
            Self::Readmitted { backend } => write!(f, "backend {} readmitted: trials served", backend.0),
        }
    }
}

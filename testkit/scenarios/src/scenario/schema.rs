//! The scenario file's schema: its tables and keys, as operators write them in TOML. Keys are part of the file format; where
//! a key is no standard term, the field has one and serde maps it.

use std::collections::BTreeSet;

use serde::Deserialize;
use toml::Spanned;

use crate::outcome::{DedupScope, Idempotency};

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A description in one line.
    pub about: String,
    /// The operators' own settings file of every node, in TOML; empty for none.
    #[serde(rename = "own", default)]
    pub operator_settings: String,
    /// Whether the nodes gossip with each other; the operators' settings have to enable zone health as well.
    #[serde(rename = "peers", default)]
    pub gossip: bool,
    /// How long clients send requests.
    pub length_ms: Spanned<u64>,
    /// The nodes; after validation also those of the groups.
    #[serde(rename = "node", default)]
    pub nodes: Vec<Node>,
    /// Groups of nodes.
    #[serde(rename = "nodes", default)]
    pub node_groups: Vec<NodeGroup>,
    /// The match servers; after validation also those of the groups.
    #[serde(rename = "server", default)]
    pub servers: Vec<Server>,
    /// Groups of match servers.
    #[serde(rename = "servers", default)]
    pub server_groups: Vec<ServerGroup>,
    /// The request classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The clients.
    pub clients: Clients,
    /// How servers report their load.
    #[serde(rename = "reports", default)]
    pub load_reports: LoadReports,
    /// The network.
    #[serde(default)]
    pub network: Network,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The parameters of the rules.
    #[serde(default)]
    pub rules: RuleParameters,
    /// Expectations besides the rules.
    #[serde(rename = "expect", default)]
    pub expectations: Expectations,
    /// The faults.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Every zone that a node or a server is in, sorted.
    pub fn zones(&self) -> Vec<&str> {
        let of_nodes = self.nodes.iter().map(|node| node.zone.as_str());
        let of_servers = self.servers.iter().map(|server| server.zone.as_str());
        let zones: BTreeSet<&str> = of_nodes.chain(of_servers).collect();
        zones.into_iter().collect()
    }
}

/// A node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Its name.
    pub name: Spanned<String>,
    /// Its zone.
    pub zone: String,
    /// The number of descriptors that it may hold.
    #[serde(rename = "sockets", default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

fn default_max_descriptors() -> usize {
    1024
}

/// A match server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: Spanned<String>,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Its speed relative to a standard server.
    #[serde(default = "default_speed")]
    pub speed: Spanned<f64>,
    /// The number of requests that it executes at a time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The number of requests that may wait in its queue.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// When it starts, in slow start; without it, it started long ago.
    pub starts_ms: Option<u64>,
    /// How it degrades under load; without it, it doesn't.
    #[serde(rename = "choke")]
    pub degradation: Option<Degradation>,
}

/// How a server slows down under load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Degradation {
    /// The queue length from which it degrades ...
    #[serde(rename = "waiting")]
    pub queue_length: usize,
    /// ... if it lasts this long.
    #[serde(rename = "over_ms")]
    pub after_ms: Spanned<u64>,
    /// The factor by which it is slower then ...
    #[serde(rename = "slower")]
    pub slowdown: Spanned<f64>,
    /// ... until it has been mostly idle for this long.
    #[serde(rename = "rest_ms")]
    pub recovery_ms: Spanned<u64>,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReports {
    /// With each response.
    #[default]
    #[serde(rename = "answers")]
    Responses,
    /// To health checks only.
    #[serde(rename = "probes")]
    HealthChecks,
}

fn default_speed() -> Spanned<f64> {
    Spanned::new(0..0, 1.0)
}

fn default_slots() -> usize {
    8
}

fn default_queue_capacity() -> usize {
    32
}

/// Nodes that are alike, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeGroup {
    /// The number of nodes.
    pub count: usize,
    /// The prefix of their names.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// The number of descriptors that each may hold.
    #[serde(rename = "sockets", default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

/// Servers that are alike but for their speed, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// The number of servers.
    pub count: usize,
    /// The prefix of their names.
    pub name: Spanned<String>,
    /// Their zone.
    pub zone: String,
    /// The speed of the first and of the last server; the others' lie between, in even steps.
    #[serde(default = "default_speeds")]
    pub speed: Spanned<(f64, f64)>,
    /// The number of requests that each executes at a time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The number of requests that may wait in the queue of each.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// When they start, in slow start; without it, they started long ago.
    pub starts_ms: Option<u64>,
    /// How each degrades under load; without it, it doesn't.
    #[serde(rename = "choke")]
    pub degradation: Option<Degradation>,
}

fn default_speeds() -> Spanned<(f64, f64)> {
    Spanned::new(default_speed().span(), (1.0, 1.0))
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: Spanned<String>,
    /// Whether its requests may take effect more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Which servers drop repeats of keyed requests ...
    #[serde(rename = "scope", default = "default_dedup_scope")]
    pub dedup_scope: DedupScope,
    /// ... and for how long.
    #[serde(rename = "window_ms", default = "default_dedup_window_ms")]
    pub dedup_window_ms: u64,
    /// Its weight among the classes when a request is drawn.
    #[serde(rename = "share")]
    pub weight: Spanned<f64>,
    /// The shortest and the longest service time of a request on a standard server.
    #[serde(rename = "work_ms")]
    pub service_time_ms: Spanned<(u64, u64)>,
    /// A response within this time has its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// How long clients wait.
    pub deadline_ms: Spanned<u64>,
}

fn default_dedup_scope() -> DedupScope {
    DedupScope::Zone
}

fn default_dedup_window_ms() -> u64 {
    2000
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Requests a second over all nodes, retries not counted; they arrive at random times, independent of responses.
    pub rate: Spanned<f64>,
    /// How often a client retries after a rejection, a failure or no response.
    #[serde(default)]
    pub retries: u32,
    /// The backoff before a retry; longer if the node asks for more.
    #[serde(default)]
    pub backoff_ms: u64,
}

/// The network between the machines.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// The latency of a message within a zone, and between a node and its clients or discovery.
    #[serde(rename = "within_us")]
    pub latency_in_zone_us: u64,
    /// The latency of a message between zones.
    #[serde(rename = "between_us")]
    pub latency_between_zones_us: u64,
}

/// Discovery.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// How long a change takes until it is in the endpoint list.
    #[serde(rename = "notice_ms")]
    pub propagation_delay_ms: u64,
    /// Whether the nodes have the first endpoint list in their configuration.
    #[serde(rename = "known")]
    pub is_preconfigured: bool,
}

/// The parameters of the rules.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleParameters {
    /// How long after a node has been notified of a draining server new requests may reach the server.
    pub drain_grace_ms: u64,
    /// How long after its client's deadline a response still counts.
    #[serde(rename = "answer_slack_ms")]
    pub response_slack_ms: u64,
    /// The fraction of its capacity that a server starts with.
    #[serde(rename = "start_share")]
    pub slow_start_capacity: f64,
    /// How long slow start lasts.
    #[serde(rename = "warm_ms")]
    pub slow_start_duration_ms: u64,
    /// A server in slow start is overloaded by more than this multiple of its capacity ...
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// ... over this time.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// The number of attempts that a request may have.
    pub attempts: u32,
}

impl Default for RuleParameters {
    fn default() -> Self {
        Self {
            drain_grace_ms: 500,
            response_slack_ms: 20,
            slow_start_capacity: 0.12,
            slow_start_duration_ms: 24_000,
            overload_multiple: 2.5,
            overload_window_ms: 1500,
            attempts: 4,
        }
    }
}

/// Expectations besides the rules.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// The least fraction of the requests that is served.
    #[serde(rename = "served")]
    pub min_served_fraction: f64,
    /// In a zone's outage: the time within which all its nodes stop sending to it, ...
    #[serde(rename = "left_ms")]
    pub max_failover_ms: Option<u64>,
    /// ... the most attempts that are sent to it, ...
    #[serde(rename = "spent")]
    pub max_failed_over_attempts: Option<usize>,
    /// ... the least fraction served in any second, ...
    #[serde(rename = "worst_second")]
    pub min_served_fraction_in_a_second: Option<f64>,
    /// ... and the time after the outage within which it has nine tenths of its load again.
    #[serde(rename = "full_back_ms")]
    pub max_recovery_ms: Option<u64>,
    /// The most load that a server in slow start gets, as a multiple of its capacity.
    #[serde(rename = "cold")]
    pub max_slow_start_load: Option<f64>,
    /// The most times that a node leaves a healthy zone.
    #[serde(rename = "strayed")]
    pub max_false_ejections: Option<usize>,
}

/// A fault as it stands in the file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The name of its kind.
    pub kind: Spanned<String>,
    /// When it begins, from the start of the scenario.
    pub at_ms: Spanned<u64>,
    /// How long it lasts; without it, to the end.
    #[serde(rename = "for_ms")]
    pub duration_ms: Option<u64>,
    /// The server that it affects.
    pub server: Option<Spanned<String>>,
    /// The node that it affects.
    pub node: Option<Spanned<String>>,
    /// Or all servers or nodes of a zone ...
    pub zone: Option<Spanned<String>>,
    /// ... or a fraction of these, or of all; the seed draws which.
    #[serde(rename = "share")]
    pub fraction: Option<Spanned<f64>>,
    /// `reset`: the number of bytes of the response before it.
    pub after_bytes: Option<Spanned<u64>>,
    /// `late`, `slow-link`: the delay.
    #[serde(rename = "by_ms")]
    pub delay_ms: Option<Spanned<u64>>,
    /// `slow`: the factor on service times.
    #[serde(rename = "times")]
    pub slowdown: Option<Spanned<f64>>,
    /// `lossy-link`: the fraction of messages that is lost.
    pub loss: Option<Spanned<f64>>,
    /// The probability that a request is affected; 1 without it.
    #[serde(rename = "chance")]
    pub probability: Option<Spanned<f64>>,
    /// Links: the other end, a zone or one of `all`, `servers`, `list`, `nodes` and `clients`.
    pub to: Option<Spanned<String>>,
    /// Links: `both` directions, from the node `there`, or `back`.
    #[serde(rename = "way")]
    pub direction: Option<Spanned<String>>,
    /// The number of parts in which a group is affected, one after the other.
    pub waves: Option<Spanned<u64>>,
    /// The number of times that it occurs.
    #[serde(rename = "repeat")]
    pub repetitions: Option<Spanned<u64>>,
    /// The time between waves and repetitions.
    #[serde(rename = "every_ms")]
    pub interval_ms: Option<u64>,
}

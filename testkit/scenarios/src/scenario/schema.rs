//! The schema of scenario files. Keys are part of the file format; a field whose name differs from its key is mapped by
//! serde.

use std::collections::BTreeSet;

use serde::Deserialize;
use toml::Spanned;

use crate::outcome::{DedupScope, Idempotency};

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A one-line description.
    pub about: String,
    /// The settings file that operators give every node, as TOML; empty for none.
    #[serde(rename = "own", default)]
    pub operator_settings: String,
    /// Whether the nodes gossip with each other. The operator settings have to enable zone health as well.
    #[serde(rename = "peers", default)]
    pub gossip: bool,
    /// How long clients send requests, from the start of the scenario.
    pub length_ms: Spanned<u64>,
    /// The nodes; after the expansion of the groups also the groups' members.
    #[serde(rename = "node", default)]
    pub nodes: Vec<Node>,
    /// Groups of nodes.
    #[serde(rename = "nodes", default)]
    pub node_groups: Vec<NodeGroup>,
    /// The match servers; after the expansion of the groups also the groups' members.
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
    /// The limits that the rules check.
    #[serde(default)]
    pub rules: RuleParameters,
    /// Expectations that are checked in addition to the rules.
    #[serde(rename = "expect", default)]
    pub expectations: Expectations,
    /// The faults.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// The zones of all nodes and servers, sorted by name, without duplicates.
    pub fn zones(&self) -> Vec<&str> {
        let of_nodes = self.nodes.iter().map(|node| node.zone.as_str());
        let of_servers = self.servers.iter().map(|server| server.zone.as_str());
        let zones: BTreeSet<&str> = of_nodes.chain(of_servers).collect();
        zones.into_iter().collect()
    }
}

/// A single node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The node's name.
    pub name: Spanned<String>,
    /// The name of the node's zone.
    pub zone: String,
    /// The maximum number of file descriptors of the node's process.
    #[serde(rename = "sockets", default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

fn default_max_descriptors() -> usize {
    1024
}

/// A single match server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The server's name.
    pub name: Spanned<String>,
    /// The name of the server's zone.
    pub zone: String,
    /// The number of the server's cell, the smallest deduplication scope.
    #[serde(default)]
    pub cell: u64,
    /// The server's speed as a multiple of a standard server's.
    #[serde(default = "default_speed")]
    pub speed: Spanned<f64>,
    /// The number of requests that the server executes concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The capacity of the server's queue, in requests.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// When the server starts, followed by slow start; if absent, the server runs from the beginning, past slow start.
    pub starts_ms: Option<u64>,
    /// How the server degrades under load; if absent, it does not degrade.
    #[serde(rename = "choke")]
    pub degradation: Option<Degradation>,
}

/// How a server slows down under load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Degradation {
    /// The queue length at which the server degrades if it lasts for `after_ms`.
    #[serde(rename = "waiting")]
    pub queue_length: usize,
    /// How long the queue has to have this length before the server degrades.
    #[serde(rename = "over_ms")]
    pub after_ms: Spanned<u64>,
    /// The factor on service times of a degraded server.
    #[serde(rename = "slower")]
    pub slowdown: Spanned<f64>,
    /// How long a degraded server has to be mostly idle before it recovers.
    #[serde(rename = "rest_ms")]
    pub recovery_ms: Spanned<u64>,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum LoadReports {
    /// In each response.
    #[default]
    #[serde(rename = "answers")]
    Responses,
    /// In responses to health checks only.
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

/// A group of identical nodes, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeGroup {
    /// The number of nodes.
    pub count: usize,
    /// The prefix of the members' names.
    pub name: Spanned<String>,
    /// The name of the members' zone.
    pub zone: String,
    /// The maximum number of file descriptors of each node's process.
    #[serde(rename = "sockets", default = "default_max_descriptors")]
    pub max_descriptors: usize,
}

/// A group of servers that differ in speed only, named `NAME0`, `NAME1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// The number of servers.
    pub count: usize,
    /// The prefix of the members' names.
    pub name: Spanned<String>,
    /// The name of the members' zone.
    pub zone: String,
    /// The speeds of the first and the last server; the speeds of the others are evenly spaced between them.
    #[serde(default = "default_speeds")]
    pub speed: Spanned<(f64, f64)>,
    /// The number of requests that each server executes concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// The capacity of each server's queue, in requests.
    #[serde(rename = "queue", default = "default_queue_capacity")]
    pub queue_capacity: usize,
    /// When the servers start, followed by slow start; if absent, they run from the beginning, past slow start.
    pub starts_ms: Option<u64>,
    /// How each server degrades under load; if absent, the servers do not degrade.
    #[serde(rename = "choke")]
    pub degradation: Option<Degradation>,
}

fn default_speeds() -> Spanned<(f64, f64)> {
    Spanned::new(default_speed().span(), (1.0, 1.0))
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name.
    pub name: Spanned<String>,
    /// Whether requests of the class may take effect more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The servers that drop repeats of keyed requests.
    #[serde(rename = "scope", default = "default_dedup_scope")]
    pub dedup_scope: DedupScope,
    /// How long repeats of keyed requests are dropped.
    #[serde(rename = "window_ms", default = "default_dedup_window_ms")]
    pub dedup_window_ms: u64,
    /// The weight of the class when the class of a request is drawn.
    #[serde(rename = "share")]
    pub weight: Spanned<f64>,
    /// The minimum and the maximum service time of a request on a standard server.
    #[serde(rename = "work_ms")]
    pub service_time_ms: Spanned<(u64, u64)>,
    /// The time within which a response has its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// How long clients wait for a response.
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
    /// The mean rate of requests a second over all nodes, without retries. Arrivals are an open-loop Poisson process.
    pub rate: Spanned<f64>,
    /// The maximum number of retries after a rejection, a failure or a missing response.
    #[serde(default)]
    pub retries: u32,
    /// The minimum backoff before a retry; a longer `Retry-After` of the node takes precedence.
    #[serde(default)]
    pub backoff_ms: u64,
}

/// The latencies of the simulated network.
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

/// How discovery behaves without faults.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// The delay from a change of a server to its appearance in the endpoint list.
    #[serde(rename = "notice_ms")]
    pub propagation_delay_ms: u64,
    /// Whether the nodes' configuration contains the initial endpoint list.
    #[serde(rename = "known")]
    pub is_preconfigured: bool,
}

/// The limits that the rules check.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleParameters {
    /// How long after the notification of a node about a drain new requests may still reach the server.
    pub drain_grace_ms: u64,
    /// How long after the client's deadline a response still counts as in time.
    #[serde(rename = "answer_slack_ms")]
    pub response_slack_ms: u64,
    /// The fraction of its full capacity that a server has at the beginning of slow start.
    #[serde(rename = "start_share")]
    pub slow_start_capacity: f64,
    /// How long slow start lasts.
    #[serde(rename = "warm_ms")]
    pub slow_start_duration_ms: u64,
    /// The load, as a multiple of the current capacity, above which a server in slow start is overloaded.
    #[serde(rename = "tip_multiple")]
    pub overload_multiple: f64,
    /// The time over which the load of a server in slow start is compared with its capacity.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// The maximum number of attempts of a request.
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

/// Expectations that are checked in addition to the rules; absent ones are not checked.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Expectations {
    /// The minimum fraction of requests served.
    #[serde(rename = "served")]
    pub min_served_fraction: f64,
    /// The maximum time from the start of a zone's outage until all its nodes stop sending to the zone.
    #[serde(rename = "left_ms")]
    pub max_failover_ms: Option<u64>,
    /// The maximum number of attempts at a zone during its outage.
    #[serde(rename = "spent")]
    pub max_failed_over_attempts: Option<usize>,
    /// The minimum fraction of requests served in any second of a zone's outage.
    #[serde(rename = "worst_second")]
    pub min_served_fraction_in_a_second: Option<f64>,
    /// The maximum time from the end of a zone's outage until the zone has nine tenths of its usual load.
    #[serde(rename = "full_back_ms")]
    pub max_recovery_ms: Option<u64>,
    /// The maximum load of a server in slow start, as a multiple of its current capacity.
    #[serde(rename = "cold")]
    pub max_slow_start_load: Option<f64>,
    /// The maximum number of times that nodes leave a healthy zone.
    #[serde(rename = "strayed")]
    pub max_false_ejections: Option<usize>,
}

/// A `[[fault]]` table before its validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The name of the kind of fault.
    pub kind: Spanned<String>,
    /// When the fault begins, from the start of the scenario.
    pub at_ms: Spanned<u64>,
    /// How long the fault lasts; if absent, to the end of the run.
    #[serde(rename = "for_ms")]
    pub duration_ms: Option<u64>,
    /// The name of the affected server; absent for groups and other kinds of faults.
    pub server: Option<Spanned<String>>,
    /// The name of the affected node; absent for groups and other kinds of faults.
    pub node: Option<Spanned<String>>,
    /// The zone whose servers or nodes are affected as a group.
    pub zone: Option<Spanned<String>>,
    /// The fraction of a group that is affected, drawn from the seed; of all servers or nodes if `zone` is absent.
    #[serde(rename = "share")]
    pub fraction: Option<Spanned<f64>>,
    /// For `reset`: the number of bytes of the response before the reset.
    pub after_bytes: Option<Spanned<u64>>,
    /// For `late` and `slow-link`: the additional delay.
    #[serde(rename = "by_ms")]
    pub delay_ms: Option<Spanned<u64>>,
    /// For `slow`: the factor on service times.
    #[serde(rename = "times")]
    pub slowdown: Option<Spanned<f64>>,
    /// For `lossy-link`: the fraction of messages that is lost.
    pub loss: Option<Spanned<f64>>,
    /// The probability that a request is affected; 1 if absent.
    #[serde(rename = "chance")]
    pub probability: Option<Spanned<f64>>,
    /// For faults of links: the remote end, which is a zone, `all`, `servers`, `list`, `nodes` or `clients`.
    pub to: Option<Spanned<String>>,
    /// For faults of links: `there` for messages from the node, `back` for messages to the node, or `both`.
    #[serde(rename = "way")]
    pub direction: Option<Spanned<String>>,
    /// The number of equal parts of a group that are affected one after the other; 1 if absent.
    pub waves: Option<Spanned<u64>>,
    /// The number of times that the fault occurs; 1 if absent.
    #[serde(rename = "repeat")]
    pub repetitions: Option<Spanned<u64>>,
    /// The time between the starts of consecutive waves and repetitions; 0 if absent.
    #[serde(rename = "every_ms")]
    pub interval_ms: Option<u64>,
}

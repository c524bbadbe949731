//! Plans: a scenario with the arrivals and faults of one run, drawn from a seed or read from a repro file.

mod repro;

use std::rc::Rc;

use badgerpost_fakes::random::Random;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};
use serde::{Deserialize, Serialize};

use crate::index::{ClassIndex, NodeIndex, TargetIndex, ZoneIndex};
use crate::scenario::{FaultKind, FaultTarget, LinkEnd, LoadedScenario, PlannedFault, Scenario};

pub use repro::ReproError;

/// When clients begin to send requests; the nodes have the endpoint list by then.
const FIRST_ARRIVAL: Nanos = 200 * MILLISECOND;
/// The maximum number of arrivals of a run, which bounds the memory for the log.
pub const MAX_REQUESTS: usize = 1_000_000;
/// The minimum rate of requests, which keeps the mean interval between arrivals finite.
const MIN_REQUESTS_PER_SECOND: f64 = 1e-9;

/// The arrival of a request other than a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The number of the arrival in the plan drawn from the seed; the request's id and idempotency key derive from it.
    pub number: u64,
    /// When the request arrives, from the start of the scenario.
    pub at: Nanos,
    /// The request class.
    pub class: ClassIndex,
    /// The node that the request is sent to.
    pub node: NodeIndex,
    /// The service time on a standard server.
    #[serde(rename = "work")]
    pub service_time: Nanos,
}

/// Behaviour of clients and the platform that scenario files cannot describe. The default disables all of it; soaks
/// enable it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// The fraction of requests whose clients disconnect before the response.
    pub disconnecting: f64,
    /// The fraction of requests that are followed by an incomplete request head, which is never completed.
    pub half_heads: f64,
    /// The fraction of requests whose head is sent in two parts, with a pause slightly below the node's limit between them.
    pub slow_heads: f64,
    /// The fraction of requests that are pipelined after another request on the same connection.
    pub pipelined: f64,
    /// The number of connections to each node on which nothing is sent.
    pub silent_clients: usize,
    /// Whether nodes poll discovery instead of being notified by an agent.
    pub polled_discovery: bool,
    /// By how many milliseconds the nodes' wall clocks are ahead of the true time before and after the step.
    pub clocks_ahead_ms: (i64, i64),
    /// When the nodes' wall clocks step, from the start of the scenario.
    pub clocks_step_at: Nanos,
    /// Whether the platform's own limits apply instead of the scenario's. A stopping node gets repeated signals and is
    /// killed at the earliest time, changes of the endpoint list count from the change and not from the notification,
    /// and a server in slow start is overloaded as the platform specifies.
    pub strict: bool,
}

/// The scenario, arrivals and faults of one run.
#[derive(Clone)]
pub struct Plan {
    /// The scenario.
    pub scenario: Rc<LoadedScenario>,
    /// The seed from which the rest of the plan and random choices during the run are drawn.
    pub seed: u64,
    /// The arrivals, sorted by time; retries are not among them.
    pub arrivals: Vec<Arrival>,
    /// The faults, sorted by start time.
    pub faults: Vec<PlannedFault>,
    /// Behaviour that the scenario file cannot describe.
    pub behaviour: Behaviour,
}

impl Plan {
    /// A plan with the faults of the scenario, and arrivals drawn from a seed.
    pub fn draw(scenario: LoadedScenario, seed: u64) -> Self {
        Self {
            arrivals: draw_arrivals(&scenario.spec, seed),
            faults: scenario.faults.clone(),
            scenario: Rc::new(scenario),
            seed,
            behaviour: Behaviour::default(),
        }
    }

    /// Replaces the times, durations and targets of the faults by ones drawn from the seed.
    pub fn vary(mut self) -> Self {
        let mut random = Random::new(self.seed, "faults");
        for fault in &mut self.faults {
            vary_fault(fault, &self.scenario.spec, &mut random);
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }
}

/// Draws the arrivals of a scenario as a Poisson process over all classes and nodes.
fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = Random::new(seed, "arrivals");
    let mean_interval =
        SECOND as f64 / scenario.clients.rate.get_ref().max(MIN_REQUESTS_PER_SECOND);
    let end = scenario_end(scenario) as f64;
    let total_weight: f64 = scenario
        .classes
        .iter()
        .map(|class| class.weight.get_ref())
        .sum();
    let mut arrivals = Vec::new();
    let mut at = FIRST_ARRIVAL as f64;
    loop {
        at += random.exponential(mean_interval);
        if !(at < end && arrivals.len() < MAX_REQUESTS) {
            return arrivals;
        }
        let class = draw_class(scenario, random.uniform() * total_weight);
        let (min_ms, max_ms) = *scenario.classes[class.get()].service_time_ms.get_ref();
        let node = NodeIndex(draw_index(&mut random, scenario.nodes.len()));
        let service_time = random.between(min_ms * MILLISECOND, max_ms * MILLISECOND);
        arrivals.push(Arrival {
            number: arrivals.len() as u64,
            at: at as Nanos,
            class,
            node,
            service_time,
        });
    }
}

/// The class whose interval of the cumulative weights contains `point`.
fn draw_class(scenario: &Scenario, mut point: f64) -> ClassIndex {
    let class = scenario.classes.iter().position(|class| {
        point -= class.weight.get_ref();
        point < 0.0
    });
    ClassIndex(class.unwrap_or(0))
}

fn draw_index(random: &mut Random, count: usize) -> usize {
    random.between(0, count as u64 - 1) as usize
}

fn scenario_end(scenario: &Scenario) -> Nanos {
    scenario.length_ms.get_ref() * MILLISECOND
}

/// Draws a new time, duration and target for a fault.
fn vary_fault(fault: &mut PlannedFault, scenario: &Scenario, random: &mut Random) {
    fault.at = random.between(FIRST_ARRIVAL, scenario_end(scenario).max(FIRST_ARRIVAL));
    fault.duration = fault
        .duration
        .map(|duration| random.between(duration / 4, duration.saturating_mul(2)));
    if let FaultKind::Link(link) = &mut fault.kind
        && let LinkEnd::Zone(zone) = &mut link.remote
    {
        *zone = ZoneIndex(draw_index(random, scenario.zones().len()));
    }
    match &mut fault.target {
        FaultTarget::Group(group) => {
            if let Some(zone) = &mut group.zone {
                *zone = ZoneIndex(draw_index(random, scenario.zones().len()));
            }
        }
        FaultTarget::Single(index) if fault.kind.affects_server() => {
            *index = TargetIndex(draw_index(random, scenario.servers.len()));
        }
        FaultTarget::Single(index) if fault.kind.affects_node() => {
            *index = TargetIndex(draw_index(random, scenario.nodes.len()));
        }
        FaultTarget::Single(_) => {}
    }
}

#[cfg(test)]
mod tests;

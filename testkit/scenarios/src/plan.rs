//! Plans: a scenario with the requests and faults of one run, drawn from a seed or read from a repro file.

mod repro;

use std::rc::Rc;

use badgerpost_fakes::random::Random;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};
use serde::{Deserialize, Serialize};

use crate::index::{ClassIndex, NodeIndex, TargetIndex, ZoneIndex};
use crate::scenario::{FaultKind, FaultTarget, LinkEnd, LoadedScenario, PlannedFault, Scenario};

pub use repro::ReproError;

/// When clients begin: the nodes have the endpoint list by then.
const FIRST_ARRIVAL: Nanos = 200 * MILLISECOND;
/// The most requests of a run: its log has to fit into memory.
pub const MAX_REQUESTS: usize = 1_000_000;
/// The lowest rate of requests a second, so that the mean time between two is a number.
const MIN_RATE: f64 = 1e-9;

/// The arrival of a request that is no retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its number in the plan of the seed, from which its id, key and service time follow.
    pub number: u64,
    /// When it arrives, from the start of the scenario.
    pub at: Nanos,
    /// Its class.
    pub class: ClassIndex,
    /// The node that it is sent to.
    pub node: NodeIndex,
    /// The service time on a standard server.
    #[serde(rename = "work")]
    pub service_time: Nanos,
}

/// What clients and the platform do beyond what a scenario can say. All off but in a soak.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Behaviour {
    /// The fraction of requests whose clients disconnect before the response.
    pub disconnecting: f64,
    /// The fraction of requests that are followed by half a request head, of which no more comes.
    pub half_heads: f64,
    /// The fraction of requests whose head comes in two parts, with a pause that is just within a node's time limit.
    pub slow_heads: f64,
    /// The fraction of requests that are pipelined behind another one on its connection.
    pub pipelined: f64,
    /// The number of connections to each node on which nothing is sent.
    pub silent_clients: usize,
    /// Whether nodes poll discovery, and are not notified by an agent.
    pub polled_discovery: bool,
    /// By how many milliseconds the nodes' wall clocks are ahead of the true time at first, and later.
    pub clocks_ahead_ms: (i64, i64),
    /// When they step from the one to the other.
    pub clocks_step_at: Nanos,
    /// Whether rules are checked to the letter of the platform's pages: a node that was asked to stop is killed at the
    /// earliest time, with signals in series before; a change of the list counts in time whether or not it was told; a
    /// server in slow start falls as the pages say.
    pub strict: bool,
}

/// What a run plays.
#[derive(Clone)]
pub struct Plan {
    /// The scenario.
    pub scenario: Rc<LoadedScenario>,
    /// The seed.
    pub seed: u64,
    /// The requests that are no retries, by time.
    pub arrivals: Vec<Arrival>,
    /// The faults, by time.
    pub faults: Vec<PlannedFault>,
    /// What a scenario can't say.
    pub behaviour: Behaviour,
}

impl Plan {
    /// A scenario as it is written, with arrivals drawn from a seed.
    pub fn draw(scenario: LoadedScenario, seed: u64) -> Self {
        Self {
            arrivals: draw_arrivals(&scenario.spec, seed),
            faults: scenario.faults.clone(),
            scenario: Rc::new(scenario),
            seed,
            behaviour: Behaviour::default(),
        }
    }

    /// The same with the faults at other times, of other durations and with other targets, drawn from the seed.
    pub fn vary(mut self) -> Self {
        let mut random = Random::new(self.seed, "faults");
        for fault in &mut self.faults {
            vary_fault(fault, &self.scenario.spec, &mut random);
        }
        self.faults.sort_by_key(|fault| fault.at);
        self
    }
}

/// Draws the arrivals of a scenario: a Poisson process over all classes and nodes.
fn draw_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut random = Random::new(seed, "arrivals");
    let mean_interval = SECOND as f64 / scenario.clients.rate.get_ref().max(MIN_RATE);
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

/// The class in whose part of the summed weights `point` lies.
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

/// Draws another time, duration and target for a fault.
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

//! Builds a simulation from a plan: opens all sockets and schedules the events that the plan fixes in advance.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use badgerpost_fakes::discovery::{Discovery, State};
use badgerpost_fakes::net::{BoundSocket, LoopbackNetwork};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::server::{CongestionConfig, Server, ServerConfig};
use badgerpost_time::{MILLISECOND, Nanos};

use super::connection::ListenerOwner;
use super::events::{ScheduledEvent, ServerEvent};
use super::node_state::{GossipEndpoint, SimulatedNode};
use super::server_state::{SimulatedServer, entry};
use super::state::{Misbehaviour, Simulation};
use crate::plan::Plan;
use crate::scenario::{PlannedFault, Scenario};

/// How often a server refreshes its load report.
const LOAD_REPORT_PERIOD: Nanos = 100 * MILLISECOND;
/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Simulation {
    /// Opens the sockets of all servers and nodes. `base` is the Unix time at the start of the scenario; `gossip`
    /// enables gossip between the nodes even if the scenario does not.
    pub fn new(plan: Plan, base: Nanos, gossip: bool) -> io::Result<Self> {
        let mut simulation = Self::empty(plan, base)?;
        for index in 0..simulation.plan.scenario.spec.servers.len() {
            simulation.add_server(index)?;
        }
        let gossip = gossip || simulation.plan.scenario.spec.gossip;
        for index in 0..simulation.plan.scenario.spec.nodes.len() {
            simulation.add_node(index, gossip)?;
        }
        simulation.schedule_faults();
        simulation.schedule_arrivals();
        simulation.schedule_misbehaviour();
        simulation.schedule_server_starts();
        Ok(simulation)
    }

    fn empty(plan: Plan, base: Nanos) -> io::Result<Self> {
        Ok(Self {
            net: LoopbackNetwork::new()?,
            now: 0,
            base,
            queue: BTreeMap::new(),
            next_event_number: 0,
            servers: Vec::new(),
            nodes: Vec::new(),
            listeners: BTreeMap::new(),
            connections: BTreeMap::new(),
            discovery: Discovery::default(),
            watch_count: 0,
            requests: Vec::new(),
            request_by_id: HashMap::new(),
            keys_seen: BTreeMap::new(),
            pending_requests: plan.arrivals.len(),
            unknown_requests: 0,
            running_node: None,
            impairments: Vec::new(),
            held_messages: Vec::new(),
            random: Random::new(plan.seed, "links"),
            misbehaviour: Misbehaviour::new(plan.seed),
            plan,
        })
    }

    fn add_server(&mut self, index: usize) -> io::Result<()> {
        let BoundSocket {
            id: listener,
            address,
        } = self.net.listen(ANY_PORT)?;
        self.listeners
            .insert(listener, ListenerOwner::Server(index));
        let scenario = &self.plan.scenario.spec;
        let server = &scenario.servers[index];
        let is_up = server.starts_ms.is_none();
        if !is_up {
            self.net.stop_listening(listener)?;
        }
        let server_state = SimulatedServer {
            name: server.name.get_ref().clone(),
            zone: server.zone.clone(),
            zone_index: zone_index(scenario, &server.zone),
            cell: server.cell,
            listener,
            address,
            model: Server::new(server_config(&self.plan, index), None, 0),
            jobs: BTreeMap::new(),
            next_job: 0,
            held_jobs: Vec::new(),
            next_completion_at: None,
            faults: Vec::new(),
            is_up,
            started_at: None,
            slow_start_peak: 0.0,
            slow_start_sends: VecDeque::new(),
            unlisted_since: None,
        };
        if is_up {
            self.discovery
                .set(entry(&server_state, State::Ready, self.base));
        }
        self.servers.push(server_state);
        Ok(())
    }

    fn add_node(&mut self, index: usize, gossip: bool) -> io::Result<()> {
        let BoundSocket {
            id: listener,
            address: discovery_address,
        } = self.net.listen(ANY_PORT)?;
        self.listeners
            .insert(listener, ListenerOwner::Discovery(index));
        let gossip_socket = gossip
            .then(|| self.net.bind_datagrams(ANY_PORT))
            .transpose()?;
        let scenario = &self.plan.scenario.spec;
        let node = &scenario.nodes[index];
        self.nodes.push(SimulatedNode {
            name: node.name.get_ref().clone(),
            zone_index: zone_index(scenario, &node.zone),
            listen_address: None,
            discovery_address,
            is_up: false,
            is_paused: false,
            paused_until: 0,
            idle_connections: Vec::new(),
            drain_notified_at: BTreeMap::new(),
            notified_starts: BTreeMap::new(),
            shutdown_started_at: None,
            open_connections: 0,
            ended_connections: 0,
            gossip: gossip_socket.map(
                |BoundSocket {
                     id: socket,
                     address,
                 }| GossipEndpoint {
                    socket,
                    advertised_address: address,
                    node_address: None,
                    sent_datagrams: 0,
                    sent_bytes: 0,
                },
            ),
        });
        Ok(())
    }

    fn schedule_faults(&mut self) {
        for fault in 0..self.plan.faults.len() {
            let PlannedFault { at, duration, .. } = self.plan.faults[fault];
            self.schedule(at, ScheduledEvent::FaultStart { fault });
            if let Some(duration) = duration {
                let end = at.saturating_add(duration);
                self.schedule(end, ScheduledEvent::FaultEnd { fault });
            }
        }
    }

    fn schedule_arrivals(&mut self) {
        for arrival in 0..self.plan.arrivals.len() {
            let at = self.plan.arrivals[arrival].at;
            self.schedule(at, ScheduledEvent::RequestArrival { arrival });
        }
    }

    fn schedule_server_starts(&mut self) {
        for server in 0..self.plan.scenario.spec.servers.len() {
            if let Some(at) = self.plan.scenario.spec.servers[server].starts_ms {
                let start = ServerEvent::Start { server };
                self.schedule(at * MILLISECOND, ScheduledEvent::Server(start));
            }
        }
    }
}

/// The index of a zone in the scenario's list of zones.
fn zone_index(scenario: &Scenario, zone: &str) -> usize {
    let zones = scenario.zones();
    zones.iter().position(|name| *name == zone).unwrap_or(0)
}

fn server_config(plan: &Plan, index: usize) -> ServerConfig {
    let scenario = &plan.scenario.spec;
    let (server, rules) = (&scenario.servers[index], &scenario.rules);
    ServerConfig {
        slots: server.slots.max(1),
        queue_limit: server.queue_capacity,
        speed: *server.speed.get_ref(),
        slow_start_capacity: rules.slow_start_capacity,
        slow_start_duration: rules.slow_start_duration_ms * MILLISECOND,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window_ms * MILLISECOND,
        report_period: LOAD_REPORT_PERIOD,
        mean_service_time: plan.behaviour.strict.then(|| mean_service_time(scenario)),
        congestion: server
            .degradation
            .as_ref()
            .map(|degradation| CongestionConfig {
                queue_threshold: degradation.queue_length,
                onset: degradation.after_ms.get_ref() * MILLISECOND,
                slowdown: *degradation.slowdown.get_ref(),
                recovery: degradation.recovery_ms.get_ref() * MILLISECOND,
            }),
    }
}

/// The mean service time of a scenario's requests, weighted by class.
fn mean_service_time(scenario: &Scenario) -> Nanos {
    let (mut weighted_sum, mut total_weight) = (0.0, 0.0);
    for class in &scenario.classes {
        let (min, max) = *class.service_time_ms.get_ref();
        weighted_sum += class.weight.get_ref() * (min + max) as f64 / 2.0;
        total_weight += class.weight.get_ref();
    }
    (weighted_sum / total_weight * MILLISECOND as f64) as Nanos
}

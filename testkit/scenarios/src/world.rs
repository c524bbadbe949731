//! All peers of the rehearsed nodes: the stand-ins' models on their sockets, the faults, and the outcome log.
//! One thing at a time happens here, in an order that follows from the plan alone; who moves the time on is left
//! to `run.rs`.

mod clients;
mod faults;
mod links;
mod list;
mod misbehaviour;
mod peers;
mod servers;
mod stage;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

use badgerpost_fakes::discovery::{Discovery, State};
use badgerpost_fakes::message::{MessageDecoder, MessageKind};
use badgerpost_fakes::net::{BoundSocket, ConnId, LoopbackNetwork, NetworkEvent};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::server::{CongestionConfig, Server, ServerConfig};

use crate::outcome::AttemptOutcome;
use crate::plan::Plan;
use crate::scenario::{PlannedFault, Scenario};
use badgerpost_time::{MILLISECOND, Nanos};
use misbehaviour::Misbehaviour;
pub use peers::PEERS_KEY;
pub use stage::{Fired, Order, SOCKETS, StopSignal, World};
use stage::{NodeSide, Peer, Place, Site, Talk, Todo, entry};

/// How often servers refresh their load report.
const REPORT_PERIOD: Nanos = 100 * MILLISECOND;

/// The mean work of a scene's requests.
fn mean_work(scene: &Scenario) -> Nanos {
    let (mut total, mut shares) = (0.0, 0.0);
    for class in &scene.classes {
        let (least, most) = *class.service_time_ms.get_ref();
        total += class.weight.get_ref() * (least + most) as f64 / 2.0;
        shares += class.weight.get_ref();
    }
    (total / shares * MILLISECOND as f64) as Nanos
}

impl World {
    /// Sets the stage: all sockets listen.
    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    pub fn new(plan: Plan, base: Nanos, peers: bool) -> io::Result<Self> {
        let mut net = LoopbackNetwork::new()?;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let scenario = plan.scenario.clone();
        let rules = &scenario.spec.rules;
        let (mut places, mut sites, mut nodes) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut list = Discovery::default();
        let zones = scenario.spec.zones();
        let zone_number = |zone: &str| zones.iter().position(|one| *one == zone).unwrap_or(0);
        for (number, server) in scenario.spec.servers.iter().enumerate() {
            let BoundSocket {
                id: listener,
                address: at,
            } = net.listen(loopback)?;
            places.insert(listener, Place::Server(number));
            let config = ServerConfig {
                slots: server.slots.max(1),
                queue_limit: server.queue_capacity,
                speed: *server.speed.get_ref(),
                slow_start_capacity: rules.slow_start_capacity,
                slow_start_duration: rules.slow_start_duration_ms * MILLISECOND,
                overload_multiple: rules.overload_multiple,
                overload_window: rules.overload_window_ms * MILLISECOND,
                report_period: REPORT_PERIOD,
                mean_service_time: plan.behaviour.strict.then(|| mean_work(&scenario.spec)),
                congestion: server
                    .degradation
                    .as_ref()
                    .map(|degradation| CongestionConfig {
                        queue_threshold: degradation.queue_length,
                        onset: degradation.after_ms.get_ref() * MILLISECOND,
                        slowdown: *degradation.slowdown.get_ref(),
                        recovery: degradation.recovery_ms.get_ref() * MILLISECOND,
                    }),
            };
            let up = server.starts_ms.is_none();
            if !up {
                net.stop_listening(listener)?;
            }
            let site = Site {
                name: server.name.get_ref().clone(),
                zone: server.zone.clone(),
                zone_number: zone_number(&server.zone),
                cell: server.cell,
                listener,
                at,
                model: Server::new(config, None, 0),
                jobs: BTreeMap::new(),
                next_job: 0,
                held: Vec::new(),
                wake: None,
                troubles: Vec::new(),
                up,
                booted: None,
                cold_peak: 0.0,
                cold_sends: VecDeque::new(),
                unlisted_since: None,
            };
            if up {
                list.set(entry(&site, State::Ready, base));
            }
            sites.push(site);
        }
        for (number, node) in scenario.spec.nodes.iter().enumerate() {
            let BoundSocket {
                id: listener,
                address: list_at,
            } = net.listen(loopback)?;
            places.insert(listener, Place::List(number));
            let name = node.name.get_ref().clone();
            let talks = (peers || scenario.spec.gossip)
                .then(|| net.bind_datagrams(loopback))
                .transpose()?;
            let (idle, told, open, ended) = (Vec::new(), BTreeMap::new(), 0, 0);
            let zone_number = zone_number(&node.zone);
            nodes.push(NodeSide {
                name,
                zone_number,
                listen: None,
                list_at,
                up: false,
                paused: false,
                idle,
                told,
                told_starts: BTreeMap::new(),
                stopping: None,
                open,
                ended,
                talk: talks.map(
                    |BoundSocket {
                         id: door,
                         address: at,
                     }| Talk {
                        door,
                        at,
                        real: None,
                        datagrams: 0,
                        bytes: 0,
                    },
                ),
            });
        }
        let pending = plan.arrivals.len();
        let mut world = Self {
            net,
            now: 0,
            base,
            queue: BTreeMap::new(),
            next: 0,
            sites,
            nodes,
            places,
            peers: BTreeMap::new(),
            list,
            watches: 0,
            requests: Vec::new(),
            ids: HashMap::new(),
            keys: BTreeMap::new(),
            pending,
            strangers: 0,
            running: None,
            bad_links: Vec::new(),
            stuck: Vec::new(),
            random: Random::new(plan.seed, "links"),
            misbehaviour: Misbehaviour::new(plan.seed),
            plan,
        };
        for number in 0..world.plan.faults.len() {
            let PlannedFault { at, duration, .. } = world.plan.faults[number];
            world.at(at, Todo::FaultOn(number));
            duration
                .into_iter()
                .for_each(|duration| world.at(at.saturating_add(duration), Todo::FaultOff(number)));
        }
        for number in 0..world.plan.arrivals.len() {
            world.at(world.plan.arrivals[number].at, Todo::Arrive(number));
        }
        world.begin_misbehaviour();
        for (number, server) in scenario.spec.servers.iter().enumerate() {
            server
                .starts_ms
                .into_iter()
                .for_each(|at| world.at(at * MILLISECOND, Todo::Starts(number)));
        }
        Ok(world)
    }

    /// Does the next thing. Something is written to one connection at most.
    pub fn fire(&mut self) -> io::Result<Fired> {
        let Some(((at, _), todo)) = self.queue.pop_first() else {
            return Ok(Fired::default());
        };
        self.advance(at);
        let touched = match todo {
            Todo::Arrive(number) => self.arrive(number, None),
            Todo::Retry(of) => self.arrive(self.requests[of].arrival, Some(of)),
            Todo::Resend(request, node) => self.put(request, node, true),
            Todo::Due(request) => self.due(request),
            Todo::Done(server) => {
                self.server_done(server);
                None
            }
            Todo::Answer(sending) => self.send(*sending),
            Todo::Goes(carried) => self.carry(*carried),
            Todo::Arrives(carried) => self.arrives(*carried),
            Todo::Datagram(to, bytes) => self.datagram_comes(to, &bytes),
            Todo::Reset(conn) => self.reset(conn),
            Todo::Hang(conn) => self.close(conn),
            Todo::WatchOver(conn, number) => self.watch_over(conn, number),
            Todo::Tell(conn) => self.tell(conn),
            Todo::FaultOn(number) => return self.fault(number, true),
            Todo::FaultOff(number) => return self.fault(number, false),
            Todo::List(server, state, lists) => {
                self.list_state(server, state, lists);
                None
            }
            Todo::Starts(server) => {
                self.boot(server)?;
                None
            }
            Todo::Resume(server) => {
                self.resume(server);
                None
            }
            Todo::Leave(request) => self.leave(request),
            Todo::Silent(node) => self.fill_silent(node),
            Todo::Owed(conn) => self.is_owed(conn),
            Todo::Signal(node, since, signal) => {
                return Ok(self.signal_stopping(node, since, signal));
            }
            Todo::StepClock(node, ahead) => {
                return Ok(Fired {
                    touched: None,
                    orders: vec![Order::StepClock(node, ahead)],
                });
            }
        };
        Ok(Fired {
            touched,
            orders: Vec::new(),
        })
    }

    /// Takes in what has come on a socket.
    pub fn happened(&mut self, happening: NetworkEvent) {
        match happening {
            NetworkEvent::Accepted { listener, conn } => {
                let peer = match self.places.get(&listener) {
                    Some(&Place::Server(server)) => {
                        let decoder = MessageDecoder::new(MessageKind::Request);
                        Peer::Server {
                            server,
                            node: self.running,
                            decoder,
                            attempt: None,
                        }
                    }
                    Some(&Place::List(node)) => Peer::List {
                        node,
                        decoder: MessageDecoder::new(MessageKind::Request),
                        watch: None,
                    },
                    None => return,
                };
                self.adopt(conn, peer);
            }
            NetworkEvent::Received { conn, bytes } => match self.peers.get_mut(&conn) {
                Some(Peer::Server { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.server_reads(conn);
                }
                Some(Peer::List { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.list_reads(conn);
                }
                Some(Peer::Client { decoder, .. }) => {
                    decoder.push(&bytes);
                    self.client_reads(conn);
                }
                // An error, which is what it is owed.
                Some(Peer::Silent { .. }) => self.silent_ended(conn),
                None => {}
            },
            NetworkEvent::Datagram {
                socket,
                from,
                bytes,
            } => self.datagram_goes(socket, from, bytes),
            NetworkEvent::Closed { conn, .. } => self.ended(conn),
        }
    }

    fn ended(&mut self, conn: ConnId) {
        match self.forget(conn) {
            Some(Peer::Server { attempt, .. }) => {
                self.attempt_ends(attempt, AttemptOutcome::Abandoned);
            }
            Some(Peer::Client {
                node, open, last, ..
            }) => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                for (place, request) in open.into_iter().enumerate() {
                    self.client_cut_off(request, last.is_some() || place > 0);
                }
            }
            Some(Peer::Silent { node, since }) => self.note_silent_end(node, since),
            Some(Peer::List { .. }) | None => {}
        }
    }
}

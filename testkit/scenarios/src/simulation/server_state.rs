//! State of one simulated server.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use badgerpost_fakes::discovery::{Entry, State};
use badgerpost_fakes::net::ListenerId;
use badgerpost_fakes::server::Server;
use badgerpost_time::{MILLISECOND, Nanos};

use super::in_flight::ServerJob;
use crate::scenario::FaultKind;

/// A server: its model, its socket and its active faults.
pub(super) struct SimulatedServer {
    pub(super) name: String,
    pub(super) zone: String,
    /// Its position among the scene's zones.
    pub(super) zone_number: usize,
    pub(super) cell: u64,
    pub(super) listener: ListenerId,
    pub(super) at: SocketAddr,
    pub(super) model: Server,
    pub(super) jobs: BTreeMap<u64, ServerJob>,
    pub(super) next_job: u64,
    /// Requests received while the process was paused; bounded by its connections.
    pub(super) held: Vec<ServerJob>,
    pub(super) wake: Option<Nanos>,
    /// Active faults, each with the thousandths of the requests that it affects.
    pub(super) faults: Vec<(FaultKind, u16)>,
    pub(super) up: bool,
    pub(super) booted: Option<Nanos>,
    /// The highest load during slow start, as a multiple of the capacity at that time.
    pub(super) slow_start_peak: f64,
    /// Recent requests during slow start: when, and whether the node had been notified of the start.
    pub(super) slow_start_sends: VecDeque<(Nanos, bool)>,
    /// Since when discovery has listed it as draining or gone and was reachable.
    pub(super) unlisted_since: Option<Nanos>,
}

impl SimulatedServer {
    /// Whether a fault is active and affects a request with this draw, in thousandths.
    pub(super) fn has(&self, trouble: FaultKind, draw: u16) -> bool {
        self.faults
            .iter()
            .any(|(one, permille)| *one == trouble && draw < *permille)
    }

    /// The faults that affect a request with this draw, in thousandths, in the order in which they change its response.
    pub(super) fn faults_in_order(&self, draw: u16) -> Vec<FaultKind> {
        let strikes = |one: &&(FaultKind, u16)| draw < one.1;
        let struck = self.faults.iter().filter(strikes);
        let mut faults: Vec<FaultKind> = struck.map(|one| one.0).collect();
        faults.sort_by_key(|trouble| match trouble {
            FaultKind::CloseDelimited => 0,
            FaultKind::ResetConnection { .. } => 2,
            _ => 1,
        });
        faults
    }

    /// Sets the speed of the model to the slowest active fault.
    pub(super) fn update_slowdown(&mut self) {
        let slow = self.faults.iter().filter_map(|(trouble, _)| match trouble {
            FaultKind::SlowDown { percent } => Some(f64::from(*percent) / 100.0),
            _ => None,
        });
        let times = slow.fold(1.0, |most: f64, times| most.max(times));
        self.model.set_slowdown(times);
    }

    /// Whether its process is paused.
    pub(super) fn is_paused(&self) -> bool {
        self.has(FaultKind::PauseServer, 0)
    }

    /// Notes a request for the load during slow start; those before the window no longer count.
    pub(super) fn record_slow_start_send(&mut self, now: Nanos, is_notified: bool, window: Nanos) {
        self.slow_start_sends.push_back((now, is_notified));
        while self
            .slow_start_sends
            .front()
            .is_some_and(|(at, _)| now - at >= window)
        {
            self.slow_start_sends.pop_front();
        }
        self.slow_start_peak = self
            .slow_start_peak
            .max(self.model.slow_start_load(now).unwrap_or(0.0));
    }

    /// Whether more than two thirds of the recent requests came from nodes that knew of the start.
    pub(super) fn is_mostly_notified(&self) -> bool {
        let notified = self
            .slow_start_sends
            .iter()
            .filter(|(_, is_notified)| *is_notified)
            .count();
        3 * notified > 2 * self.slow_start_sends.len()
    }
}

/// The body of a response, by which the client recognises its own request and the server.
pub(super) fn response_body(id: &str, server: &str) -> Vec<u8> {
    format!("{id}@{server}").into_bytes()
}

/// The entry of a server in the endpoint list.
pub(super) fn entry(server_state: &SimulatedServer, state: State, base: Nanos) -> Entry {
    Entry {
        uid: server_state.name.clone(),
        endpoint: server_state.at,
        az: server_state.zone.clone(),
        model: "match".to_owned(),
        pod_group: server_state.cell,
        state,
        capacity_hint: 1.0,
        boot_ms: server_state
            .booted
            .map_or(0, |booted| (base + booted) / MILLISECOND),
    }
}

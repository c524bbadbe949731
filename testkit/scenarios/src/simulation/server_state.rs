//! The state of a simulated server.

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
    /// The index of the server's zone in the scenario.
    pub(super) zone_index: usize,
    pub(super) cell: u64,
    pub(super) listener: ListenerId,
    pub(super) address: SocketAddr,
    pub(super) model: Server,
    /// Requests accepted by the model, by ticket.
    pub(super) jobs: BTreeMap<u64, ServerJob>,
    /// The ticket of the next request.
    pub(super) next_job: u64,
    /// Requests received while the process was paused: at most one for each connection.
    pub(super) held_jobs: Vec<ServerJob>,
    /// The time of the earliest scheduled completion.
    pub(super) next_completion_at: Option<Nanos>,
    /// Active faults, each with the share of affected requests in thousandths.
    pub(super) faults: Vec<(FaultKind, u16)>,
    pub(super) is_up: bool,
    /// The last start during the scenario; absent if the server has been up from the beginning.
    pub(super) started_at: Option<Nanos>,
    /// The highest load during slow start, as a multiple of the capacity at that time.
    pub(super) slow_start_peak: f64,
    /// Recent requests: their time, and whether the node had been notified of the server's last start.
    pub(super) slow_start_sends: VecDeque<(Nanos, bool)>,
    /// Since when discovery has been reachable and has listed the server as draining or gone. Strict rules only.
    pub(super) unlisted_since: Option<Nanos>,
}

impl SimulatedServer {
    /// Whether a fault is active and affects a request with this draw, from 0 to 999.
    pub(super) fn has(&self, fault: FaultKind, draw: u16) -> bool {
        self.faults
            .iter()
            .any(|(active, permille)| *active == fault && draw < *permille)
    }

    /// The faults that affect a request with this draw, from 0 to 999, in the order in which they change the response.
    pub(super) fn faults_in_order(&self, draw: u16) -> Vec<FaultKind> {
        let is_affecting = |active: &&(FaultKind, u16)| draw < active.1;
        let affecting = self.faults.iter().filter(is_affecting);
        let mut faults: Vec<FaultKind> = affecting.map(|active| active.0).collect();
        faults.sort_by_key(|fault| match fault {
            FaultKind::CloseDelimited => 0,
            FaultKind::ResetConnection { .. } => 2,
            _ => 1,
        });
        faults
    }

    /// Sets the model's slowdown to the largest one of all active faults.
    pub(super) fn update_slowdown(&mut self) {
        let slowdowns = self.faults.iter().filter_map(|(fault, _)| match fault {
            FaultKind::SlowDown { percent } => Some(f64::from(*percent) / 100.0),
            _ => None,
        });
        let slowdown = slowdowns.fold(1.0, |largest: f64, slowdown| largest.max(slowdown));
        self.model.set_slowdown(slowdown);
    }

    pub(super) fn is_paused(&self) -> bool {
        self.has(FaultKind::PauseServer, 0)
    }

    /// Records a request and updates the peak load during slow start. Requests before the window are dropped.
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

    /// Whether more than two thirds of the recent requests came from nodes that had been notified of the last start.
    pub(super) fn is_mostly_notified(&self) -> bool {
        let notified = self
            .slow_start_sends
            .iter()
            .filter(|(_, is_notified)| *is_notified)
            .count();
        3 * notified > 2 * self.slow_start_sends.len()
    }
}

/// The body of a response, which identifies the request and the server.
pub(super) fn response_body(id: &str, server: &str) -> Vec<u8> {
    format!("{id}@{server}").into_bytes()
}

/// The server's entry in the endpoint list. `base` is the Unix time at the start of the scenario.
pub(super) fn entry(server_state: &SimulatedServer, state: State, base: Nanos) -> Entry {
    Entry {
        uid: server_state.name.clone(),
        endpoint: server_state.address,
        az: server_state.zone.clone(),
        model: "match".to_owned(),
        pod_group: server_state.cell,
        state,
        capacity_hint: 1.0,
        boot_ms: server_state
            .started_at
            .map_or(0, |started_at| (base + started_at) / MILLISECOND),
    }
}

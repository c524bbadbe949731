//! Requests at the simulated servers: reading, deduplication and execution by the server model.

use badgerpost_fakes::message::{self, Message};
use badgerpost_fakes::net::ConnId;
use badgerpost_fakes::server::Admission;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

use super::connection::Connection;
use super::events::{ScheduledEvent, ServerEvent};
use super::in_flight::{AttemptId, ConnectionAction, InFlightMessage, ServerJob, ServerResponse};
use super::server_state::response_body;
use super::state::{OpenRequest, Simulation};
use crate::outcome::{Attempt, AttemptOutcome, Dedup, DedupScope};
use crate::scenario::FaultKind;

/// A node counts as notified of a change this long after discovery listed the change and was reachable.
const NOTIFICATION_LIMIT: Nanos = 6 * SECOND;
/// The excess of a deadline header is recorded if the header exceeds the client's remaining time by more than this.
const DEADLINE_TOLERANCE: Nanos = 100 * MILLISECOND;

impl Simulation {
    /// Handles all requests that a server has received completely on a connection.
    pub(super) fn read_server(&mut self, conn: ConnId) {
        loop {
            let Some(Connection::Server {
                server, decoder, ..
            }) = self.connections.get_mut(&conn)
            else {
                return;
            };
            let server = *server;
            match decoder.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => self.handle_server_request(conn, server, &message),
                // A malformed request gets no response.
                Err(_) => {
                    self.unknown_requests += 1;
                    self.schedule(self.now, ScheduledEvent::ResetConnection(conn));
                    return;
                }
            }
        }
    }

    fn handle_server_request(&mut self, conn: ConnId, server: usize, message: &Message) {
        if message.target == "/stats" {
            return self.answer_health_check(conn, server);
        }
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        let request = self.request_by_id.get(&id).copied();
        if request.is_none() {
            self.unknown_requests += 1;
        }
        let attempt = request.map(|request| self.record_attempt(request, server, message));
        self.assign_attempt(conn, attempt);
        let _ = self.transmit(InFlightMessage::ToServer(ServerJob { conn, attempt, id }));
    }

    /// Adds an attempt to the log of its request.
    fn record_attempt(&mut self, request: usize, server: usize, message: &Message) -> AttemptId {
        let now = self.now;
        let server_state = &self.servers[server];
        let open = &mut self.requests[request];
        let notified_at = self.nodes[open.node].drain_notified_at.get(&server);
        let notified_at_latest = server_state
            .unlisted_since
            .map(|since| since + NOTIFICATION_LIMIT);
        let drain_known_since = notified_at
            .copied()
            .into_iter()
            .chain(notified_at_latest)
            .min();
        let remaining_time = (open.written_at + open.log.timeout).saturating_sub(now);
        let deadline = message
            .value("x-budget-ms")
            .and_then(|text| text.parse().ok());
        let deadline_excess = deadline.map_or(0, |deadline: u64| {
            (deadline * MILLISECOND).saturating_sub(remaining_time)
        });
        open.log.attempts.push(Attempt {
            server: server_state.name.clone(),
            zone: server_state.zone.clone(),
            cell: server_state.cell,
            start: now,
            end: None,
            outcome: AttemptOutcome::Unfinished,
            executed: false,
            drain_known_for: drain_known_since.and_then(|since| now.checked_sub(since)),
            caused_overload: false,
            without_length: false,
            deadline_excess: (deadline_excess > DEADLINE_TOLERANCE).then_some(deadline_excess),
        });
        AttemptId {
            request,
            number: open.log.attempts.len() - 1,
        }
    }

    /// Records which attempt uses a connection. In real time the first attempt also identifies the node.
    fn assign_attempt(&mut self, conn: ConnId, assigned: Option<AttemptId>) {
        let Some(Connection::Server { attempt, node, .. }) = self.connections.get_mut(&conn) else {
            return;
        };
        *attempt = assigned;
        if node.is_none()
            && let Some(assigned) = assigned
        {
            let sender = self.requests[assigned.request].node;
            *node = Some(sender);
            self.nodes[sender].open_connections += 1;
        }
    }

    /// Handles a request that has arrived at its server.
    pub(super) fn receive_request(&mut self, job: ServerJob) {
        let Some(Connection::Server { server, .. }) = self.connections.get(&job.conn) else {
            return;
        };
        let server = *server;
        if self.servers[server].is_paused() {
            // The process reads the request when it resumes.
            self.servers[server].held_jobs.push(job);
        } else {
            self.execute(server, job);
        }
    }

    /// Executes a request at a server, subject to the server's active faults.
    pub(super) fn execute(&mut self, server: usize, job: ServerJob) {
        let now = self.now;
        let request = job.attempt.map(|attempt| attempt.request);
        let draw = self.fault_draw(job.attempt);
        if self.servers[server].has(FaultKind::Hang, draw) {
            return;
        }
        let rejection = self.rejection(server, &job);
        if self.servers[server].has(FaultKind::RejectRequests, draw) {
            self.schedule(now, ScheduledEvent::ServerResponse(Box::new(rejection)));
            return;
        }
        if request.is_some_and(|request| self.is_duplicate(request, server)) {
            let response = ServerResponse {
                bytes: message::response(
                    200,
                    &self.load_report_headers(server, ""),
                    &response_body(&job.id, &self.servers[server].name),
                ),
                outcome: AttemptOutcome::Served,
                ..rejection
            };
            self.schedule(now, ScheduledEvent::ServerResponse(Box::new(response)));
            return;
        }
        let ticket = self.servers[server].next_job;
        self.servers[server].next_job += 1;
        match self.offer(server, ticket, job.attempt) {
            Admission::Accepted => {
                self.servers[server].jobs.insert(ticket, job);
                self.schedule_completion(server);
            }
            Admission::Rejected => {
                self.schedule(now, ScheduledEvent::ServerResponse(Box::new(rejection)));
            }
            Admission::Crashed => {
                // The server stays down, and its connections are reset.
                let _ = self.stop_server(server);
            }
        }
    }

    fn rejection(&mut self, server: usize, job: &ServerJob) -> ServerResponse {
        let headers = self.load_report_headers(server, "X-Rejected: 1\r\n");
        ServerResponse {
            conn: job.conn,
            attempt: job.attempt,
            bytes: message::response(503, &headers, b""),
            outcome: AttemptOutcome::Rejected,
            connection_action: ConnectionAction::KeepOpen,
        }
    }

    /// Offers a request to the server model, and records the result in the log.
    fn offer(&mut self, server: usize, ticket: u64, attempt: Option<AttemptId>) -> Admission {
        let now = self.now;
        let request = attempt.map(|attempt| attempt.request);
        let service_time = request.map_or(
            self.plan.scenario.spec.classes[0]
                .service_time_ms
                .get_ref()
                .0
                * MILLISECOND,
            |request| self.plan.arrivals[self.requests[request].arrival].service_time,
        );
        let is_notified = request.is_some_and(|request| self.is_notified_of_start(request, server));
        let window = self.plan.scenario.spec.rules.overload_window_ms * MILLISECOND;
        let server_state = &mut self.servers[server];
        let admission = server_state.model.offer(now, ticket, service_time);
        server_state.record_slow_start_send(now, is_notified, window);
        let is_breach = !self.plan.behaviour.strict || server_state.is_mostly_notified();
        if let Some(AttemptId { request, number }) = attempt {
            let attempt = &mut self.requests[request].log.attempts[number];
            attempt.executed = admission == Admission::Accepted;
            attempt.caused_overload = admission == Admission::Crashed && is_breach;
        }
        admission
    }

    /// Whether the node of a request has been notified of the last start of a server.
    fn is_notified_of_start(&self, request: usize, server: usize) -> bool {
        let node = &self.nodes[self.requests[request].node];
        let start = self.servers[server]
            .started_at
            .map(|started_at| (self.base + started_at) / MILLISECOND);
        node.notified_starts.get(&server).copied() == start
    }

    /// Whether the deduplication scope of a server saw the request's key within the window. Records the key.
    fn is_duplicate(&mut self, request: usize, server: usize) -> bool {
        let OpenRequest { log, key, .. } = &self.requests[request];
        let Some(Dedup { scope, window }) = log.dedup else {
            return false;
        };
        let server_state = &self.servers[server];
        let scope_id = match scope {
            DedupScope::All => String::new(),
            DedupScope::Zone => server_state.zone.clone(),
            DedupScope::Cell => format!("{}", server_state.cell),
        };
        let now = self.now;
        // Keys are never evicted: a run has a bounded number of requests.
        let first_seen = self.keys_seen.entry((scope_id, key.clone())).or_insert(now);
        let is_duplicate = *first_seen < now && now - *first_seen < window;
        if now - *first_seen >= window {
            *first_seen = now;
        }
        is_duplicate
    }

    /// Schedules the next completion of a server, unless a completion at the same time or earlier is scheduled.
    pub(super) fn schedule_completion(&mut self, server: usize) {
        let server_state = &mut self.servers[server];
        let next = server_state.model.next_completion();
        if let Some(next) = next.filter(|next| {
            server_state
                .next_completion_at
                .is_none_or(|next_completion_at| *next < next_completion_at)
        }) {
            server_state.next_completion_at = Some(next);
            self.schedule(
                next,
                ScheduledEvent::Server(ServerEvent::Completion { server }),
            );
        }
    }

    /// Responds to the next request that the server model has completed.
    pub(super) fn complete_job(&mut self, server: usize) {
        let now = self.now;
        let server_state = &mut self.servers[server];
        server_state.next_completion_at = None;
        if server_state.is_paused() || !server_state.is_up {
            return;
        }
        let job = server_state
            .model
            .take_completed(now)
            .and_then(|ticket| server_state.jobs.remove(&ticket));
        self.schedule_completion(server);
        let Some(ServerJob { conn, attempt, id }) = job else {
            return;
        };
        let response = ServerResponse {
            conn,
            attempt,
            bytes: Vec::new(),
            outcome: AttemptOutcome::Served,
            connection_action: ConnectionAction::KeepOpen,
        };
        self.respond(server, &id, response);
    }
}

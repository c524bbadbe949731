//! Responses of servers, as their active faults change them.

use badgerpost_fakes::message;
use badgerpost_fakes::net::ConnId;
use badgerpost_fakes::random::Random;
use badgerpost_time::MILLISECOND;

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{AttemptId, ConnectionFate, InFlightMessage, ServerResponse};
use super::server_state::response_body;
use super::state::Simulation;
use crate::outcome::AttemptOutcome;
use crate::scenario::{FaultKind, LoadReports};

/// An invalid response.
const NOISE: &[u8] = b"HTTP/1.1 2x0 \x01\x02\r\n\r\n";

impl Simulation {
    /// Responds to a completed request, as the server's active faults change the response.
    pub(super) fn respond(&mut self, server: usize, id: &str, mut response: ServerResponse) {
        let (headers, draw) = (
            self.load_report_headers(server, ""),
            self.fault_draw(response.attempt),
        );
        let server_state = &self.servers[server];
        let body = response_body(id, &server_state.name);
        response.bytes = message::response(200, &headers, &body);
        let mut at = self.now;
        for trouble in server_state.faults_in_order(draw) {
            match trouble {
                FaultKind::CloseDelimited => {
                    response.bytes = message::response_without_length(200, &headers, &body);
                    response.then = ConnectionFate::Closes;
                }
                FaultKind::ServerError => {
                    (response.bytes, response.ended) = (
                        message::response(500, &headers, b""),
                        AttemptOutcome::ServerError,
                    );
                }
                FaultKind::InvalidResponse => {
                    (response.bytes, response.ended) =
                        (NOISE.to_vec(), AttemptOutcome::InvalidResponse);
                }
                FaultKind::ResetConnection { after } => {
                    response
                        .bytes
                        .truncate(usize::try_from(after).unwrap_or(usize::MAX));
                    (response.ended, response.then) =
                        (AttemptOutcome::ConnectionReset, ConnectionFate::Resets);
                }
                FaultKind::DelayResponse { by } => at = at.saturating_add(by),
                _ => {}
            }
        }
        let is_complete = response.ended == AttemptOutcome::Served;
        if is_complete
            && response.then == ConnectionFate::Closes
            && let Some(AttemptId { request, number }) = response.attempt
        {
            self.requests[request].log.attempts[number].without_length = true;
        }
        self.schedule(at, ScheduledEvent::ServerResponse(Box::new(response)));
    }

    /// Sends a response on its way, if its connection and its attempt still exist.
    pub(super) fn send_response(&mut self, response: ServerResponse) -> Option<NodeInput> {
        let ServerResponse {
            conn,
            attempt,
            bytes,
            ended,
            then,
        } = response;
        let Some(Connection::Server {
            server,
            attempt: current,
            ..
        }) = self.connections.get_mut(&conn)
        else {
            self.end_attempt(attempt, AttemptOutcome::Abandoned);
            return None;
        };
        let server = *server;
        // Connections of an earlier process of this server were reset with it.
        if self.servers[server].is_paused() || *current != attempt {
            if self.servers[server].is_paused() {
                self.schedule(
                    self.now + MILLISECOND,
                    ScheduledEvent::ServerResponse(Box::new(ServerResponse {
                        conn,
                        attempt,
                        bytes,
                        ended,
                        then,
                    })),
                );
            }
            return None;
        }
        *current = None;
        self.end_attempt(attempt, ended);
        self.transmit(InFlightMessage::FromServer(ServerResponse {
            conn,
            attempt,
            bytes,
            ended,
            then,
        }))
    }

    /// Writes a response that has arrived at its node.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub(super) fn write_response(&mut self, response: ServerResponse) -> Option<NodeInput> {
        let Some(Connection::Server { node, .. }) = self.connections.get(&response.conn) else {
            return None;
        };
        let node = *node;
        let written = self.net.write(response.conn, &response.bytes);
        match response.then {
            ConnectionFate::Stays => {}
            ConnectionFate::Closes => {
                self.schedule(self.now, ScheduledEvent::CloseConnection(response.conn));
            }
            ConnectionFate::Resets => {
                self.schedule(self.now, ScheduledEvent::ResetConnection(response.conn));
            }
        }
        node.map(|node| NodeInput {
            node,
            bytes: written as u64,
        })
    }

    /// A number in thousandths, drawn for each attempt, that decides which faults affect it.
    pub(super) fn fault_draw(&self, attempt: Option<AttemptId>) -> u16 {
        let Some(AttemptId { request, number }) = attempt else {
            return 0;
        };
        let mut random = Random::new(
            self.plan.seed ^ (request as u64) << 8 ^ number as u64,
            "lots",
        );
        random.between(0, 999) as u16
    }

    /// Answers a health check outside the queue; a server that is paused or hangs does not.
    pub(super) fn answer_health_check(&mut self, conn: ConnId, server: usize) {
        let silent = self.servers[server].has(FaultKind::Hang, 0);
        if silent || self.servers[server].is_paused() {
            return;
        }
        let has_endpoint = self.plan.scenario.spec.load_reports == LoadReports::HealthChecks;
        let bytes = if has_endpoint {
            let util = self.servers[server].model.utilization(self.now);
            message::response(200, "", format!("{{\"util\":{util:.4}}}").as_bytes())
        } else {
            message::response(404, "", b"")
        };
        let (attempt, ended, then) = (None, AttemptOutcome::Served, ConnectionFate::Stays);
        self.schedule(
            self.now,
            ScheduledEvent::ServerResponse(Box::new(ServerResponse {
                conn,
                attempt,
                bytes,
                ended,
                then,
            })),
        );
    }

    /// Response headers: the load report, where responses carry it, and then `more`.
    pub(super) fn load_report_headers(&mut self, server: usize, more: &str) -> String {
        if self.plan.scenario.spec.load_reports == LoadReports::HealthChecks {
            return more.to_owned();
        }
        let util = self.servers[server].model.utilization(self.now);
        format!("X-Load-Report: {{\"util\":{util:.4}}}\r\n{more}")
    }
}

//! Responses of servers, modified by the servers' active faults.

use badgerpost_fakes::message;
use badgerpost_fakes::net::ConnId;
use badgerpost_fakes::random::Random;
use badgerpost_time::MILLISECOND;

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{AttemptId, ConnectionAction, InFlightMessage, ServerResponse};
use super::server_state::response_body;
use super::state::Simulation;
use crate::outcome::AttemptOutcome;
use crate::scenario::{FaultKind, LoadReports};

/// An HTTP response with a malformed status code and header section.
const INVALID_RESPONSE: &[u8] = b"HTTP/1.1 2x0 \x01\x02\r\n\r\n";

impl Simulation {
    /// Schedules the response to a completed request, modified by the server's active faults.
    pub(super) fn respond(&mut self, server: usize, id: &str, mut response: ServerResponse) {
        let (headers, draw) = (
            self.load_report_headers(server, ""),
            self.fault_draw(response.attempt),
        );
        let server_state = &self.servers[server];
        let body = response_body(id, &server_state.name);
        response.bytes = message::response(200, &headers, &body);
        let mut at = self.now;
        for fault in server_state.faults_in_order(draw) {
            match fault {
                FaultKind::CloseDelimited => {
                    response.bytes = message::response_without_length(200, &headers, &body);
                    response.connection_action = ConnectionAction::Close;
                }
                FaultKind::ServerError => {
                    (response.bytes, response.outcome) = (
                        message::response(500, &headers, b""),
                        AttemptOutcome::ServerError,
                    );
                }
                FaultKind::InvalidResponse => {
                    (response.bytes, response.outcome) =
                        (INVALID_RESPONSE.to_vec(), AttemptOutcome::InvalidResponse);
                }
                FaultKind::ResetConnection { after } => {
                    response
                        .bytes
                        .truncate(usize::try_from(after).unwrap_or(usize::MAX));
                    (response.outcome, response.connection_action) =
                        (AttemptOutcome::ConnectionReset, ConnectionAction::Reset);
                }
                FaultKind::DelayResponse { by } => at = at.saturating_add(by),
                _ => {}
            }
        }
        let is_complete = response.outcome == AttemptOutcome::Served;
        if is_complete
            && response.connection_action == ConnectionAction::Close
            && let Some(AttemptId { request, number }) = response.attempt
        {
            self.requests[request].log.attempts[number].without_length = true;
        }
        self.schedule(at, ScheduledEvent::ServerResponse(Box::new(response)));
    }

    /// Sends a response if its connection is open and still belongs to the same attempt. A paused server's response is
    /// postponed.
    pub(super) fn send_response(&mut self, response: ServerResponse) -> Option<NodeInput> {
        let ServerResponse {
            conn,
            attempt,
            bytes,
            outcome,
            connection_action,
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
        // The connection belongs to the current process: those of earlier ones were reset.
        if self.servers[server].is_paused() || *current != attempt {
            if self.servers[server].is_paused() {
                self.schedule(
                    self.now + MILLISECOND,
                    ScheduledEvent::ServerResponse(Box::new(ServerResponse {
                        conn,
                        attempt,
                        bytes,
                        outcome,
                        connection_action,
                    })),
                );
            }
            return None;
        }
        *current = None;
        self.end_attempt(attempt, outcome);
        self.transmit(InFlightMessage::FromServer(ServerResponse {
            conn,
            attempt,
            bytes,
            outcome,
            connection_action,
        }))
    }

    /// Writes a response that has arrived at its node, then closes or resets the connection if the response demands it.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub(super) fn write_response(&mut self, response: ServerResponse) -> Option<NodeInput> {
        let Some(Connection::Server { node, .. }) = self.connections.get(&response.conn) else {
            return None;
        };
        let node = *node;
        let written = self.net.write(response.conn, &response.bytes);
        match response.connection_action {
            ConnectionAction::KeepOpen => {}
            ConnectionAction::Close => {
                self.schedule(self.now, ScheduledEvent::CloseConnection(response.conn));
            }
            ConnectionAction::Reset => {
                self.schedule(self.now, ScheduledEvent::ResetConnection(response.conn));
            }
        }
        node.map(|node| NodeInput {
            node,
            bytes: written as u64,
        })
    }

    /// A number from 0 to 999, drawn for each attempt, that decides which faults affect the attempt.
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

    /// Responds to a health check outside the request queue. A server that is paused or hangs does not respond.
    pub(super) fn answer_health_check(&mut self, conn: ConnId, server: usize) {
        let hangs = self.servers[server].has(FaultKind::Hang, 0);
        if hangs || self.servers[server].is_paused() {
            return;
        }
        let has_endpoint = self.plan.scenario.spec.load_reports == LoadReports::HealthChecks;
        let bytes = if has_endpoint {
            let util = self.servers[server].model.utilization(self.now);
            message::response(200, "", format!("{{\"util\":{util:.4}}}").as_bytes())
        } else {
            message::response(404, "", b"")
        };
        let (attempt, outcome) = (None, AttemptOutcome::Served);
        let connection_action = ConnectionAction::KeepOpen;
        self.schedule(
            self.now,
            ScheduledEvent::ServerResponse(Box::new(ServerResponse {
                conn,
                attempt,
                bytes,
                outcome,
                connection_action,
            })),
        );
    }

    /// Response headers: the load report, if responses carry load reports, followed by `other_headers`.
    pub(super) fn load_report_headers(&mut self, server: usize, other_headers: &str) -> String {
        if self.plan.scenario.spec.load_reports == LoadReports::HealthChecks {
            return other_headers.to_owned();
        }
        let util = self.servers[server].model.utilization(self.now);
        format!("X-Load-Report: {{\"util\":{util:.4}}}\r\n{other_headers}")
    }
}

//! Clients: they send requests to nodes, classify the responses, retry, and stop waiting after a time limit.

use std::collections::VecDeque;

use badgerpost_fakes::client::{self, ClientRequest, ResponseOutcome};
use badgerpost_fakes::message::{Message, MessageDecoder, MessageKind};
use badgerpost_fakes::net::ConnId;

use super::connection::Connection;
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::InFlightMessage;
use super::server_state::response_body;
use super::state::{OpenRequest, SOCKET_SLACK, Simulation};
use crate::LATE_RESPONSE_LIMIT;
use crate::outcome::{AttemptOutcome, ClientResult, Dedup, FinalResponse, Idempotency, Request};
use badgerpost_time::{MILLISECOND, Nanos};

/// Clients wait this long beyond the time limit of the rules, so that late responses are logged.
const LATE_RESPONSE_WAIT: Nanos = 30 * MILLISECOND;

impl Simulation {
    /// Sends the first request of an arrival, or a retry `of` an earlier request.
    pub(super) fn start_request(&mut self, arrival: usize, of: Option<usize>) -> Option<NodeInput> {
        let plan = self.plan.arrivals[arrival];
        let class = &self.plan.scenario.spec.classes[plan.class.get()];
        let retry_number = of.map_or(0, |of| self.requests[of].retry_number + 1);
        let id = match retry_number {
            0 => format!("{:016x}", plan.number),
            tries => format!("{:016x}-{tries}", plan.number),
        };
        let dedup = (class.idempotency == Idempotency::Keyed).then_some(Dedup {
            scope: class.dedup_scope,
            window: class.dedup_window_ms * MILLISECOND,
        });
        // The load balancer in front of the nodes skips those that take no requests.
        let count = self.nodes.len();
        let available = (0..count)
            .map(|step| (plan.node.get() + step) % count)
            .find(|node| self.takes_requests(*node));
        let node = available.unwrap_or(plan.node.get());
        let log = Request {
            id: id.clone(),
            retry_of: of.map(|of| self.requests[of].log.id.clone()),
            class: class.name.get_ref().clone(),
            idempotency: class.idempotency,
            dedup,
            node: self.nodes[node].name.clone(),
            arrival: self.now,
            timeout: class.deadline_ms.get_ref() * MILLISECOND,
            attempts: Vec::new(),
            response: None,
            client_left_at: None,
            surplus_bytes: 0,
            is_excused: self.nodes[node].is_paused && !self.plan.behaviour.strict,
            held_up: self.pause_left(node),
        };
        let key = format!("{:x}-{:08x}", self.plan.seed, plan.number);
        let number = self.requests.len();
        self.request_by_id.insert(id, number);
        let due = self.client_deadline(&log);
        self.requests.push(OpenRequest {
            log,
            arrival,
            node,
            retry_number,
            key,
            is_done: false,
            is_resent: false,
            written_at: self.now,
            unwritten_head: Vec::new(),
        });
        self.schedule(due, ScheduledEvent::ClientTimeout { request: number });
        self.plan_disconnect(number);
        if available.is_none() {
            self.requests[number].log.is_excused = true;
            self.finish(number, true);
            return None;
        }
        self.send_request(number, node, false)
    }

    /// When the client of a request stops waiting for its response.
    fn client_deadline(&self, request: &Request) -> Nanos {
        let due = request.arrival + request.timeout + self.response_slack();
        due + request.held_up + LATE_RESPONSE_WAIT
    }

    /// How long after the client's deadline the rules allow a response to arrive.
    fn response_slack(&self) -> Nanos {
        if self.plan.behaviour.strict {
            return LATE_RESPONSE_LIMIT;
        }
        let rules = &self.plan.scenario.spec.rules;
        rules.response_slack_ms * MILLISECOND + SOCKET_SLACK
    }

    /// Sends a request to a node, on an existing connection or, if `needs_new_connection`, on a new one.
    pub(super) fn send_request(
        &mut self,
        number: usize,
        node: usize,
        needs_new_connection: bool,
    ) -> Option<NodeInput> {
        let open_connection = if needs_new_connection {
            None
        } else {
            self.open_connection_for(number, node)
        };
        let Some(conn) = open_connection.or_else(|| self.connect_client(node)) else {
            // The node no longer listens, so it did not receive the request.
            self.requests[number].log.is_excused = true;
            self.finish(number, true);
            return None;
        };
        let mut bytes = self.request_bytes(number);
        let partial_head = self.partial_head();
        bytes.extend_from_slice(partial_head);
        if partial_head.is_empty() {
            self.hold_back_end_of_head(conn, number, &mut bytes);
        }
        if let Some(Connection::Client {
            open,
            has_partial_head,
            ..
        }) = self.connections.get_mut(&conn)
        {
            open.push_back(number);
            *has_partial_head = !partial_head.is_empty();
        }
        self.transmit(InFlightMessage::ToNode(conn, number, bytes))
    }

    /// A connection with open requests if the request is to be pipelined, or an idle one.
    fn open_connection_for(&mut self, request: usize, node: usize) -> Option<ConnId> {
        self.pipelining_connection(node, request)
            .or_else(|| self.nodes[node].idle_connections.pop())
    }

    fn connect_client(&mut self, node: usize) -> Option<ConnId> {
        let address = self.nodes[node].listen_address?;
        let conn = self.net.connect(address).ok()?;
        let connection = Connection::Client {
            node,
            decoder: MessageDecoder::new(MessageKind::Response),
            open: VecDeque::new(),
            undelivered_responses: 0,
            last_answered: None,
            has_partial_head: false,
        };
        self.add_connection(conn, connection);
        Some(conn)
    }

    fn request_bytes(&self, number: usize) -> Vec<u8> {
        let OpenRequest {
            log,
            key,
            retry_number,
            ..
        } = &self.requests[number];
        let idempotency = match log.idempotency {
            Idempotency::Idempotent => client::Idempotency::Idempotent,
            Idempotency::Keyed => client::Idempotency::Keyed,
            Idempotency::NonIdempotent => client::Idempotency::NonIdempotent,
        };
        let request = ClientRequest {
            id: &log.id,
            class: &log.class,
            idempotency,
            key,
            timeout: log.timeout,
            is_retry: *retry_number > 0,
        };
        request.to_bytes()
    }

    /// Writes a request that has arrived at its node, if the client still waits for the response.
    pub(super) fn deliver_to_node(
        &mut self,
        conn: ConnId,
        number: usize,
        bytes: &[u8],
    ) -> Option<NodeInput> {
        let Some(Connection::Client { node, open, .. }) = self.connections.get(&conn) else {
            return None;
        };
        let node = *node;
        if !open.contains(&number) {
            return None;
        }
        self.requests[number].written_at = self.now;
        Some(NodeInput {
            node,
            bytes: self.net.write(conn, bytes) as u64,
        })
    }

    pub(super) fn read_client(&mut self, conn: ConnId) {
        while self.read_one_response(conn) {}
    }

    /// Reads one response; returns whether another may follow.
    fn read_one_response(&mut self, conn: ConnId) -> bool {
        let Some(Connection::Client {
            node,
            decoder,
            open,
            undelivered_responses,
            last_answered,
            ..
        }) = self.connections.get_mut(&conn)
        else {
            return false;
        };
        let node = *node;
        let Some(&request) = open.get(*undelivered_responses) else {
            // Without open requests, further bytes from the node are surplus.
            let surplus = u64::from(decoder.has_buffered_bytes() && open.is_empty());
            if surplus > 0 {
                last_answered
                    .iter()
                    .for_each(|last| self.requests[*last].log.surplus_bytes += surplus);
                self.drop_client(conn, node);
            }
            return false;
        };
        match decoder.next_message() {
            Ok(None) => false,
            Ok(Some(response)) => {
                *undelivered_responses += 1;
                let _ = self.transmit(InFlightMessage::ToClient(conn, request, response));
                true
            }
            Err(_) => {
                // A malformed response ends the connection, and all its open requests get no response.
                let open = std::mem::take(open);
                self.drop_client(conn, node);
                open.into_iter()
                    .for_each(|request| self.finish(request, true));
                false
            }
        }
    }

    /// Delivers a response to its client, if the client still waits for it.
    pub(super) fn deliver_to_client(&mut self, conn: ConnId, request: usize, response: &Message) {
        let Some(Connection::Client {
            node,
            decoder,
            open,
            undelivered_responses,
            last_answered,
            has_partial_head,
        }) = self.connections.get_mut(&conn)
        else {
            return;
        };
        let node = *node;
        if open.front() != Some(&request) {
            return;
        }
        open.pop_front();
        *undelivered_responses -= 1;
        *last_answered = Some(request);
        let has_partial_head = *has_partial_head;
        let remaining: Vec<usize> = open.iter().copied().collect();
        let surplus = u64::from(decoder.has_buffered_bytes() && remaining.is_empty());
        let result = self.record_response(request, response, self.now);
        self.requests[request].log.surplus_bytes += surplus;
        if response.closes_connection() || surplus > 0 {
            self.drop_client(conn, node);
            // The node sends nothing more on this connection: it has not read the remaining requests, or drops them.
            remaining
                .into_iter()
                .for_each(|request| self.client_connection_lost(request, true));
        } else if remaining.is_empty() {
            if has_partial_head {
                self.become_silent(conn, node);
            } else {
                self.nodes[node].idle_connections.push(conn);
            }
        }
        self.finish(request, result != ClientResult::Served);
    }

    pub(super) fn drop_client(&mut self, conn: ConnId, node: usize) {
        self.net.close(conn);
        self.remove_connection(conn);
        self.nodes[node]
            .idle_connections
            .retain(|idle| *idle != conn);
    }

    /// Records a response in the log, and schedules a retry if the request was rejected or failed.
    pub(super) fn record_response(
        &mut self,
        request: usize,
        response: &Message,
        now: Nanos,
    ) -> ClientResult {
        let open = &mut self.requests[request];
        if !std::mem::take(&mut open.unwritten_head).is_empty() {
            // The node responded before the client had written the whole request head.
            open.log.is_excused = true;
        }
        let log = &mut open.log;
        let result = match ResponseOutcome::of(response) {
            ResponseOutcome::Served => ClientResult::Served,
            ResponseOutcome::Rejected { .. } => ClientResult::Rejected,
            ResponseOutcome::Failed => ClientResult::Failed,
        };
        let is_from_own_attempt = log.attempts.iter().any(|attempt| {
            attempt.outcome == AttemptOutcome::Served
                && response.body == response_body(&log.id, &attempt.server)
        });
        log.response = Some(FinalResponse {
            at: now,
            result,
            status: response.status,
            is_from_own_attempt,
        });
        if let ResponseOutcome::Rejected { retry_after } = ResponseOutcome::of(response) {
            self.retry(request, retry_after);
        } else if result == ClientResult::Failed {
            self.retry(request, 0);
        }
        result
    }

    /// Ends a request. If it `is_lost` and has no response, the client may retry it.
    pub(super) fn finish(&mut self, request: usize, is_lost: bool) {
        let open = &mut self.requests[request];
        if std::mem::replace(&mut open.is_done, true) {
            return;
        }
        if is_lost && open.log.response.is_none() {
            self.retry(request, 0);
        }
        self.pending_requests -= 1;
    }

    /// Schedules a retry after at least `delay`, if retries are left and repeating the request is safe.
    pub(super) fn retry(&mut self, request: usize, delay: Nanos) {
        let clients = &self.plan.scenario.spec.clients;
        let open = &self.requests[request];
        let is_rejected = open.log.result() == Some(ClientResult::Rejected);
        let is_retry_safe = is_rejected || open.log.idempotency != Idempotency::NonIdempotent;
        if open.retry_number < clients.retries && is_retry_safe {
            let wait = delay.max(clients.backoff_ms * MILLISECOND).max(MILLISECOND);
            self.pending_requests += 1;
            self.schedule(self.now + wait, ScheduledEvent::ClientRetry { request });
        }
    }

    /// Handles the loss of the connection of an open request. `is_reused`: an earlier request used the connection.
    pub(super) fn client_connection_lost(&mut self, request: usize, is_reused: bool) {
        let open = &mut self.requests[request];
        if !std::mem::take(&mut open.unwritten_head).is_empty() {
            // The node never received the whole request.
            open.log.is_excused = true;
        }
        let is_unread = is_reused && open.log.attempts.is_empty() && !open.is_resent;
        let node = open.node;
        if is_unread && self.nodes[node].is_up && !self.is_assumed_read(request) {
            // The close crossed the request, which the node had not read: the client sends it on a new connection.
            self.requests[request].is_resent = true;
            self.schedule(self.now, ScheduledEvent::Resend { request, node });
            return;
        }
        self.finish(request, true);
    }

    pub(super) fn time_out_client(&mut self, request: usize) -> Option<NodeInput> {
        let open = &self.requests[request];
        if open.is_done {
            return None;
        }
        // The deadline moves if the request head is completed later or the node is paused.
        let due = self.client_deadline(&open.log);
        if self.now < due || !open.unwritten_head.is_empty() {
            self.schedule(
                due.max(self.now + MILLISECOND),
                ScheduledEvent::ClientTimeout { request },
            );
            return None;
        }
        self.finish(request, true);
        let conn = self.connection_of(request)?;
        self.abandon_pipelined(conn, request);
        self.close(conn)
    }

    /// The connection on which a request is open.
    pub(super) fn connection_of(&self, request: usize) -> Option<ConnId> {
        let has_request = |connection: &Connection| matches!(connection, Connection::Client { open, .. } if open.contains(&request));
        let mut connections = self.connections.iter();
        let found = connections.find(|(_, connection)| has_request(connection));
        found.map(|(conn, _)| *conn)
    }
}

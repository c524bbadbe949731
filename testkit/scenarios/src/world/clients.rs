//! The clients: tries come to nodes, answers are read and judged, patience ends.

use std::collections::VecDeque;

use badgerpost_fakes::client::{self, ClientRequest, ResponseOutcome};
use badgerpost_fakes::message::{Message, MessageDecoder, MessageKind};
use badgerpost_fakes::net::ConnId;

use super::links::Carried;
use super::stage::{Open, Peer, SOCKETS, Todo, World, body};
use crate::LATE_RESPONSE_LIMIT;
use crate::outcome::{AttemptOutcome, ClientResult, Dedup, FinalResponse, Idempotency, Request};
use badgerpost_time::{MILLISECOND, Nanos};

/// Clients listen for this long past the time that an answer still counts: what comes too late is to be seen.
const LISTENS_ON: Nanos = 30 * MILLISECOND;

impl World {
    /// A try comes to a node: the first one of an arrival, or one more after another.
    pub(super) fn arrive(&mut self, arrival: usize, of: Option<usize>) -> Option<(usize, u64)> {
        let plan = self.plan.arrivals[arrival];
        let class = &self.plan.scenario.spec.classes[plan.class.get()];
        let tries = of.map_or(0, |of| self.requests[of].tries + 1);
        let id = match tries {
            0 => format!("{:016x}", plan.number),
            tries => format!("{:016x}-{tries}", plan.number),
        };
        let dedup = (class.idempotency == Idempotency::Keyed).then_some(Dedup {
            scope: class.dedup_scope,
            window: class.dedup_window_ms * MILLISECOND,
        });
        // The system before the nodes has noticed by now which of them are down.
        let count = self.nodes.len();
        let up = (0..count)
            .map(|step| (plan.node.get() + step) % count)
            .find(|node| self.takes_requests(*node));
        let node = up.unwrap_or(plan.node.get());
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
            is_excused: self.nodes[node].paused,
        };
        let key = format!("{:x}-{:08x}", self.plan.seed, plan.number);
        let number = self.requests.len();
        self.ids.insert(id, number);
        let rules = &self.plan.scenario.spec.rules;
        let slack = match self.plan.behaviour.strict {
            true => LATE_RESPONSE_LIMIT,
            false => rules.response_slack_ms * MILLISECOND + SOCKETS,
        };
        let due = self.now + log.timeout + slack + LISTENS_ON;
        self.requests.push(Open {
            log,
            arrival,
            node,
            tries,
            key,
            done: false,
            resent: false,
            written: self.now,
        });
        self.at(due, Todo::Due(number));
        self.plan_to_leave(number);
        if up.is_none() {
            self.requests[number].log.is_excused = true;
            self.finish(number, true);
            return None;
        }
        self.put(number, node, false)
    }

    /// Writes a request to a node, on an idle connection or a new one.
    pub(super) fn put(&mut self, number: usize, node: usize, fresh: bool) -> Option<(usize, u64)> {
        let behind = if fresh {
            None
        } else {
            self.busy_connection(node, number)
        };
        let kept = if fresh {
            None
        } else {
            behind.or_else(|| self.nodes[node].idle.pop())
        };
        let conn = match kept {
            Some(conn) => conn,
            None => {
                let connected = self.nodes[node]
                    .listen
                    .and_then(|at| self.net.connect(at).ok());
                let Some(conn) = connected else {
                    // Nobody listens there any more: nothing was taken.
                    self.requests[number].log.is_excused = true;
                    self.finish(number, true);
                    return None;
                };
                let decoder = MessageDecoder::new(MessageKind::Response);
                self.adopt(
                    conn,
                    Peer::Client {
                        node,
                        decoder,
                        open: VecDeque::new(),
                        read: 0,
                        last: None,
                        is_half: false,
                    },
                );
                conn
            }
        };
        let Open {
            log, key, tries, ..
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
            is_retry: *tries > 0,
        };
        let mut bytes = request.to_bytes();
        let half = self.half_head();
        bytes.extend_from_slice(half);
        if let Some(Peer::Client { open, is_half, .. }) = self.peers.get_mut(&conn) {
            open.push_back(number);
            *is_half = !half.is_empty();
        }
        self.carry(Carried::ToNode(conn, number, bytes))
    }

    /// A client's request comes to its node, if the client still waits.
    pub(super) fn node_gets(
        &mut self,
        conn: ConnId,
        number: usize,
        bytes: &[u8],
    ) -> Option<(usize, u64)> {
        let Some(Peer::Client { node, open, .. }) = self.peers.get(&conn) else {
            return None;
        };
        let node = *node;
        if !open.contains(&number) {
            return None;
        }
        self.requests[number].written = self.now;
        Some((node, self.net.write(conn, bytes) as u64))
    }

    pub(super) fn client_reads(&mut self, conn: ConnId) {
        while self.client_reads_answer(conn) {}
    }

    /// Reads one answer; whether another may follow.
    fn client_reads_answer(&mut self, conn: ConnId) -> bool {
        let Some(Peer::Client {
            node,
            decoder,
            open,
            read,
            last,
            ..
        }) = self.peers.get_mut(&conn)
        else {
            return false;
        };
        let node = *node;
        let Some(&request) = open.get(*read) else {
            // Bytes that nobody asked for, unless they come behind an answer that is still on its way.
            let surplus = u64::from(decoder.has_buffered_bytes() && open.is_empty());
            if surplus > 0 {
                last.iter()
                    .for_each(|last| self.requests[*last].log.surplus_bytes += surplus);
                self.drop_client(conn, node);
            }
            return false;
        };
        match decoder.next_message() {
            Ok(None) => false,
            Ok(Some(answer)) => {
                *read += 1;
                let _ = self.carry(Carried::ToClient(conn, request, answer));
                true
            }
            Err(_) => {
                // No answer at all, and no more will come of this connection.
                let open = std::mem::take(open);
                self.drop_client(conn, node);
                open.into_iter()
                    .for_each(|request| self.finish(request, true));
                false
            }
        }
    }

    /// A node's answer comes to its client, if that still waits.
    pub(super) fn client_gets(&mut self, conn: ConnId, request: usize, answer: &Message) {
        let Some(Peer::Client {
            node,
            decoder,
            open,
            read,
            last,
            is_half,
        }) = self.peers.get_mut(&conn)
        else {
            return;
        };
        let node = *node;
        if open.front() != Some(&request) {
            return;
        }
        open.pop_front();
        *read -= 1;
        *last = Some(request);
        let is_half = *is_half;
        let behind: Vec<usize> = open.iter().copied().collect();
        let surplus = u64::from(decoder.has_buffered_bytes() && behind.is_empty());
        let told = self.answered(request, answer, self.now);
        self.requests[request].log.surplus_bytes += surplus;
        if answer.closes_connection() || surplus > 0 {
            self.drop_client(conn, node);
            // It says that nothing more follows: whoever waits behind it has not been read, or is lost.
            behind
                .into_iter()
                .for_each(|request| self.client_cut_off(request, true));
        } else if behind.is_empty() {
            if is_half {
                self.fall_silent(conn, node);
            } else {
                self.nodes[node].idle.push(conn);
            }
        }
        self.finish(request, told != ClientResult::Served);
    }

    pub(super) fn drop_client(&mut self, conn: ConnId, node: usize) {
        self.net.close(conn);
        self.forget(conn);
        self.nodes[node].idle.retain(|idle| *idle != conn);
    }

    pub(super) fn answered(
        &mut self,
        request: usize,
        answer: &Message,
        now: Nanos,
    ) -> ClientResult {
        let log = &mut self.requests[request].log;
        let result = match ResponseOutcome::of(answer) {
            ResponseOutcome::Served => ClientResult::Served,
            ResponseOutcome::Rejected { .. } => ClientResult::Rejected,
            ResponseOutcome::Failed => ClientResult::Failed,
        };
        let is_from_own_attempt = log.attempts.iter().any(|attempt| {
            attempt.outcome == AttemptOutcome::Served
                && answer.body == body(&log.id, &attempt.server)
        });
        log.response = Some(FinalResponse {
            at: now,
            result,
            status: answer.status,
            is_from_own_attempt,
        });
        if let ResponseOutcome::Rejected { retry_after: pause } = ResponseOutcome::of(answer) {
            self.retry(request, pause);
        } else if result == ClientResult::Failed {
            self.retry(request, 0);
        }
        result
    }

    /// A try has come to its end; what the client does then has been seen to where it got an answer.
    pub(super) fn finish(&mut self, request: usize, lost: bool) {
        let open = &mut self.requests[request];
        if std::mem::replace(&mut open.done, true) {
            return;
        }
        if lost && open.log.response.is_none() {
            self.retry(request, 0);
        }
        self.pending -= 1;
    }

    pub(super) fn retry(&mut self, request: usize, pause: Nanos) {
        let clients = &self.plan.scenario.spec.clients;
        let open = &self.requests[request];
        let refused = open.log.result() == Some(ClientResult::Rejected);
        let harmless = refused || open.log.idempotency != Idempotency::NonIdempotent;
        if open.tries < clients.retries && harmless {
            let wait = pause.max(clients.backoff_ms * MILLISECOND).max(MILLISECOND);
            self.pending += 1;
            self.at(self.now + wait, Todo::Retry(request));
        }
    }

    /// The node has ended the connection of an open request.
    pub(super) fn client_cut_off(&mut self, request: usize, reused: bool) {
        let open = &mut self.requests[request];
        let unread = reused && open.log.attempts.is_empty() && !open.resent;
        let node = open.node;
        if unread && self.nodes[node].up && !self.has_surely_read(request) {
            // It crossed a request that the node had not read: once more, on a new connection.
            self.requests[request].resent = true;
            self.at(self.now, Todo::Resend(request, node));
            return;
        }
        self.finish(request, true);
    }

    pub(super) fn due(&mut self, request: usize) -> Option<(usize, u64)> {
        if self.requests[request].done {
            return None;
        }
        self.finish(request, true);
        let conn = self.connection_of(request)?;
        self.leave_behind(conn, request);
        self.close(conn)
    }

    /// The connection on which a request is open.
    pub(super) fn connection_of(&self, request: usize) -> Option<ConnId> {
        let holds =
            |peer: &Peer| matches!(peer, Peer::Client { open, .. } if open.contains(&request));
        let mut peers = self.peers.iter();
        peers.find(|(_, peer)| holds(peer)).map(|(conn, _)| *conn)
    }
}

//! The match servers: requests read, worked on by their model, answered, or not.

use std::io;

use badgerpost_fakes::discovery::State;
use badgerpost_fakes::message::{self, Message};
use badgerpost_fakes::net::ConnId;
use badgerpost_fakes::random::Random;
use badgerpost_fakes::server::Admission;

use super::links::Carried;
use super::stage::{ConnectionFate, Job, Open, Peer, Sending, Todo, World, body};
use crate::outcome::{Attempt, AttemptOutcome, Dedup, DedupScope};
use crate::scenario::{FaultKind, LoadReports};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// A change of the list counts as told this long after discovery had it and could be reached.
const COUNTS_WITHIN: Nanos = 6 * SECOND;
/// A deadline that is this much beyond what the client has left is noted.
const SEEN_OVER: Nanos = 100 * MILLISECOND;
/// What a server answers where it is spoilt.
const NOISE: &[u8] = b"HTTP/1.1 2x0 \x01\x02\r\n\r\n";

impl World {
    pub(super) fn server_reads(&mut self, conn: ConnId) {
        loop {
            let Some(Peer::Server {
                server, decoder, ..
            }) = self.peers.get_mut(&conn)
            else {
                return;
            };
            let server = *server;
            match decoder.next_message() {
                Ok(None) => return,
                Ok(Some(message)) => self.serve(conn, server, &message),
                // A node that says what can't be read gets nothing.
                Err(_) => {
                    self.strangers += 1;
                    self.at(self.now, Todo::Reset(conn));
                    return;
                }
            }
        }
    }

    pub(super) fn serve(&mut self, conn: ConnId, server: usize, message: &Message) {
        if message.target == "/stats" {
            return self.tell_load(conn, server);
        }
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        let request = self.ids.get(&id).copied();
        if request.is_none() {
            self.strangers += 1;
        }
        let now = self.now;
        let site = &self.sites[server];
        let attempt = request.map(|request| {
            let open = &mut self.requests[request];
            let told = self.nodes[open.node].told.get(&server);
            let counted = site.unlisted_since.map(|since| since + COUNTS_WITHIN);
            let told = told.copied().into_iter().chain(counted).min();
            let left = (open.written + open.log.timeout).saturating_sub(now);
            let deadline = message
                .value("x-budget-ms")
                .and_then(|text| text.parse().ok());
            let over = deadline.map_or(0, |deadline: u64| {
                (deadline * MILLISECOND).saturating_sub(left)
            });
            open.log.attempts.push(Attempt {
                server: site.name.clone(),
                zone: site.zone.clone(),
                cell: site.cell,
                start: now,
                end: None,
                outcome: AttemptOutcome::Unfinished,
                executed: false,
                drain_known_for: told.and_then(|told| now.checked_sub(told)),
                caused_overload: false,
                without_length: false,
                deadline_excess: (over > SEEN_OVER).then_some(over),
            });
            (request, open.log.attempts.len() - 1)
        });
        if let Some(Peer::Server {
            attempt: current,
            node,
            ..
        }) = self.peers.get_mut(&conn)
        {
            *current = attempt;
            if node.is_none()
                && let Some(request) = request
            {
                // In real time it shows by its requests.
                let of = self.requests[request].node;
                *node = Some(of);
                self.nodes[of].open += 1;
            }
        }
        let _ = self.carry(Carried::ToServer(Job { conn, attempt, id }));
    }

    /// A request has come to its server.
    pub(super) fn reached(&mut self, job: Job) {
        let Some(Peer::Server { server, .. }) = self.peers.get(&job.conn) else {
            return;
        };
        let server = *server;
        if self.sites[server].paused() {
            // It has come, and is seen to once the process runs again.
            self.sites[server].held.push(job);
        } else {
            self.work(server, job);
        }
    }

    /// A server sees to a request.
    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    pub(super) fn work(&mut self, server: usize, job: Job) {
        let now = self.now;
        let Job {
            conn,
            attempt,
            ref id,
        } = job;
        let request = attempt.map(|(request, _)| request);
        let lot = self.lot(attempt);
        if self.sites[server].has(FaultKind::Hang, lot) {
            return;
        }
        let away = Sending {
            conn,
            attempt,
            bytes: message::response(503, &self.report(server, "X-Rejected: 1\r\n"), b""),
            ended: AttemptOutcome::Rejected,
            then: ConnectionFate::Stays,
        };
        if self.sites[server].has(FaultKind::RejectRequests, lot) {
            self.at(now, Todo::Answer(Box::new(away)));
            return;
        }
        if request.is_some_and(|request| self.is_repeat(request, server)) {
            let bytes = message::response(
                200,
                &self.report(server, ""),
                &body(id, &self.sites[server].name),
            );
            self.at(
                now,
                Todo::Answer(Box::new(Sending {
                    bytes,
                    ended: AttemptOutcome::Served,
                    ..away
                })),
            );
            return;
        }
        let work = request.map_or(
            self.plan.scenario.spec.classes[0]
                .service_time_ms
                .get_ref()
                .0
                * MILLISECOND,
            |request| self.plan.arrivals[self.requests[request].arrival].service_time,
        );
        let site = &mut self.sites[server];
        let ticket = site.next_job;
        site.next_job += 1;
        let is_told = request.is_some_and(|request| {
            let node = &self.nodes[self.requests[request].node];
            let start = site.booted.map(|booted| (self.base + booted) / MILLISECOND);
            node.told_starts.get(&server).copied() == start
        });
        let offer = site.model.offer(now, ticket, work);
        site.cold_sends.push_back((now, is_told));
        let window = self.plan.scenario.spec.rules.overload_window_ms * MILLISECOND;
        while site
            .cold_sends
            .front()
            .is_some_and(|(at, _)| now - at >= window)
        {
            site.cold_sends.pop_front();
        }
        let told = site
            .cold_sends
            .iter()
            .filter(|(_, is_told)| *is_told)
            .count();
        let is_breach = !self.plan.behaviour.strict || 3 * told > 2 * site.cold_sends.len();
        site.cold_peak = site
            .cold_peak
            .max(site.model.slow_start_load(now).unwrap_or(0.0));
        if let Some((request, number)) = attempt {
            let attempt = &mut self.requests[request].log.attempts[number];
            attempt.executed = offer == Admission::Accepted;
            attempt.caused_overload = offer == Admission::Crashed && is_breach;
        }
        match offer {
            Admission::Accepted => {
                site.jobs.insert(ticket, job);
                self.wake(server);
            }
            Admission::Rejected => self.at(now, Todo::Answer(Box::new(away))),
            Admission::Crashed => {
                // It stays down: there is nobody left to say more than the system does.
                let _ = self.shut(server);
            }
        }
    }

    /// Whether a keyed request was seen by the server's group within the window; it is from now on.
    pub(super) fn is_repeat(&mut self, request: usize, server: usize) -> bool {
        let Open { log, key, .. } = &self.requests[request];
        let Some(Dedup { scope, window }) = log.dedup else {
            return false;
        };
        let site = &self.sites[server];
        let group = match scope {
            DedupScope::All => String::new(),
            DedupScope::Zone => site.zone.clone(),
            DedupScope::Cell => format!("{}", site.cell),
        };
        let now = self.now;
        // Kept for as long as a run lasts: its requests are bounded, and so are their keys.
        let seen = self.keys.entry((group, key.clone())).or_insert(now);
        let repeat = *seen < now && now - *seen < window;
        if now - *seen >= window {
            *seen = now;
        }
        repeat
    }

    /// Answers a probe beside the queue; one to a server that is paused, or says nothing, stays unanswered.
    fn tell_load(&mut self, conn: ConnId, server: usize) {
        let silent = self.sites[server].has(FaultKind::Hang, 0);
        if silent || self.sites[server].paused() {
            return;
        }
        let told = self.plan.scenario.spec.load_reports == LoadReports::HealthChecks;
        let bytes = if told {
            let util = self.sites[server].model.utilization(self.now);
            message::response(200, "", format!("{{\"util\":{util:.4}}}").as_bytes())
        } else {
            message::response(404, "", b"")
        };
        let (attempt, ended, then) = (None, AttemptOutcome::Served, ConnectionFate::Stays);
        self.at(
            self.now,
            Todo::Answer(Box::new(Sending {
                conn,
                attempt,
                bytes,
                ended,
                then,
            })),
        );
    }

    pub(super) fn report(&mut self, server: usize, more: &str) -> String {
        if self.plan.scenario.spec.load_reports == LoadReports::HealthChecks {
            return more.to_owned();
        }
        let util = self.sites[server].model.utilization(self.now);
        format!("X-Load-Report: {{\"util\":{util:.4}}}\r\n{more}")
    }

    pub(super) fn wake(&mut self, server: usize) {
        let site = &mut self.sites[server];
        let next = site.model.next_completion();
        if let Some(next) = next.filter(|next| site.wake.is_none_or(|wake| *next < wake)) {
            site.wake = Some(next);
            self.at(next, Todo::Done(server));
        }
    }

    /// One request of a server is done, if it is still that server's life in which it was begun.
    pub(super) fn server_done(&mut self, server: usize) {
        let now = self.now;
        let site = &mut self.sites[server];
        site.wake = None;
        if site.paused() || !site.up {
            return;
        }
        let job = site
            .model
            .take_completed(now)
            .and_then(|ticket| site.jobs.remove(&ticket));
        self.wake(server);
        let Some(Job { conn, attempt, id }) = job else {
            return;
        };
        let sending = Sending {
            conn,
            attempt,
            bytes: Vec::new(),
            ended: AttemptOutcome::Served,
            then: ConnectionFate::Stays,
        };
        self.answer_done(server, &id, sending);
    }

    /// Answers a request that is done, as the server's troubles let it.
    fn answer_done(&mut self, server: usize, id: &str, mut sending: Sending) {
        let (headers, lot) = (self.report(server, ""), self.lot(sending.attempt));
        let site = &self.sites[server];
        let body = body(id, &site.name);
        sending.bytes = message::response(200, &headers, &body);
        let mut at = self.now;
        for trouble in site.troubles_in_order(lot) {
            match trouble {
                FaultKind::CloseDelimited => {
                    sending.bytes = message::response_without_length(200, &headers, &body);
                    sending.then = ConnectionFate::Closes;
                }
                FaultKind::ServerError => {
                    (sending.bytes, sending.ended) = (
                        message::response(500, &headers, b""),
                        AttemptOutcome::ServerError,
                    );
                }
                FaultKind::InvalidResponse => {
                    (sending.bytes, sending.ended) =
                        (NOISE.to_vec(), AttemptOutcome::InvalidResponse);
                }
                FaultKind::ResetConnection { after } => {
                    sending
                        .bytes
                        .truncate(usize::try_from(after).unwrap_or(usize::MAX));
                    (sending.ended, sending.then) =
                        (AttemptOutcome::ConnectionReset, ConnectionFate::Resets);
                }
                FaultKind::DelayResponse { by } => at = at.saturating_add(by),
                _ => {}
            }
        }
        let is_complete = sending.ended == AttemptOutcome::Served;
        if is_complete
            && sending.then == ConnectionFate::Closes
            && let Some((request, number)) = sending.attempt
        {
            self.requests[request].log.attempts[number].without_length = true;
        }
        self.at(at, Todo::Answer(Box::new(sending)));
    }

    pub(super) fn send(&mut self, sending: Sending) -> Option<(usize, u64)> {
        let Sending {
            conn,
            attempt,
            bytes,
            ended,
            then,
        } = sending;
        let Some(Peer::Server {
            server,
            attempt: current,
            ..
        }) = self.peers.get_mut(&conn)
        else {
            self.attempt_ends(attempt, AttemptOutcome::Abandoned);
            return None;
        };
        let server = *server;
        // The connection of another life of this server would have gone with that.
        if self.sites[server].paused() || *current != attempt {
            if self.sites[server].paused() {
                self.at(
                    self.now + MILLISECOND,
                    Todo::Answer(Box::new(Sending {
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
        self.attempt_ends(attempt, ended);
        self.carry(Carried::FromServer(Sending {
            conn,
            attempt,
            bytes,
            ended,
            then,
        }))
    }

    /// What a server has said has come to the node.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub(super) fn deliver(&mut self, sending: Sending) -> Option<(usize, u64)> {
        let Some(Peer::Server { node, .. }) = self.peers.get(&sending.conn) else {
            return None;
        };
        let node = *node;
        let written = self.net.write(sending.conn, &sending.bytes);
        match sending.then {
            ConnectionFate::Stays => {}
            ConnectionFate::Closes => self.at(self.now, Todo::Hang(sending.conn)),
            ConnectionFate::Resets => self.at(self.now, Todo::Reset(sending.conn)),
        }
        node.map(|node| (node, written as u64))
    }

    /// A request's lot, in thousandths, by which a trouble strikes it or not.
    fn lot(&self, attempt: Option<(usize, usize)>) -> u16 {
        let Some((request, number)) = attempt else {
            return 0;
        };
        let mut random = Random::new(
            self.plan.seed ^ (request as u64) << 8 ^ number as u64,
            "lots",
        );
        random.between(0, 999) as u16
    }

    pub(super) fn reset(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        self.net.reset(conn);
        match self.forget(conn)? {
            Peer::Server { node, attempt, .. } => {
                self.attempt_ends(attempt, AttemptOutcome::ConnectionReset);
                node.map(|node| (node, 0))
            }
            Peer::List { node, .. } => Some((node, 0)),
            Peer::Client { node, .. } | Peer::Silent { node, .. } => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                Some((node, 0))
            }
        }
    }

    /// A server's process is no more: its connections are reset and new ones are refused.
    pub(super) fn shut(&mut self, server: usize) -> io::Result<()> {
        let site = &mut self.sites[server];
        site.up = false;
        site.jobs.clear();
        site.held.clear();
        self.net.stop_listening(site.listener)?;
        let of = |peer: &Peer| matches!(peer, Peer::Server { server: of, .. } if *of == server);
        let conns: Vec<ConnId> = self
            .peers
            .iter()
            .filter(|(_, peer)| of(peer))
            .map(|(conn, _)| *conn)
            .collect();
        conns
            .into_iter()
            .for_each(|conn| self.at(self.now, Todo::Reset(conn)));
        Ok(())
    }

    /// A server's process starts, cold.
    pub(super) fn boot(&mut self, server: usize) -> io::Result<()> {
        let now = self.now;
        let site = &mut self.sites[server];
        site.model.restart(now);
        (site.up, site.booted, site.wake) = (true, Some(now), None);
        site.jobs.clear();
        self.net.resume_listening(site.listener)?;
        let notice = self.plan.scenario.spec.discovery.propagation_delay_ms * MILLISECOND;
        self.at(now + notice, Todo::List(server, State::Ready, true));
        Ok(())
    }

    pub(super) fn resume(&mut self, server: usize) {
        for job in std::mem::take(&mut self.sites[server].held) {
            self.work(server, job);
        }
        self.wake(server);
    }
}

//! A session's transactions towards the engine: submitting them, taking leased connections, ending attempts.

use std::task::{Context, Poll};

use badgerpost_balancer::Outcome;
use badgerpost_engine::{AttemptEnd, AttemptId, IncomingRequest, RequestOutcome};
use badgerpost_postgres_session::server_messages::{self, ErrorReason, TransactionStatus};
use badgerpost_postgres_session::session::Event;

use super::{LeasedConnection, PausedTransaction, Relay, RelayProgress, Waits};
use crate::config::idempotent_class_name;
use crate::{LeaseRequest, Postgres, ServerLease};

impl Relay {
    /// What the engine brings: a lease, or the end of the transaction.
    pub(super) fn poll_engine(&mut self, cx: &mut Context<'_>) -> RelayProgress {
        if let Some(held_back) = &mut self.held_back {
            let alone = held_back.alone;
            if held_back.resumed.as_mut().poll(cx).is_ready() {
                self.held_back = None;
                self.submit(alone);
                return RelayProgress::Advanced;
            }
            if held_back.late.as_mut().poll(cx).is_ready() {
                self.held_back = None;
                self.handle(Event::Rejected {
                    retry_after_ms: 1000,
                });
                return RelayProgress::Advanced;
            }
        }
        if self.held.is_some() || self.waiting.is_none() {
            return RelayProgress::Stalled;
        }
        if let Poll::Ready(lease) = self.slot.poll(cx) {
            self.leased(*lease);
            return RelayProgress::Advanced;
        }
        let Some(waiting) = &mut self.waiting else {
            return RelayProgress::Stalled;
        };
        match waiting.as_mut().poll(cx) {
            Poll::Ready(reply) => {
                self.wait_no_more();
                match reply {
                    // Told by the session itself, as it came.
                    RequestOutcome::Served(()) => {}
                    RequestOutcome::Rejected(pause) => {
                        self.handle(Event::Rejected {
                            retry_after_ms: pause.div_ceil(1_000_000),
                        });
                    }
                    RequestOutcome::Failed => self.handle(Event::RequestFailed),
                }
                RelayProgress::Advanced
            }
            Poll::Pending => RelayProgress::Stalled,
        }
    }

    /// A pinned session can't be moved: with its server draining, its next transaction is not begun there.
    pub(super) fn check_pinned(&mut self) {
        let Some(held) = &self.held else { return };
        let between = held.ticket.is_none() && self.session.status() == TransactionStatus::Idle;
        if between
            && !self
                .terms
                .fleet
                .is_in_service_at(held.backend, held.endpoint)
        {
            let detail = "the session is pinned to a server that leaves";
            server_messages::error_response(ErrorReason::Stopping, Some(detail))
                .write(&mut self.to_client);
            self.handle(Event::ClientDisconnected);
        }
    }

    /// The transaction is over for the engine; a lease that has come for it in this moment goes back unused.
    pub(super) fn wait_no_more(&mut self) {
        self.waiting = None;
        self.slot.wanted.set(0);
        if let Some(lease) = self.slot.lease.borrow_mut().take() {
            let ServerLease { ticket, link, .. } = *lease;
            self.terms.pool.keep(&self.terms.fleet, link);
            self.terms
                .fleet
                .attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent));
        }
    }

    /// Ends the attempt that the connection was leased for.
    pub(super) fn settle(&mut self, ending: AttemptEnd<()>) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.end(ticket, ending);
    }

    pub(super) fn end(&self, ticket: Option<AttemptId>, ending: AttemptEnd<()>) {
        if let Some(ticket) = ticket {
            self.terms.fleet.attempt_ended(ticket, ending);
        }
    }

    /// The connection is of no use any more. The session hears of it first, so that it waits for what the engine
    /// says then.
    pub(super) fn lost(&mut self, outcome: Outcome) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.handle(Event::ServerLost);
        self.held = None;
        self.end(ticket, AttemptEnd::bare(outcome));
        if ticket.is_none() && !self.ended {
            // Between two transactions nobody but the session has to be told.
            self.handle(Event::RequestFailed);
        }
    }

    pub(super) fn ask(&mut self, alone: bool) {
        if !self.terms.pool.is_paused() {
            return self.submit(alone);
        }
        let clock = self.terms.fleet.clock();
        let deadline = self
            .terms
            .fleet
            .class(&self.terms.class.0)
            .map_or(0, |class| class.deadline);
        // What it waits for is refused in time for the client to do something about it.
        let late = clock.sleep_until(clock.now().saturating_add(deadline / 2));
        let pool = self.terms.pool.clone();
        let resumed: Waits = Box::pin(async move { pool.resumed().await });
        self.held_back = Some(Box::new(PausedTransaction {
            alone,
            resumed,
            late: Box::pin(late),
        }));
    }

    pub(super) fn submit(&mut self, alone: bool) {
        let (class_name, may_repeat) = &self.terms.class;
        let name = if alone && *may_repeat {
            idempotent_class_name(class_name)
        } else {
            class_name.clone()
        };
        let Some(class) = self.terms.fleet.class(&name) else {
            // The classes come from the same configuration, so this does not happen; if so, it is a failure.
            return self.handle(Event::RequestFailed);
        };
        self.asked += 1;
        let id = format!("pg-{}-{}", self.registered.number(), self.asked).into();
        let call = LeaseRequest {
            database: self.terms.database.clone(),
            login: self.terms.login,
            rank: u64::MAX - (self.terms.worth.max(0.0) * 1e6) as u64,
            transaction: self.asked,
            slot: self.slot.clone(),
        };
        self.slot.wanted.set(self.asked);
        let asked: IncomingRequest<Postgres> = IncomingRequest {
            id,
            class: class.id,
            tenant: None,
            affinity_key: None,
            expected_work: None,
            is_retry: false,
            budget: class.deadline,
            payload: call,
        };
        match self.terms.fleet.submit(asked) {
            Some(waiting) => self.waiting = Some(Box::pin(waiting.into_outcome())),
            None => self.handle(Event::RequestFailed),
        }
    }

    pub(super) fn leased(&mut self, lease: ServerLease) {
        let ServerLease {
            ticket,
            backend,
            endpoint,
            mut link,
            give_up,
            withdrawn,
        } = lease;
        let state = std::mem::take(&mut link.state);
        let held = LeasedConnection {
            link,
            backend,
            endpoint,
            ticket: Some(ticket),
            give_up,
            withdrawn,
            timer: None,
        };
        self.held = Some(Box::new(held));
        self.handle(Event::Attached(state));
        if self.terms.session_pooling {
            self.session.keep_server();
        }
    }
}

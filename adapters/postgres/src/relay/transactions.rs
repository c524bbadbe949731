//! The transactions of a session and the engine: requests server connections, attaches leases, reports the ends of
//! attempts.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use badgerpost_balancer::{Nanos, Outcome};
use badgerpost_engine::{AttemptEnd, AttemptId, Clock, IncomingRequest, RequestOutcome, nanos};
use badgerpost_postgres_session::server_messages::{ErrorReason, TransactionStatus};
use badgerpost_postgres_session::session::Event;

use super::{LeasedConnection, Notification, PausedTransaction, Progress, Relay};
use crate::Postgres;
use crate::config::idempotent_class_name;
use crate::lease::{LeaseRequest, ServerLease};

/// Retry delay given to a client whose transaction was rejected because the pool stayed paused.
const PAUSED_RETRY_AFTER_MS: u64 = 1000;
/// Difference in queue rank per unit of priority weight.
const RANKS_PER_WEIGHT: f64 = 1e6;

impl Relay {
    /// Requests a server connection for a transaction. While the pool is paused, the transaction is held back.
    pub(super) fn request_server(&mut self, is_single_statement: bool) {
        if self.context.pool.is_paused() {
            self.wait_for_resume(is_single_statement);
        } else {
            self.submit(is_single_statement);
        }
    }

    fn wait_for_resume(&mut self, is_single_statement: bool) {
        let engine = &self.context.engine;
        let clock = engine.clock();
        let deadline = engine
            .class(&self.context.class.name)
            .map_or(0, |class| class.deadline);
        // Rejecting at half the deadline leaves the client time for an alternative.
        let timeout = deadline_notification(clock, clock.now().saturating_add(deadline / 2));
        let pool = self.context.pool.clone();
        let resumed: Notification = Box::pin(async move { pool.resumed().await });
        self.paused_transaction = Some(Box::new(PausedTransaction {
            is_single_statement,
            resumed,
            timeout,
        }));
    }

    fn submit(&mut self, is_single_statement: bool) {
        let session_class = &self.context.class;
        let class_name = if is_single_statement && session_class.has_idempotent_statements {
            idempotent_class_name(&session_class.name)
        } else {
            session_class.name.clone()
        };
        let Some(class) = self.context.engine.class(&class_name) else {
            // Unreachable: the engine's classes come from the same configuration.
            return self.handle(Event::RequestFailed);
        };
        self.transactions += 1;
        let request = LeaseRequest {
            target: self.context.target.clone(),
            rank: rank(session_class.priority_weight),
            transaction: self.transactions,
            slot: self.lease_slot.clone(),
        };
        self.lease_slot.expect(self.transactions);
        let request: IncomingRequest<Postgres> = IncomingRequest {
            id: format!("pg-{}-{}", self.registered.number(), self.transactions).into(),
            class: class.id,
            tenant: None,
            affinity_key: None,
            expected_service_time: None,
            is_retry: false,
            budget: class.deadline,
            payload: request,
        };
        match self.context.engine.submit(request) {
            Some(pending) => self.pending_outcome = Some(Box::pin(pending.into_outcome())),
            None => self.handle(Event::RequestFailed),
        }
    }

    /// Handles a lease that the engine has delivered, or the outcome of the transaction.
    pub(super) fn poll_engine(&mut self, cx: &mut Context<'_>) -> Progress {
        if self.poll_paused_transaction(cx) == Progress::Advanced {
            return Progress::Advanced;
        }
        if self.server.is_some() || self.pending_outcome.is_none() {
            return Progress::Stalled;
        }
        if let Poll::Ready(lease) = self.lease_slot.poll_lease(cx) {
            self.attach(*lease);
            return Progress::Advanced;
        }
        let Some(pending) = &mut self.pending_outcome else {
            return Progress::Stalled;
        };
        let Poll::Ready(outcome) = pending.as_mut().poll(cx) else {
            return Progress::Stalled;
        };
        self.abandon_request();
        match outcome {
            // The session has already handled the response.
            RequestOutcome::Served(()) => {}
            RequestOutcome::Rejected(retry_after) => self.handle(Event::Rejected {
                retry_after_ms: milliseconds_rounded_up(retry_after),
            }),
            RequestOutcome::Failed | RequestOutcome::FailedWith(()) => {
                self.handle(Event::RequestFailed);
            }
        }
        Progress::Advanced
    }

    /// Submits the transaction that is held back when the pool is resumed, or rejects it when it has waited too long.
    fn poll_paused_transaction(&mut self, cx: &mut Context<'_>) -> Progress {
        let Some(paused) = &mut self.paused_transaction else {
            return Progress::Stalled;
        };
        if paused.resumed.as_mut().poll(cx).is_ready() {
            let is_single_statement = paused.is_single_statement;
            self.paused_transaction = None;
            self.submit(is_single_statement);
            return Progress::Advanced;
        }
        if paused.timeout.as_mut().poll(cx).is_ready() {
            self.paused_transaction = None;
            self.handle(Event::Rejected {
                retry_after_ms: PAUSED_RETRY_AFTER_MS,
            });
            return Progress::Advanced;
        }
        Progress::Stalled
    }

    /// Attaches the server connection of a lease to the session.
    fn attach(&mut self, lease: ServerLease) {
        let ServerLease {
            attempt,
            address,
            mut connection,
            deadline,
            cancelled,
        } = lease;
        let state = std::mem::take(&mut connection.state);
        self.server = Some(Box::new(LeasedConnection {
            connection,
            address,
            attempt: Some(attempt),
            deadline,
            cancelled,
            timeout: None,
        }));
        self.handle(Event::Attached(state));
        if self.context.has_session_pooling {
            self.session.keep_server();
        }
    }

    /// Closes the server connection if its attempt was cancelled or has timed out.
    pub(super) fn poll_attempt(&mut self, cx: &mut Context<'_>) -> Progress {
        // A sticky session has no attempt between two transactions.
        let Some(server) = self
            .server
            .as_mut()
            .filter(|server| server.attempt.is_some())
        else {
            return Progress::Stalled;
        };
        if Pin::new(&mut server.cancelled).poll(cx).is_ready() {
            self.lose_server(Outcome::Cancelled);
            return Progress::Advanced;
        }
        let (clock, deadline) = (self.context.engine.clock(), server.deadline);
        let timeout = server
            .timeout
            .get_or_insert_with(|| deadline_notification(clock, deadline));
        if timeout.as_mut().poll(cx).is_ready() {
            self.lose_server(Outcome::TimedOut);
            return Progress::Advanced;
        }
        Progress::Stalled
    }

    /// Ends a sticky session between transactions if its server is draining. The session cannot move to another server,
    /// and a draining server accepts no new transactions.
    pub(super) fn end_if_sticky_server_drains(&mut self) {
        let Some(server) = &self.server else { return };
        let address = server.address;
        let is_between_transactions =
            server.attempt.is_none() && self.session.status() == TransactionStatus::Idle;
        let engine = &self.context.engine;
        if is_between_transactions && !engine.is_in_service_at(address.into()) {
            let detail = "the session is pinned to a server that is being removed from service";
            self.end_session(ErrorReason::ShuttingDown, Some(detail));
        }
    }

    /// Closes a server connection that failed or timed out. The session is notified before the engine, so that the
    /// session is ready for the engine's decision to retry or to fail the transaction.
    pub(super) fn lose_server(&mut self, outcome: Outcome) {
        let attempt = self
            .server
            .as_mut()
            .and_then(|server| server.attempt.take());
        self.handle(Event::ServerLost);
        self.server = None;
        self.report_attempt_end(attempt, AttemptEnd::without_response(outcome));
        if attempt.is_none() && !self.ended {
            // Between two transactions no request is pending, so the engine reports no outcome.
            self.handle(Event::RequestFailed);
        }
    }

    /// Ends the attempt for which the server connection was leased.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd<()>) {
        let attempt = self
            .server
            .as_mut()
            .and_then(|server| server.attempt.take());
        self.report_attempt_end(attempt, end);
    }

    /// Reports the end of an attempt to the engine; does nothing for `None`.
    pub(super) fn report_attempt_end(&self, attempt: Option<AttemptId>, end: AttemptEnd<()>) {
        if let Some(attempt) = attempt {
            self.context.engine.attempt_ended(attempt, end);
        }
    }

    /// Drops the pending request. A lease that was delivered but not attached is released unused.
    pub(super) fn abandon_request(&mut self) {
        self.pending_outcome = None;
        if let Some(lease) = self.lease_slot.close() {
            let ServerLease {
                attempt,
                connection,
                ..
            } = *lease;
            let engine = &self.context.engine;
            self.context.pool.release(engine, connection);
            engine.attempt_ended(attempt, AttemptEnd::without_response(Outcome::NotSent));
        }
    }
}

/// Resolves at the time `at`, after input that had arrived by then was read. If the node was suspended past the
/// deadline, a response that is already in the socket buffer still counts as in time.
fn deadline_notification(clock: &Clock, at: Nanos) -> Notification {
    let clock = clock.clone();
    Box::pin(async move { clock.wait_for_deadline(at).await })
}

/// The queue rank of a class's transactions, lower for a higher weight. The lowest rank is served first.
fn rank(priority_weight: f64) -> u64 {
    u64::MAX - (priority_weight.max(0.0) * RANKS_PER_WEIGHT) as u64
}

fn milliseconds_rounded_up(duration: Nanos) -> u64 {
    duration.div_ceil(nanos(Duration::from_millis(1)))
}

//! A session's transactions towards the engine: requesting server connections, taking them, ending attempts.

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

/// Retry-after of a transaction that has waited for a paused pool in vain, in milliseconds.
const PAUSED_RETRY_AFTER_MS: u64 = 1000;
/// Steps of rank for each unit of a class's priority weight.
const RANKS_PER_WEIGHT: f64 = 1e6;

impl Relay {
    /// Asks for a server connection for a transaction. While the pool is paused, the transaction waits first.
    pub(super) fn request_server(&mut self, is_single_statement: bool) {
        if self.context.pool.is_paused() {
            self.wait_for_resume(is_single_statement);
        } else {
            self.submit(is_single_statement);
        }
    }

    fn wait_for_resume(&mut self, is_single_statement: bool) {
        let fleet = &self.context.fleet;
        let clock = fleet.clock();
        let deadline = fleet
            .class(&self.context.class.name)
            .map_or(0, |class| class.deadline);
        // It is rejected early enough for the client to do something else before its deadline.
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
        let Some(class) = self.context.fleet.class(&class_name) else {
            // The engine's classes come from the same configuration, so this does not happen.
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
        match self.context.fleet.submit(request) {
            Some(pending) => self.pending_outcome = Some(Box::pin(pending.into_outcome())),
            None => self.handle(Event::RequestFailed),
        }
    }

    /// Handles what the engine brings: a lease, or the outcome of the transaction.
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
        self.forget_request();
        match outcome {
            // The session has seen the response itself.
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

    /// Submits the transaction that is held back once the pool is resumed, or rejects it when it has waited too long.
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

    /// Gives the session the server connection of a lease.
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

    /// Gives the server connection up if the attempt that it was leased for is cancelled or late.
    pub(super) fn poll_attempt(&mut self, cx: &mut Context<'_>) -> Progress {
        // A sticky session between two transactions has no attempt: it waits for its client alone.
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
        let (clock, deadline) = (self.context.fleet.clock(), server.deadline);
        let timeout = server
            .timeout
            .get_or_insert_with(|| deadline_notification(clock, deadline));
        if timeout.as_mut().poll(cx).is_ready() {
            self.lose_server(Outcome::TimedOut);
            return Progress::Advanced;
        }
        Progress::Stalled
    }

    /// Ends a sticky session whose server is draining: it can't go to another one, and its next transaction may not
    /// start there.
    pub(super) fn end_if_sticky_server_drains(&mut self) {
        let Some(server) = &self.server else { return };
        let address = server.address;
        let is_between_transactions =
            server.attempt.is_none() && self.session.status() == TransactionStatus::Idle;
        let fleet = &self.context.fleet;
        if is_between_transactions && !fleet.is_in_service_at(address.backend, address.endpoint) {
            let detail = "the session is pinned to a server that leaves";
            self.end_session(ErrorReason::ShuttingDown, Some(detail));
        }
    }

    /// Closes the server connection, which can't be used any more. The session learns of it before the engine, so that
    /// it waits for what the engine decides then.
    pub(super) fn lose_server(&mut self, outcome: Outcome) {
        let attempt = self
            .server
            .as_mut()
            .and_then(|server| server.attempt.take());
        self.handle(Event::ServerLost);
        self.server = None;
        self.report_attempt_end(attempt, AttemptEnd::without_response(outcome));
        if attempt.is_none() && !self.ended {
            // Between two transactions the engine has no part in it.
            self.handle(Event::RequestFailed);
        }
    }

    /// Ends the attempt that the server connection was leased for.
    pub(super) fn end_attempt(&mut self, end: AttemptEnd<()>) {
        let attempt = self
            .server
            .as_mut()
            .and_then(|server| server.attempt.take());
        self.report_attempt_end(attempt, end);
    }

    /// Reports an attempt's end to the engine, if there is an attempt.
    pub(super) fn report_attempt_end(&self, attempt: Option<AttemptId>, end: AttemptEnd<()>) {
        if let Some(attempt) = attempt {
            self.context.fleet.attempt_ended(attempt, end);
        }
    }

    /// Waits for the engine no more. A lease that has arrived for the transaction in this moment is given back unused.
    pub(super) fn forget_request(&mut self) {
        self.pending_outcome = None;
        if let Some(lease) = self.lease_slot.close() {
            let ServerLease {
                attempt,
                connection,
                ..
            } = *lease;
            let fleet = &self.context.fleet;
            self.context.pool.release(fleet, connection);
            fleet.attempt_ended(attempt, AttemptEnd::without_response(Outcome::NotSent));
        }
    }
}

/// Resolves at this time, once what had arrived by then was read: a response that lies in the socket of a node that has
/// stood still has come in time.
fn deadline_notification(clock: &Clock, at: Nanos) -> Notification {
    let clock = clock.clone();
    Box::pin(async move { clock.wait_for_deadline(at).await })
}

/// The rank of a class's transactions among those that wait for a connection; the lowest is first.
fn rank(priority_weight: f64) -> u64 {
    u64::MAX - (priority_weight.max(0.0) * RANKS_PER_WEIGHT) as u64
}

fn milliseconds_rounded_up(duration: Nanos) -> u64 {
    duration.div_ceil(nanos(Duration::from_millis(1)))
}

//! The engine's transport to PostgreSQL servers. An attempt acquires a connection from the pool and leases it to the
//! requesting session. The session reports the end of the attempt to the engine.

use std::rc::Rc;

use badgerpost_balancer::{BackendId, Outcome};
use badgerpost_engine::{AttemptCommand, AttemptEnd, Transport, spawn};

use crate::lease::ServerLease;
use crate::login::ConnectError;
use crate::pool::{Pool, PoolKey, ServerAddress};
use crate::{Postgres, PostgresEngine};

/// Starts attempts on connections from a pool.
pub struct PostgresTransport(pub Rc<Pool>);

impl Transport<Postgres> for PostgresTransport {
    fn start_attempt(&self, engine: &PostgresEngine, command: AttemptCommand<Postgres>) {
        let (pool, engine) = (self.0.clone(), engine.clone());
        spawn(async move {
            let attempt = command.attempt;
            if let Err(outcome) = lease_connection(&pool, &engine, command).await {
                engine.attempt_ended(attempt, AttemptEnd::without_response(outcome));
            }
        });
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.0.close_idle_connections(backend);
    }
}

/// Acquires a connection and leases it to the attempt's transaction.
///
/// # Errors
/// The outcome of the attempt if no lease was delivered.
async fn lease_connection(
    pool: &Pool,
    engine: &PostgresEngine,
    command: AttemptCommand<Postgres>,
) -> Result<(), Outcome> {
    let AttemptCommand {
        attempt,
        backend,
        address: endpoint,
        incarnation,
        payload: request,
        attempt_deadline: deadline,
        mut cancelled,
        ..
    } = command;
    let address = ServerAddress {
        backend,
        endpoint,
        incarnation,
    };
    let key = PoolKey {
        address,
        target: request.target.clone(),
    };
    let acquired = tokio::select! {
        biased;
        _ = &mut cancelled => return Err(Outcome::NotSent),
        acquired = pool.acquire(&key, request.rank, deadline) => acquired,
        // A login can outlast the deadline. No part of the transaction was sent.
        () = engine.clock().wait_for_deadline(deadline) => return Err(Outcome::NotSent),
    };
    let connection = acquired.map_err(|error| {
        let server = engine.endpoint_name(backend);
        tracing::debug!(server, %endpoint, %error, "no connection to the PostgreSQL server; ending the attempt");
        outcome_of(&error)
    })?;
    // During the wait or the login, the request may have ended or the server may have been removed.
    if !engine.may_write(attempt) {
        pool.release(engine, connection);
        return Err(Outcome::NotSent);
    }
    let lease = ServerLease {
        attempt,
        address,
        connection,
        deadline,
        cancelled,
    };
    if let Some(undelivered) = request.slot.deliver(request.transaction, lease) {
        pool.release(engine, undelivered.connection);
        return Err(Outcome::NotSent);
    }
    Ok(())
}

/// The outcome of an attempt that could not acquire a connection.
fn outcome_of(error: &ConnectError) -> Outcome {
    if error.is_capacity() {
        Outcome::Rejected
    } else {
        Outcome::ConnectFailed
    }
}

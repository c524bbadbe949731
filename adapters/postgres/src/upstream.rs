//! The engine's transport to PostgreSQL servers. An attempt takes a connection from the pool and leases it to the
//! session that asked; that session reports how the attempt ends.

use std::rc::Rc;

use badgerpost_balancer::{BackendId, Outcome};
use badgerpost_engine::{AttemptCommand, AttemptEnd, Transport, spawn};

use crate::lease::ServerLease;
use crate::login::ConnectError;
use crate::pool::{Pool, PoolKey, ServerAddress};
use crate::{Postgres, PostgresEngine};

/// Makes attempts with connections of a pool.
pub struct PostgresTransport(pub Rc<Pool>);

impl Transport<Postgres> for PostgresTransport {
    fn start_attempt(&self, fleet: &PostgresEngine, command: AttemptCommand<Postgres>) {
        let (pool, fleet) = (self.0.clone(), fleet.clone());
        spawn(async move {
            let attempt = command.attempt;
            if let Err(outcome) = lease_connection(&pool, &fleet, command).await {
                fleet.attempt_ended(attempt, AttemptEnd::without_response(outcome));
            }
        });
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.0.close_idle_connections(backend);
    }
}

/// Leases a connection to the transaction that the attempt is for.
///
/// # Errors
/// The outcome of the attempt, if it has ended without a lease.
async fn lease_connection(
    pool: &Pool,
    fleet: &PostgresEngine,
    command: AttemptCommand<Postgres>,
) -> Result<(), Outcome> {
    let AttemptCommand {
        attempt,
        backend,
        address: endpoint,
        payload: request,
        attempt_deadline: deadline,
        mut cancelled,
        ..
    } = command;
    let address = ServerAddress { backend, endpoint };
    let key = PoolKey {
        address,
        target: request.target.clone(),
    };
    let acquired = tokio::select! {
        biased;
        _ = &mut cancelled => return Err(Outcome::NotSent),
        acquired = pool.acquire(&key, request.rank, deadline) => acquired,
        // A login may take longer than that. Nothing was sent.
        () = fleet.clock().wait_for_deadline(deadline) => return Err(Outcome::NotSent),
    };
    let connection = acquired.map_err(|error| {
        let server = fleet.endpoint_name(backend);
        tracing::debug!(server, %endpoint, %error, "no connection to a PostgreSQL server");
        outcome_of(&error)
    })?;
    // The wait or the login may have outlasted the request, or the server's entry on the endpoint list.
    if !fleet.may_write(attempt) {
        pool.release(fleet, connection);
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
        pool.release(fleet, undelivered.connection);
        return Err(Outcome::NotSent);
    }
    Ok(())
}

/// How an attempt ends that got no connection.
fn outcome_of(error: &ConnectError) -> Outcome {
    if error.is_capacity() {
        Outcome::Rejected
    } else {
        Outcome::ConnectFailed
    }
}

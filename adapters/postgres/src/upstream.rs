//! Attempts over the pool: each ends in the lease of a connection to the session that asked, or in none.

use std::rc::Rc;

use badgerpost_balancer::{BackendId, Outcome};
use badgerpost_engine::{AttemptCommand, AttemptEnd, Transport, spawn};

use crate::login::ConnectError;
use crate::pool::{Pool, PoolKey};
use crate::{Postgres, PostgresEngine, ServerLease};

/// Starts attempts over a pool.
pub struct PostgresTransport(pub Rc<Pool>);

impl Transport<Postgres> for PostgresTransport {
    fn start_attempt(&self, fleet: &PostgresEngine, launch: AttemptCommand<Postgres>) {
        let (pool, fleet) = (self.0.clone(), fleet.clone());
        spawn(async move { lease(&pool, &fleet, launch).await });
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.0.retire(backend);
    }
}

/// Finds a connection for a transaction. The attempt's end comes from the session that it is leased to.
async fn lease(pool: &Pool, fleet: &PostgresEngine, launch: AttemptCommand<Postgres>) {
    let AttemptCommand {
        attempt: ticket,
        backend,
        address: endpoint,
        payload: call,
        attempt_deadline: give_up,
        cancelled: mut withdrawn,
        ..
    } = launch;
    let key = PoolKey {
        place: (backend, endpoint),
        database: call.database.clone(),
        login: call.login,
    };
    let link = tokio::select! {
        biased;
        _ = &mut withdrawn => return fleet.attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent)),
        link = pool.link(&key, call.rank, give_up) => link,
        // A login may take longer than that. Nothing was sent.
        () = fleet.clock().sleep_until(give_up) => return fleet.attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent)),
    };
    let link = match link {
        Ok(link) => link,
        Err(error) => {
            tracing::debug!(server = fleet.endpoint_name(backend), %endpoint, %error, "no connection to a PostgreSQL server");
            let outcome = match error {
                ConnectError::Full(_) => Outcome::Rejected,
                _ => Outcome::ConnectFailed,
            };
            return fleet.attempt_ended(ticket, AttemptEnd::bare(outcome));
        }
    };
    // The wait or the login may have outlasted the request, or the server's place on the list.
    if !fleet.may_write(ticket) {
        pool.keep(fleet, link);
        return fleet.attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent));
    }
    let leased = ServerLease {
        ticket,
        backend,
        endpoint,
        link,
        give_up,
        withdrawn,
    };
    if let Some(refused) = call.slot.put(call.transaction, leased) {
        pool.keep(fleet, refused.link);
        fleet.attempt_ended(ticket, AttemptEnd::bare(Outcome::NotSent));
    }
}

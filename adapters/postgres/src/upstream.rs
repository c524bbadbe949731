//! Attempts over the pool: each ends in the lease of a connection to the session that asked, or in none.

use std::rc::Rc;

use badgerpost_balancer::{BackendId, Outcome};
use badgerpost_engine::{Ending, Launch, Launcher, spawn};

use crate::login::NoLink;
use crate::pool::{Pool, PoolKey};
use crate::{Fleet, Lease, Postgres};

/// Starts attempts over a pool.
pub struct Upstream(pub Rc<Pool>);

impl Launcher<Postgres> for Upstream {
    fn launch(&self, fleet: &Fleet, launch: Launch<Postgres>) {
        let (pool, fleet) = (self.0.clone(), fleet.clone());
        spawn(async move { lease(&pool, &fleet, launch).await });
    }

    fn retire(&self, backend: BackendId) {
        self.0.retire(backend);
    }
}

/// Finds a connection for a transaction. The attempt's end comes from the session that it is leased to.
async fn lease(pool: &Pool, fleet: &Fleet, launch: Launch<Postgres>) {
    let Launch { ticket, backend, endpoint, call, give_up, mut withdrawn, .. } = launch;
    let key = PoolKey { place: (backend, endpoint), database: call.database.clone(), login: call.login };
    let link = tokio::select! {
        biased;
        _ = &mut withdrawn => return fleet.settled(ticket, Ending::bare(Outcome::Moot)),
        link = pool.link(&key, call.rank, give_up) => link,
        // A login may take longer than that. Nothing was sent.
        () = fleet.clock().sleep_until(give_up) => return fleet.settled(ticket, Ending::bare(Outcome::Moot)),
    };
    let link = match link {
        Ok(link) => link,
        Err(error) => {
            tracing::debug!(server = fleet.name_of(backend), %endpoint, %error, "no connection to a PostgreSQL server");
            let outcome = match error {
                NoLink::Full(_) => Outcome::Full,
                _ => Outcome::ConnectFailed,
            };
            return fleet.settled(ticket, Ending::bare(outcome));
        }
    };
    // The wait or the login may have outlasted the request, or the server's place on the list.
    if !fleet.may_write(ticket) {
        pool.keep(fleet, link);
        return fleet.settled(ticket, Ending::bare(Outcome::Moot));
    }
    let leased = Lease { ticket, backend, endpoint, link, give_up, withdrawn };
    if let Some(refused) = call.slot.put(call.transaction, leased) {
        pool.keep(fleet, refused.link);
        fleet.settled(ticket, Ending::bare(Outcome::Moot));
    }
}

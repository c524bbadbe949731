//! What servers report of themselves as a connection is opened (`ParameterStatus`), combined for clients: a client
//! learns the lowest value of each parameter, as its transactions may go to any server.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{Engine, Protocol, nanos};

use super::{CONNECT_TIMEOUT, ConnectionTarget, Pool, PoolKey, ServerAddress};
use crate::login::Parameters;

/// Wait before the next attempt to connect, while no server has reported its parameters yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Rank of a connection that is opened for the parameters' sake: before all transactions.
const HIGHEST_RANK: u64 = 0;

/// The parameters of all servers.
#[derive(Default)]
pub(super) struct ServerParameters {
    by_server: RefCell<BTreeMap<ServerAddress, Parameters>>,
    /// Outlasts the servers that it came from, so that a client can start while none is reachable.
    lowest: RefCell<Parameters>,
}

impl ServerParameters {
    /// Takes in what a server has reported.
    pub(super) fn record(&self, address: ServerAddress, reported: Parameters) {
        let mut by_server = self.by_server.borrow_mut();
        if by_server.get(&address) == Some(&reported) {
            return;
        }
        by_server.insert(address, reported);
        *self.lowest.borrow_mut() = lowest_values(by_server.values());
    }

    /// Forgets a server, from the next report on.
    pub(super) fn forget(&self, backend: BackendId) {
        self.by_server
            .borrow_mut()
            .retain(|address, _| address.backend != backend);
    }

    /// Whether any server has reported its parameters so far.
    fn is_known(&self) -> bool {
        !self.lowest.borrow().is_empty()
    }

    fn lowest(&self) -> Option<Parameters> {
        self.is_known().then(|| self.lowest.borrow().clone())
    }
}

impl Pool {
    /// The lowest values of the parameters that servers have reported. If none has yet, a connection is opened for this
    /// target; `None` if no server can be reached.
    pub async fn server_parameters<P: Protocol>(
        &self,
        fleet: &Engine<P>,
        target: &ConnectionTarget,
    ) -> Option<Parameters> {
        let deadline = self.clock.now().saturating_add(nanos(CONNECT_TIMEOUT));
        while !self.parameters.is_known() && self.clock.now() < deadline {
            self.connect_to_any_server(fleet, target, deadline).await;
            if !self.parameters.is_known() {
                // The list of servers may not be here yet.
                self.clock.sleep(RETRY_INTERVAL).await;
            }
        }
        self.parameters.lowest()
    }

    /// Opens a connection to the first server that can be reached, and pools it.
    async fn connect_to_any_server<P: Protocol>(
        &self,
        fleet: &Engine<P>,
        target: &ConnectionTarget,
        deadline: Nanos,
    ) {
        for server in fleet.endpoints_in_service() {
            let key = PoolKey {
                address: server.into(),
                target: target.clone(),
            };
            match self.acquire(&key, HIGHEST_RANK, deadline).await {
                Ok(connection) => return self.release(fleet, connection),
                Err(error) => {
                    tracing::warn!(
                        endpoint = %key.address.endpoint,
                        %error,
                        "no first connection to a PostgreSQL server"
                    );
                }
            }
        }
    }
}

/// The lowest value of each parameter; versions are compared by their numbers.
fn lowest_values<'a>(servers: impl Iterator<Item = &'a Parameters>) -> Parameters {
    let mut lowest = Parameters::new();
    for (name, value) in servers.flatten() {
        match lowest.get(name) {
            Some(known) if (numbers_in(known), known) <= (numbers_in(value), value) => {}
            _ => {
                lowest.insert(name.clone(), value.clone());
            }
        }
    }
    lowest
}

/// The decimal numbers in a text, in their order.
fn numbers_in(text: &str) -> Vec<u64> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok())
        .collect()
}

#[cfg(test)]
mod tests;

//! The parameters that servers report during login (`ParameterStatus`), combined for clients. A client receives the
//! lowest value of each parameter, because the client's transactions may run on any server.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{Engine, Protocol, nanos};

use super::{CONNECT_TIMEOUT, ConnectionTarget, Pool, PoolKey, ServerAddress};
use crate::login::Parameters;

/// Delay between attempts to connect while no server has reported its parameters.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Queue rank of a connection that is opened to learn parameters: ahead of all transactions.
const FIRST_RANK: u64 = 0;

/// The reported parameters of all servers, and the lowest value of each.
#[derive(Default)]
pub(super) struct ServerParameters {
    by_server: RefCell<BTreeMap<ServerAddress, Parameters>>,
    /// The lowest value of each parameter. Kept when servers are removed, so that clients can connect while no server
    /// is reachable.
    lowest: RefCell<Parameters>,
}

impl ServerParameters {
    /// Stores the parameters that a server has reported, and updates the lowest values.
    pub(super) fn record(&self, address: ServerAddress, reported: Parameters) {
        let mut by_server = self.by_server.borrow_mut();
        if by_server.get(&address) == Some(&reported) {
            return;
        }
        by_server.insert(address, reported);
        *self.lowest.borrow_mut() = lowest_values(by_server.values());
    }

    /// Removes a server's parameters. The lowest values are recomputed at the next [`Self::record`] of a change.
    pub(super) fn remove(&self, backend: BackendId) {
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
    /// The lowest value of each parameter that servers have reported. If no server has reported any, connects to a
    /// server with `target` first; `None` if no login succeeds within the connect timeout.
    pub async fn server_parameters<P: Protocol>(
        &self,
        engine: &Engine<P>,
        target: &ConnectionTarget,
    ) -> Option<Parameters> {
        let deadline = self.clock.now().saturating_add(nanos(CONNECT_TIMEOUT));
        while !self.parameters.is_known() && self.clock.now() < deadline {
            self.connect_to_any_server(engine, target, deadline).await;
            if !self.parameters.is_known() {
                // The endpoint list may not have been received yet.
                self.clock.sleep(RETRY_INTERVAL).await;
            }
        }
        self.parameters.lowest()
    }

    /// Connects to the first reachable server and puts the connection into the pool.
    async fn connect_to_any_server<P: Protocol>(
        &self,
        engine: &Engine<P>,
        target: &ConnectionTarget,
        deadline: Nanos,
    ) {
        for server in engine.endpoints_in_service() {
            let key = PoolKey {
                address: server.into(),
                target: target.clone(),
            };
            match self.acquire(&key, FIRST_RANK, deadline).await {
                Ok(connection) => return self.release(engine, connection),
                Err(error) => {
                    tracing::warn!(
                        endpoint = %key.address.endpoint,
                        %error,
                        "could not read the parameters of a PostgreSQL server; trying the next server"
                    );
                }
            }
        }
    }
}

/// The lowest value of each parameter. Values are compared by the numbers in them first, then as text.
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

/// The decimal numbers in a text, in order of occurrence.
fn numbers_in(text: &str) -> Vec<u64> {
    text.split(|character: char| !character.is_ascii_digit())
        .filter_map(|digits| digits.parse().ok())
        .collect()
}

#[cfg(test)]
mod tests;

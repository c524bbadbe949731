//! What all sessions, the listener and the console of one node share.

use std::rc::Rc;

use badgerpost_engine::{Clock, ConnectionCounter};

use crate::PostgresEngine;
use crate::cancellation::CancelKeys;
use crate::client_registry::ClientRegistry;
use crate::config::Config;
use crate::pool::Pool;
use crate::unauthenticated_clients::UnauthenticatedClients;

/// What all sessions, the listener and the console share.
pub struct ServerContext {
    /// The operators' settings.
    pub config: Config,
    /// The engine that chooses a server for each transaction.
    pub fleet: PostgresEngine,
    /// Connections to servers.
    pub pool: Rc<Pool>,
    /// Clients that have a session.
    pub clients: Rc<ClientRegistry>,
    /// Clients that are not authenticated yet.
    pub unauthenticated: Rc<UnauthenticatedClients>,
    /// Counts sessions, from the admission of their client on.
    pub sessions: ConnectionCounter,
    /// Counts open consoles.
    pub consoles: ConnectionCounter,
    /// Keys by which clients cancel statements.
    pub cancel_keys: CancelKeys,
}

impl ServerContext {
    /// The node's clock.
    pub fn clock(&self) -> &Clock {
        self.fleet.clock()
    }
}

//! State shared by the listener, the sessions and the console of one node.

use std::rc::Rc;

use badgerpost_engine::{Clock, ConnectionCounter};

use crate::PostgresEngine;
use crate::cancellation::CancelKeys;
use crate::client_registry::ClientRegistry;
use crate::config::Config;
use crate::pool::Pool;
use crate::session_memory::SessionMemory;
use crate::unauthenticated_clients::UnauthenticatedClients;

/// State shared by the listener, the sessions and the console.
pub struct ServerContext {
    /// The section `[postgres]` of the configuration file.
    pub config: Config,
    /// The engine that chooses a server for each transaction.
    pub engine: PostgresEngine,
    /// The pool of server connections.
    pub pool: Rc<Pool>,
    /// The clients that have a session.
    pub clients: Rc<ClientRegistry>,
    /// The clients that are not authenticated yet.
    pub unauthenticated: Rc<UnauthenticatedClients>,
    /// Counts sessions, including those whose first connection to a server is still being opened.
    pub sessions: ConnectionCounter,
    /// The memory that sessions hold for their clients.
    pub session_memory: Rc<SessionMemory>,
    /// Counts open consoles.
    pub consoles: ConnectionCounter,
    /// The secret keys with which clients cancel statements.
    pub cancel_keys: CancelKeys,
}

impl ServerContext {
    /// The node's clock.
    pub fn clock(&self) -> &Clock {
        self.engine.clock()
    }
}

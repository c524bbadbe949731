//! A fake PostgreSQL server: the frontend/backend protocol, transactions, a subset of SQL over in-memory tables, and
//! fault injection. Each connection is served by its own thread.
//!
//! Supported: CREATE/DROP/TRUNCATE TABLE, INSERT, SELECT from one table or generate_series, UPDATE, DELETE, RETURNING,
//! ON CONFLICT, transaction blocks with savepoints, SET, SHOW, RESET, DISCARD, PREPARE, cursors, COPY in text format,
//! LISTEN and NOTIFY, advisory locks, pg_sleep and the functions that drivers call when they connect. Joins, subqueries
//! and GROUP BY are not supported.
//!
//! Modules, from the socket down; each module uses only the modules below it:
//!
//! ```text
//! connection       socket I/O: start-up, authentication, message framing
//! protocol         message handling without a socket
//! session          settings, transaction, prepared statements, portals
//! executor         execution on tables       catalogue   drivers' queries on system catalogues
//! describe         parameters and columns    parse       SQL text to statements
//! expression       type inference, values    references  tables and columns in a statement
//! server_state     state of all connections  settings, prepared, result, context
//! storage          tables, transactions
//! value, error, faults, connection_id, sync
//! ```

mod advisory_locks;
mod catalogue;
mod connection;
mod connection_id;
mod context;
mod describe;
mod error;
mod executor;
mod expression;
mod faults;
mod parse;
mod prepared;
mod protocol;
mod references;
mod result;
mod server_state;
mod session;
mod settings;
mod storage;
mod sync;
mod value;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use badgerpost_postgres_session::scram::Verifier;

pub use error::{SqlError, SqlState};
pub use faults::InjectedFault;
pub use protocol::{Backend, ConnectionClosed};
use server_state::ServerState;
use sync::lock;
pub use value::{Type, Value};

const CONNECTION_STACK_BYTES: usize = 512 * 1024;

/// A fake PostgreSQL server that listens on a loopback port.
pub struct Database {
    /// The address on which the server accepts connections.
    pub address: SocketAddr,
    server: Arc<ServerState>,
}

impl Database {
    /// Starts a server on a free loopback port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Arc::new(ServerState::new());
        let accepting_server = server.clone();
        thread::spawn(move || accept_connections(&accepting_server, &listener));
        Ok(Self { address, server })
    }

    /// Opens an authenticated connection without a socket. Connections to the same `database` share its tables.
    pub fn backend(database: &OfflineDatabase) -> Backend {
        let id = database.0.next_connection_id();
        let mut backend = Backend::new(database.0.clone(), id);
        backend.write_login_complete();
        backend.take_output();
        backend
    }

    /// Crashes the server: closes all connections, and closes new ones at once until [`Self::restart`]. Committed data
    /// is kept.
    pub fn kill(&self) {
        self.server.crash();
    }

    /// Accepts connections again after a crash. The counters and the committed data are kept.
    pub fn restart(&self) {
        self.server.is_up.store(true, Ordering::SeqCst);
    }

    /// Pauses or resumes the server. A paused server accepts connections but responds to no message.
    pub fn pause(&self, paused: bool) {
        self.server.is_paused.store(paused, Ordering::SeqCst);
        self.server.notify_transaction_ended();
    }

    /// Injects a fault into the next statement, or COPY data message, that contains `text`. Replaces any earlier fault.
    pub fn inject_fault(&self, text: &str, fault: InjectedFault) {
        self.server.arm_fault(text, fault);
    }

    /// Removes the injected fault if no statement has triggered it yet.
    pub fn clear_fault(&self) {
        self.server.disarm_fault();
    }

    /// Adds a user with a password. Once a user is set, clients have to authenticate as one of the users set.
    pub fn set_user(&self, name: &str, password: &str) {
        let verifier = Verifier::from_password(password, format!("salt of {name}").as_bytes());
        lock(&self.server.users).insert(name.to_owned(), verifier);
    }

    /// Sets the `server_version` that is reported to later connections.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.server.version));
    }

    /// Sets how many connections may be open at once; further logins are rejected. Unlimited by default.
    pub fn set_max_connections(&self, max: u64) {
        self.server.max_connections.store(max, Ordering::SeqCst);
    }

    /// The committed rows of a table; empty if the table does not exist.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        committed_rows(&self.server, table)
    }

    /// Whether the server accepts connections: `false` from a crash, by [`Self::kill`] or an injected fault, until
    /// [`Self::restart`].
    pub fn is_up(&self) -> bool {
        self.server.is_up()
    }

    /// Transactions begun since [`Self::start`], including implicit ones.
    pub fn transactions_begun(&self) -> u64 {
        self.server.transaction_count.load(Ordering::SeqCst)
    }

    /// Connections accepted since [`Self::start`].
    pub fn connections(&self) -> u64 {
        self.server.connection_count.load(Ordering::SeqCst)
    }

    /// Successful logins since [`Self::start`].
    pub fn logins(&self) -> u64 {
        self.server.login_count.load(Ordering::SeqCst)
    }

    /// Connections open now.
    pub fn open_connections(&self) -> usize {
        lock(&self.server.connections).len()
    }

    /// Statements whose execution began since [`Self::start`].
    pub fn statements(&self) -> u64 {
        self.server.statement_count.load(Ordering::SeqCst)
    }

    /// Transactions with changes that were committed since [`Self::start`].
    pub fn commits(&self) -> u64 {
        lock(&self.server.store).committed_writes
    }

    /// `CancelRequest` messages received since [`Self::start`].
    pub fn cancels(&self) -> u32 {
        self.server.cancel_count.load(Ordering::SeqCst)
    }
}

/// Accepts connections and serves each on its own thread.
fn accept_connections(server: &Arc<ServerState>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        let serve = move || {
            let id = server.next_connection_id();
            // A socket error ends the connection like an orderly close.
            let _ = connection::serve(&server, stream, id);
        };
        let _ = thread::Builder::new()
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(serve);
    }
}

fn committed_rows(server: &ServerState, table: &str) -> Vec<Vec<Value>> {
    let store = lock(&server.store);
    let rows = store.visible_rows(table, None, None).unwrap_or_default();
    rows.into_iter().map(|row| row.values.to_vec()).collect()
}

/// A fake PostgreSQL server without sockets, for tests that pass protocol messages directly to [`Backend`]s.
pub struct OfflineDatabase(Arc<ServerState>);

impl Default for OfflineDatabase {
    fn default() -> Self {
        Self(Arc::new(ServerState::new()))
    }
}

impl OfflineDatabase {
    /// The committed rows of a table; empty if the table does not exist.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        committed_rows(&self.0, table)
    }
}

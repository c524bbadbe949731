//! A fake PostgreSQL server: the protocol, transactions, a subset of SQL over tables in memory, and injected faults. It
//! serves each connection on a thread of its own.
//!
//! It speaks: CREATE/DROP/TRUNCATE TABLE, INSERT, SELECT from one table or generate_series, UPDATE, DELETE, RETURNING,
//! ON CONFLICT, BEGIN to ROLLBACK with savepoints, SET, SHOW, RESET, DISCARD, PREPARE, cursors, COPY in text, LISTEN and
//! NOTIFY, advisory locks, pg_sleep and the functions that drivers call first. No joins, no subqueries, no GROUP BY.
//!
//! Its modules, from the socket down; each uses only those below it:
//!
//! ```text
//! connection       the socket: start-up, login, messages
//! protocol         messages in, bytes out
//! session          settings, transaction, prepared statements, portals
//! executor         statements on tables      catalogue   drivers' queries of system tables
//! describe         parameters and columns    parse       SQL text to statements
//! expression       type inference, values    references  tables and columns that statements name
//! server_state     what connections share    settings, prepared, result, context
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

/// The stack of a connection's thread, in bytes.
const CONNECTION_STACK_SIZE: usize = 512 * 1024;

/// A fake database server on a loopback port.
pub struct Database {
    /// Its address.
    pub address: SocketAddr,
    server: Arc<ServerState>,
}

impl Database {
    /// Starts a server on a free port.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = Arc::new(ServerState::new());
        let listening = server.clone();
        thread::spawn(move || accept_connections(&listening, &listener));
        Ok(Self { address, server })
    }

    /// A connection without a socket, that is logged in: messages in, bytes out. `store` may serve several.
    pub fn backend(store: &OfflineDatabase) -> Backend {
        let id = store.0.next_connection();
        let mut backend = Backend::new(store.0.clone(), id);
        backend.write_login_complete();
        backend.take_output();
        backend
    }

    /// Crashes the server: all connections are closed, and new ones too, until it is revived. What is committed stays.
    pub fn kill(&self) {
        self.server.crash();
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        self.server.is_up.store(true, Ordering::SeqCst);
    }

    /// While paused, it accepts connections and messages and answers none.
    pub fn pause(&self, paused: bool) {
        self.server.is_paused.store(paused, Ordering::SeqCst);
        self.server.notify_transaction_ended();
    }

    /// Injects a fault, once, at the next statement that contains this text.
    pub fn inject_fault(&self, text: &str, fault: InjectedFault) {
        self.server.arm_fault(text, fault);
    }

    /// Removes the injected fault.
    pub fn clear_fault(&self) {
        self.server.disarm_fault();
    }

    /// Lets this user log in with a password; from then on, only such users may.
    pub fn set_user(&self, name: &str, password: &str) {
        let verifier = Verifier::from_password(password, format!("salt of {name}").as_bytes());
        lock(&self.server.users).insert(name.to_owned(), verifier);
    }

    /// Sets the version that later connections are sent.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut lock(&self.server.version));
    }

    /// Sets how many connections may be open at once; more are rejected.
    pub fn set_max_connections(&self, max: u64) {
        self.server.max_connections.store(max, Ordering::SeqCst);
    }

    /// The committed rows of a table.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        committed_rows(&self.server, table)
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        self.server.is_up()
    }

    /// Transactions begun so far, those of single statements included.
    pub fn transactions_begun(&self) -> u64 {
        self.server.transaction_count.load(Ordering::SeqCst)
    }

    /// Connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.connection_count.load(Ordering::SeqCst)
    }

    /// Connections that have logged in so far.
    pub fn logins(&self) -> u64 {
        self.server.login_count.load(Ordering::SeqCst)
    }

    /// Connections that are open now.
    pub fn open_connections(&self) -> usize {
        lock(&self.server.connections).len()
    }

    /// Statements begun so far.
    pub fn statements(&self) -> u64 {
        self.server.statement_count.load(Ordering::SeqCst)
    }

    /// Transactions committed so far that had changed something.
    pub fn commits(&self) -> u64 {
        lock(&self.server.store).committed_writes
    }

    /// Cancel requests received so far.
    pub fn cancels(&self) -> u32 {
        self.server.cancel_count.load(Ordering::SeqCst)
    }
}

/// Serves each connection on a thread of its own.
fn accept_connections(server: &Arc<ServerState>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        let serve = move || {
            let id = server.next_connection();
            // An error of its socket ends a connection as its end does.
            let _ = connection::serve(&server, stream, id);
        };
        let _ = thread::Builder::new()
            .stack_size(CONNECTION_STACK_SIZE)
            .spawn(serve);
    }
}

fn committed_rows(server: &ServerState, table: &str) -> Vec<Vec<Value>> {
    let store = lock(&server.store);
    let rows = store.visible_rows(table, None, None).unwrap_or_default();
    rows.into_iter().map(|row| row.values.to_vec()).collect()
}

/// A database without sockets, for tests of programs that speak the protocol themselves.
pub struct OfflineDatabase(Arc<ServerState>);

impl Default for OfflineDatabase {
    fn default() -> Self {
        Self(Arc::new(ServerState::new()))
    }
}

impl OfflineDatabase {
    /// The committed rows of a table.
    pub fn rows(&self, table: &str) -> Vec<Vec<Value>> {
        committed_rows(&self.0, table)
    }
}

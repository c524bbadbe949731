//! Registry of the clients that have a session, by session number. Cancel requests and console commands identify
//! sessions by this number.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_postgres_session::server_messages::TransactionStatus;
use badgerpost_postgres_session::sticky::StickyReason;
use tokio::sync::Notify;

use crate::cancellation::CancelHandle;

/// The identity of a client, from its `StartupMessage` and its connection.
pub struct ClientIdentity {
    /// User name that the client authenticated with.
    pub user: String,
    /// Database that the client requested.
    pub database: String,
    /// The client's `application_name`; empty if not set.
    pub application: String,
    /// The client's IP address and port.
    pub address: SocketAddr,
    /// Whether the client's connection uses TLS.
    pub is_tls: bool,
}

/// The activity of a session. The `Display` form is the state shown by `SHOW CLIENTS`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionActivity {
    /// The transaction status, as in `ReadyForQuery`.
    pub transaction: TransactionStatus,
    /// Why the session keeps its server connection between transactions; `None` if it does not.
    pub sticky_reason: Option<StickyReason>,
    /// Address of the server whose connection is leased to the session.
    pub server: Option<SocketAddr>,
    /// Whether a transaction was submitted to the engine and has no outcome yet.
    pub is_waiting: bool,
}

impl fmt::Display for SessionActivity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let has_server = self.server.is_some();
        f.write_str(match (self.transaction, has_server, self.is_waiting) {
            (_, false, true) => "waiting",
            (TransactionStatus::Idle, true, _) => "active",
            (TransactionStatus::InBlock, ..) => "in transaction",
            (TransactionStatus::Failed, ..) => "in failed transaction",
            (TransactionStatus::Idle, false, false) => "idle",
        })
    }
}

/// One client's entry in the registry.
pub struct ClientEntry {
    /// The session number, sent to the client as the process ID in `BackendKeyData`.
    pub number: u32,
    /// The client's identity.
    pub identity: ClientIdentity,
    transactions: Cell<u64>,
    activity: Cell<SessionActivity>,
    held_bytes: Cell<usize>,
    cancel_handle: CancelHandle,
    disconnect: Notify,
}

impl ClientEntry {
    /// Number of transactions completed in the session.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// The session's current activity.
    pub fn activity(&self) -> SessionActivity {
        self.activity.get()
    }

    /// Bytes that the session holds for its client: incomplete and unanswered messages, and prepared statements.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.get()
    }
}

/// The clients that have a session. Their number is bounded by the limit on client connections.
#[derive(Default)]
pub struct ClientRegistry {
    entries: RefCell<BTreeMap<u32, Rc<ClientEntry>>>,
    last_number: Cell<u32>,
    /// Transactions completed by clients that have disconnected.
    past_transactions: Cell<u64>,
}

impl ClientRegistry {
    /// Adds a client. The entry is removed when the returned handle and all its clones are dropped.
    pub fn register(self: &Rc<Self>, identity: ClientIdentity) -> RegisteredClient {
        let mut entries = self.entries.borrow_mut();
        let mut number = next_number(self.last_number.get());
        while entries.contains_key(&number) {
            number = next_number(number);
        }
        self.last_number.set(number);
        let entry = Rc::new(ClientEntry {
            number,
            identity,
            transactions: Cell::new(0),
            activity: Cell::default(),
            held_bytes: Cell::new(0),
            cancel_handle: CancelHandle::default(),
            disconnect: Notify::new(),
        });
        entries.insert(number, entry.clone());
        RegisteredClient(Rc::new(Registration {
            registry: self.clone(),
            entry,
        }))
    }

    /// All clients, in the order of their numbers.
    pub fn clients(&self) -> Vec<Rc<ClientEntry>> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Bytes that the sessions hold for all clients.
    pub fn held_bytes(&self) -> usize {
        let entries = self.entries.borrow();
        entries.values().map(|entry| entry.held_bytes()).sum()
    }

    /// Number of transactions completed by all clients since the node started.
    pub fn transactions(&self) -> u64 {
        let entries = self.entries.borrow();
        let present: u64 = entries.values().map(|entry| entry.transactions()).sum();
        self.past_transactions.get() + present
    }

    /// Requests the end of a client's session after its current transaction. Returns false if no client has this
    /// number.
    pub fn disconnect(&self, number: u32) -> bool {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&number) else {
            return false;
        };
        entry.disconnect.notify_one();
        true
    }
}

/// The next session number, wrapping around; 0 is never used.
fn next_number(number: u32) -> u32 {
    number.wrapping_add(1).max(1)
}

/// Removes the client from the registry when dropped.
struct Registration {
    registry: Rc<ClientRegistry>,
    entry: Rc<ClientEntry>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let registry = &self.registry;
        registry.entries.borrow_mut().remove(&self.entry.number);
        let past = registry.past_transactions.get() + self.entry.transactions();
        registry.past_transactions.set(past);
    }
}

/// A session's handle to its entry in the registry. Clones share the entry.
#[derive(Clone)]
pub struct RegisteredClient(Rc<Registration>);

impl RegisteredClient {
    fn entry(&self) -> &ClientEntry {
        &self.0.entry
    }

    /// The session number.
    pub fn number(&self) -> u32 {
        self.entry().number
    }

    /// User name that the client authenticated with.
    pub fn user(&self) -> &str {
        &self.entry().identity.user
    }

    /// The handle through which cancel requests reach the session.
    pub fn cancel_handle(&self) -> &CancelHandle {
        &self.entry().cancel_handle
    }

    /// Counts a completed transaction.
    pub fn count_transaction(&self) {
        let transactions = &self.entry().transactions;
        transactions.set(transactions.get() + 1);
    }

    /// Updates the session's activity.
    pub fn set_activity(&self, activity: SessionActivity) {
        self.entry().activity.set(activity);
    }

    /// Updates the number of bytes that the session holds for its client.
    pub fn set_held_bytes(&self, bytes: usize) {
        self.entry().held_bytes.set(bytes);
    }

    /// Resolves when an operator requests the end of the session.
    pub async fn disconnect_requested(&self) {
        self.entry().disconnect.notified().await;
    }
}

//! All clients that have a session, by number: cancel requests and operators name them by it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_postgres_session::server_messages::TransactionStatus;
use badgerpost_postgres_session::sticky::StickyReason;
use tokio::sync::Notify;

use crate::cancellation::CancelHandle;

/// Who a client is.
pub struct ClientIdentity {
    /// Its user.
    pub user: String,
    /// Its database.
    pub database: String,
    /// Its `application_name`.
    pub application: String,
    /// Its address.
    pub address: SocketAddr,
    /// Whether its connection is in TLS.
    pub is_tls: bool,
}

/// What a session is doing. Displayed, it is the state that the console shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionActivity {
    /// The state of its transaction.
    pub transaction: TransactionStatus,
    /// Why it keeps its server connection between transactions, if it does.
    pub sticky_reason: Option<StickyReason>,
    /// The server to which it has a connection.
    pub server: Option<SocketAddr>,
    /// Whether it waits for a server connection.
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

/// One client, as operators see it.
pub struct ClientEntry {
    /// Its number.
    pub number: u32,
    /// Who it is.
    pub identity: ClientIdentity,
    transactions: Cell<u64>,
    activity: Cell<SessionActivity>,
    cancel_handle: CancelHandle,
    disconnect: Notify,
}

impl ClientEntry {
    /// Transactions that were served to it so far.
    pub fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// What its session is doing.
    pub fn activity(&self) -> SessionActivity {
        self.activity.get()
    }
}

/// The clients that have a session, bounded by the limit of client connections.
#[derive(Default)]
pub struct ClientRegistry {
    entries: RefCell<BTreeMap<u32, Rc<ClientEntry>>>,
    last_number: Cell<u32>,
    /// Transactions that were served to clients that have disconnected.
    past_transactions: Cell<u64>,
}

impl ClientRegistry {
    /// Adds a client, until what is returned and all its clones are dropped.
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
            cancel_handle: CancelHandle::default(),
            disconnect: Notify::new(),
        });
        entries.insert(number, entry.clone());
        RegisteredClient(Rc::new(Registration {
            registry: self.clone(),
            entry,
        }))
    }

    /// All clients, by number.
    pub fn clients(&self) -> Vec<Rc<ClientEntry>> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Transactions that were served to all clients so far.
    pub fn transactions(&self) -> u64 {
        let entries = self.entries.borrow();
        let present: u64 = entries.values().map(|entry| entry.transactions()).sum();
        self.past_transactions.get() + present
    }

    /// Ends a client's session at the end of its transaction. Returns whether there is such a client.
    pub fn disconnect(&self, number: u32) -> bool {
        let entries = self.entries.borrow();
        let Some(entry) = entries.get(&number) else {
            return false;
        };
        entry.disconnect.notify_one();
        true
    }
}

/// The number after this one; 0 is never used.
fn next_number(number: u32) -> u32 {
    number.wrapping_add(1).max(1)
}

/// Removes its client from the registry when it is dropped.
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

/// A client's entry in the registry, for its session. Clones share it.
#[derive(Clone)]
pub struct RegisteredClient(Rc<Registration>);

impl RegisteredClient {
    fn entry(&self) -> &ClientEntry {
        &self.0.entry
    }

    /// The client's number.
    pub fn number(&self) -> u32 {
        self.entry().number
    }

    /// The client's user.
    pub fn user(&self) -> &str {
        &self.entry().identity.user
    }

    /// What can be cancelled in the session.
    pub fn cancel_handle(&self) -> &CancelHandle {
        &self.entry().cancel_handle
    }

    /// Counts a transaction that was served.
    pub fn count_transaction(&self) {
        let transactions = &self.entry().transactions;
        transactions.set(transactions.get() + 1);
    }

    /// Sets what the session is doing now.
    pub fn set_activity(&self, activity: SessionActivity) {
        self.entry().activity.set(activity);
    }

    /// Resolves once an operator has requested the end of the session.
    pub async fn disconnected(&self) {
        self.entry().disconnect.notified().await;
    }
}

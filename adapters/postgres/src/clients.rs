//! All clients that have a session: by number, for cancels and for operators.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_postgres_session::server_messages::TransactionStatus;
use badgerpost_postgres_session::session::Session;
use badgerpost_postgres_session::sticky::StickyReason;
use tokio::sync::Notify;

use crate::cancel::CancelHandle;

/// One client, as operators see it.
pub struct ClientEntry {
    /// Its number.
    pub number: u32,
    /// Its user.
    pub user: String,
    /// Its database.
    pub database: String,
    /// What its application calls itself.
    pub application: String,
    /// Where it comes from.
    pub from: SocketAddr,
    /// Whether it came in TLS.
    pub tls: bool,
    /// Transactions that were served to it.
    pub served: Cell<u64>,
    status: Cell<TransactionStatus>,
    pin: Cell<Option<StickyReason>>,
    server: Cell<Option<SocketAddr>>,
    waits: Cell<bool>,
    cancelable: CancelHandle,
    disconnect: Notify,
}

impl ClientEntry {
    /// What it is doing.
    pub fn state(&self) -> &'static str {
        match (
            self.status.get(),
            self.server.get().is_some(),
            self.waits.get(),
        ) {
            (_, false, true) => "waiting",
            (TransactionStatus::Idle, true, _) => "active",
            (TransactionStatus::InBlock, ..) => "in transaction",
            (TransactionStatus::Failed, ..) => "in failed transaction",
            (TransactionStatus::Idle, false, false) => "idle",
        }
    }

    /// The server connection that it has.
    pub fn server(&self) -> Option<SocketAddr> {
        self.server.get()
    }

    /// Why it is pinned to it.
    pub fn pin(&self) -> Option<StickyReason> {
        self.pin.get()
    }
}

/// The clients that have a session. Bounded by the connections of clients.
#[derive(Default)]
pub struct Clients {
    known: RefCell<BTreeMap<u32, Rc<ClientEntry>>>,
    last: Cell<u32>,
    /// Transactions that were served to clients that have gone.
    served: Cell<u64>,
}

/// Who a client is.
pub struct ClientIdentity {
    /// Its user.
    pub user: String,
    /// Its database.
    pub database: String,
    /// What its application calls itself.
    pub application: String,
    /// Where it comes from.
    pub from: SocketAddr,
    /// Whether it came in TLS.
    pub tls: bool,
}

impl Clients {
    /// Adds a client, until what is returned and all its clones are dropped.
    pub fn register(self: &Rc<Self>, who: ClientIdentity) -> RegisteredClient {
        let mut known = self.known.borrow_mut();
        let mut number = self.last.get().wrapping_add(1).max(1);
        while known.contains_key(&number) {
            number = number.wrapping_add(1).max(1);
        }
        self.last.set(number);
        let ClientIdentity {
            user,
            database,
            application,
            from,
            tls,
        } = who;
        let entry = Rc::new(ClientEntry {
            number,
            user,
            database,
            application,
            from,
            tls,
            served: Cell::new(0),
            status: Cell::default(),
            pin: Cell::new(None),
            server: Cell::new(None),
            waits: Cell::new(false),
            cancelable: CancelHandle::default(),
            disconnect: Notify::new(),
        });
        known.insert(number, entry.clone());
        RegisteredClient(Rc::new(Entered {
            all: self.clone(),
            entry,
        }))
    }

    /// All of them, by number.
    pub fn all(&self) -> Vec<Rc<ClientEntry>> {
        self.known.borrow().values().cloned().collect()
    }

    /// Transactions that were served so far.
    pub fn served(&self) -> u64 {
        self.served.get()
            + self
                .known
                .borrow()
                .values()
                .map(|entry| entry.served.get())
                .sum::<u64>()
    }

    /// Ends a client's session at the end of its transaction; whether there is such a client.
    pub fn disconnect(&self, number: u32) -> bool {
        let known = self.known.borrow();
        known
            .get(&number)
            .map(|entry| entry.disconnect.notify_one())
            .is_some()
    }
}

struct Entered {
    all: Rc<Clients>,
    entry: Rc<ClientEntry>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.all.known.borrow_mut().remove(&self.entry.number);
        self.all
            .served
            .set(self.all.served.get() + self.entry.served.get());
    }
}

/// A client's place among the clients.
#[derive(Clone)]
pub struct RegisteredClient(Rc<Entered>);

impl RegisteredClient {
    /// The client's number.
    pub fn number(&self) -> u32 {
        self.0.entry.number
    }

    /// Its user.
    pub fn user(&self) -> &str {
        &self.0.entry.user
    }

    /// Its part in cancels.
    pub fn cancelable(&self) -> &CancelHandle {
        &self.0.entry.cancelable
    }

    /// A transaction was served.
    pub fn count(&self) {
        self.0.entry.served.set(self.0.entry.served.get() + 1);
    }

    /// What it is doing now.
    pub fn note(&self, session: &Session, server: Option<SocketAddr>, waits: bool) {
        let entry = &self.0.entry;
        entry.status.set(session.status());
        entry.pin.set(session.sticky_reason());
        entry.server.set(server);
        entry.waits.set(waits);
    }

    /// Resolves once an operator has asked for its end.
    pub async fn disconnected(&self) {
        self.0.entry.disconnect.notified().await;
    }
}

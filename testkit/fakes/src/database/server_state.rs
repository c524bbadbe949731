//! The state that all connections of a server share: tables, locks, notifications, users, counters and faults.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use badgerpost_postgres_session::scram::Verifier;

use super::advisory_locks::AdvisoryLocks;
use super::connection_id::ConnectionId;
use super::faults::InjectedFault;
use super::storage::Store;
use super::sync::lock;

/// The interval at which a blocked connection checks whether the server is down or no longer paused.
pub(super) const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of undelivered notifications per connection; further notifications are dropped.
const MAX_PENDING_NOTIFICATIONS: usize = 1000;

/// An open connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Set to cancel the current statement of the connection.
    pub(super) cancel_requested: Arc<AtomicBool>,
}

/// A notification that is not yet delivered to the receiving connection.
pub(super) struct Notification {
    pub(super) sender: ConnectionId,
    pub(super) channel: String,
    pub(super) payload: String,
}

/// A fault that the next statement containing `text` triggers once.
struct ArmedFault {
    text: String,
    fault: InjectedFault,
}

pub(super) struct ServerState {
    pub(super) store: Mutex<Store>,
    pub(super) connections: Mutex<BTreeMap<ConnectionId, Connection>>,
    pub(super) advisory_locks: Mutex<AdvisoryLocks>,
    notifications: Mutex<BTreeMap<ConnectionId, VecDeque<Notification>>>,
    pub(super) version: Mutex<String>,
    /// The SCRAM verifiers of users by name. While empty, any client may log in without authentication.
    pub(super) users: Mutex<BTreeMap<String, Verifier>>,
    pub(super) is_up: AtomicBool,
    /// Whether the server accepts connections but handles no messages.
    pub(super) is_paused: AtomicBool,
    pub(super) max_connections: AtomicU64,
    /// Connections accepted since the server was created.
    pub(super) connection_count: AtomicU64,
    pub(super) login_count: AtomicU64,
    pub(super) statement_count: AtomicU64,
    pub(super) transaction_count: AtomicU64,
    pub(super) cancel_count: AtomicU32,
    fault: Mutex<Option<ArmedFault>>,
    /// Signalled when a transaction ends, a statement is cancelled, the server is paused or resumed, or it crashes.
    transaction_ended: Condvar,
    transaction_ended_lock: Mutex<()>,
}

impl ServerState {
    pub(super) fn new() -> Self {
        Self {
            store: Mutex::default(),
            connections: Mutex::default(),
            advisory_locks: Mutex::default(),
            notifications: Mutex::default(),
            version: Mutex::new("16.4".to_owned()),
            users: Mutex::default(),
            is_up: AtomicBool::new(true),
            is_paused: AtomicBool::new(false),
            max_connections: AtomicU64::new(u64::MAX),
            connection_count: AtomicU64::new(0),
            login_count: AtomicU64::new(0),
            statement_count: AtomicU64::new(0),
            transaction_count: AtomicU64::new(0),
            cancel_count: AtomicU32::new(0),
            fault: Mutex::default(),
            transaction_ended: Condvar::new(),
            transaction_ended_lock: Mutex::default(),
        }
    }

    /// Counts a new connection and returns its id.
    pub(super) fn next_connection_id(&self) -> ConnectionId {
        ConnectionId(self.connection_count.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Whether the server accepts connections and commits.
    pub(super) fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Closes a connection's socket, if open, and removes the connection.
    pub(super) fn disconnect(&self, id: ConnectionId) {
        if let Some(connection) = lock(&self.connections).remove(&id) {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    /// Takes the server down: prevents further commits and closes all connections.
    pub(super) fn crash(&self) {
        {
            // Commits hold the same lock, so that none is in progress here.
            let _store = lock(&self.store);
            self.is_up.store(false, Ordering::SeqCst);
        }
        let ids: Vec<ConnectionId> = lock(&self.connections).keys().copied().collect();
        for id in ids {
            self.disconnect(id);
        }
        self.notify_transaction_ended();
    }

    /// Arms a fault. Replaces an earlier armed fault.
    pub(super) fn arm_fault(&self, text: &str, fault: InjectedFault) {
        *lock(&self.fault) = Some(ArmedFault {
            text: text.to_owned(),
            fault,
        });
    }

    /// Disarms the armed fault, if any.
    pub(super) fn disarm_fault(&self) {
        *lock(&self.fault) = None;
    }

    /// Disarms and returns the armed fault if `sql` contains the fault's text.
    pub(super) fn take_fault(&self, sql: &str) -> Option<InjectedFault> {
        let mut slot = lock(&self.fault);
        let matching = slot.take_if(|armed| sql.contains(armed.text.as_str()));
        matching.map(|armed| armed.fault)
    }

    /// Blocks until the server goes down.
    pub(super) fn hang_until_down(&self) {
        while self.is_up() {
            self.wait_for_transaction_end(WAIT_POLL_INTERVAL);
        }
    }

    /// Blocks while the server is paused and up.
    pub(super) fn wait_while_paused(&self) {
        while self.is_paused.load(Ordering::SeqCst) && self.is_up() {
            self.wait_for_transaction_end(WAIT_POLL_INTERVAL);
        }
    }

    /// Blocks until a transaction ends, but no longer than `timeout`.
    pub(super) fn wait_for_transaction_end(&self, timeout: Duration) {
        let guard = lock(&self.transaction_ended_lock);
        let waited = self.transaction_ended.wait_timeout(guard, timeout);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Wakes all connections that are blocked in [`Self::wait_for_transaction_end`].
    pub(super) fn notify_transaction_ended(&self) {
        self.transaction_ended.notify_all();
    }

    /// Queues a notification for every connection.
    pub(super) fn notify(&self, sender: ConnectionId, channel: &str, payload: &str) {
        let receivers: Vec<ConnectionId> = lock(&self.connections).keys().copied().collect();
        let mut notifications = lock(&self.notifications);
        for receiver in receivers {
            let pending = notifications.entry(receiver).or_default();
            if pending.len() < MAX_PENDING_NOTIFICATIONS {
                pending.push_back(Notification {
                    sender,
                    channel: channel.to_owned(),
                    payload: payload.to_owned(),
                });
            }
        }
    }

    /// Removes a connection's queued notifications and returns those on the given channels; the rest are dropped.
    pub(super) fn take_notifications(
        &self,
        receiver: ConnectionId,
        channels: &[String],
    ) -> Vec<Notification> {
        let pending = lock(&self.notifications)
            .remove(&receiver)
            .unwrap_or_default();
        pending
            .into_iter()
            .filter(|notification| channels.contains(&notification.channel))
            .collect()
    }

    /// Writes directly to a connection's socket. Returns `false` if the connection is closed or the write fails.
    pub(super) fn write_to(&self, id: ConnectionId, bytes: &[u8]) -> bool {
        let stream = lock(&self.connections)
            .get(&id)
            .and_then(|connection| connection.stream.try_clone().ok());
        stream.is_some_and(|mut stream| stream.write_all(bytes).is_ok())
    }
}

//! Cancel requests of clients. Each session has a secret key issued by the node, and a cancel request affects only the
//! statement that runs in that session. The keys issued by servers are not disclosed to clients.
//!
//! Reference: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Canceling Requests in Progress".

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{Clock, TcpStream};
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::client::{ClientError, random_bytes};
use crate::login::BackendKey;
use crate::stream::Stream;

/// Time limit for a cancel request to a server.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// A session's secret key, as in `BackendKeyData`.
pub type SecretKey = [u8; 4];

/// The server connection on which a session's statement runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTarget {
    /// The server's address.
    pub endpoint: SocketAddr,
    /// The process ID and secret key that the server issued for the connection.
    pub key: BackendKey,
}

/// Handle for cancelling the running statement of a session. Clones share the state.
#[derive(Clone, Default)]
pub struct CancelHandle(Rc<CancelState>);

#[derive(Default)]
struct CancelState {
    target: Cell<Option<CancelTarget>>,
    requests_in_flight: Cell<u32>,
}

impl CancelHandle {
    /// Sets the connection on which a statement runs; `None` if no statement is running.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        self.0.target.set(target);
    }

    /// Whether a cancel request to the server is in flight. Until the server has received the request, the request
    /// could cancel a statement of the next session on the connection.
    pub fn is_in_flight(&self) -> bool {
        self.0.requests_in_flight.get() > 0
    }

    /// Cancels the running statement; does nothing if no statement is running.
    async fn cancel(&self, clock: &Clock) {
        let Some(target) = self.0.target.get() else {
            return;
        };
        let _in_flight = InFlightRequest::new(self.0.clone());
        send_cancel_request(clock, target).await;
    }
}

/// Counts a cancel request as in flight until dropped. Dropping also covers abandoned requests; otherwise the session's
/// connections would never return to the pool.
struct InFlightRequest(Rc<CancelState>);

impl InFlightRequest {
    fn new(state: Rc<CancelState>) -> Self {
        let count = &state.requests_in_flight;
        count.set(count.get() + 1);
        Self(state)
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let count = &self.0.requests_in_flight;
        count.set(count.get().saturating_sub(1));
    }
}

/// Sends a cancel request to a server on a separate connection. Returns when the server has closed that connection,
/// which shows that it has processed the request.
async fn send_cancel_request(clock: &Clock, target: CancelTarget) {
    let request = async {
        let mut stream = Stream::plain(TcpStream::connect(target.endpoint).await?);
        let mut out = BytesMut::new();
        let BackendKey {
            process_id,
            secret_key,
        } = target.key;
        frontend::cancel_request(process_id, secret_key, &mut out);
        stream.write_all(&out).await?;
        stream.read(&mut [0; 1]).await
    };
    // The protocol has no response to a cancel request, so failures are ignored.
    let _ = clock.timeout(CANCEL_TIMEOUT, request).await;
}

struct CancelEntry {
    key: SecretKey,
    session: CancelHandle,
}

/// The secret keys of all sessions. Their number is bounded by the limit on client connections.
#[derive(Default)]
pub struct CancelKeys {
    sessions: RefCell<BTreeMap<u32, CancelEntry>>,
}

impl CancelKeys {
    /// Issues the secret key of a new session, to be sent to the client in `BackendKeyData`.
    ///
    /// # Errors
    /// [`ClientError::Random`] if the operating system returns no random bytes.
    pub fn issue(&self, number: u32, session: CancelHandle) -> Result<SecretKey, ClientError> {
        let key = random_bytes()?;
        self.sessions
            .borrow_mut()
            .insert(number, CancelEntry { key, session });
        Ok(key)
    }

    /// Removes the key of a session that has ended.
    pub fn revoke(&self, number: u32) {
        self.sessions.borrow_mut().remove(&number);
    }

    /// Handles a cancel request. Does nothing if the key is wrong or no statement is running.
    pub async fn cancel(&self, number: u32, key: &[u8], clock: &Clock) {
        if let Some(session) = self.session(number, key) {
            session.cancel(clock).await;
        }
    }

    fn session(&self, number: u32, key: &[u8]) -> Option<CancelHandle> {
        let sessions = self.sessions.borrow();
        let entry = sessions.get(&number)?;
        let is_same_key = bool::from(entry.key.as_slice().ct_eq(key));
        is_same_key.then(|| entry.session.clone())
    }
}

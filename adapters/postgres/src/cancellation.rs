//! Cancel requests of clients. Each session gets a key of the node's own, and a cancel request reaches only the
//! statement that runs in that session; the key that the server gave to the node is shown to no client.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Canceling Requests in Progress".

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

/// Timeout of a cancel request to a server.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a session's secret key.
pub type SecretKey = [u8; 4];

/// The server connection on which a statement runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTarget {
    /// The server's address.
    pub endpoint: SocketAddr,
    /// The server's key to the connection.
    pub key: BackendKey,
}

/// What can be cancelled in one session. Clones share it.
#[derive(Clone, Default)]
pub struct CancelHandle(Rc<CancelState>);

#[derive(Default)]
struct CancelState {
    target: Cell<Option<CancelTarget>>,
    requests_in_flight: Cell<u32>,
}

impl CancelHandle {
    /// Sets the connection on which a statement runs now; `None` if none runs.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        self.0.target.set(target);
    }

    /// Whether a cancel request is in flight to the server. Until the server has taken it, it might hit the next
    /// session on the connection.
    pub fn is_in_flight(&self) -> bool {
        self.0.requests_in_flight.get() > 0
    }

    /// Cancels the statement that runs, if one does.
    async fn cancel(&self, clock: &Clock) {
        let Some(target) = self.0.target.get() else {
            return;
        };
        let _in_flight = InFlightRequest::new(self.0.clone());
        send_cancel_request(clock, target).await;
    }
}

/// A cancel request to a server, in flight until this is dropped: also one that is given up counts no longer, or the
/// session's connections would never be pooled again.
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

/// Has a server cancel the statement on a connection. Returns once the server has closed the request's own connection:
/// it has taken the request by then.
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
    // The protocol knows no answer, so a failure is not reported either.
    let _ = clock.timeout(CANCEL_TIMEOUT, request).await;
}

struct CancelEntry {
    key: SecretKey,
    session: CancelHandle,
}

/// The keys of all sessions, bounded by the limit of client connections.
#[derive(Default)]
pub struct CancelKeys {
    sessions: RefCell<BTreeMap<u32, CancelEntry>>,
}

impl CancelKeys {
    /// Makes the secret key of a new session, which its client gets with the session's number in `BackendKeyData`.
    ///
    /// # Errors
    /// [`ClientError::Random`] if the system gives no random numbers.
    pub fn issue(&self, number: u32, session: CancelHandle) -> Result<SecretKey, ClientError> {
        let key = random_bytes()?;
        self.sessions
            .borrow_mut()
            .insert(number, CancelEntry { key, session });
        Ok(key)
    }

    /// Forgets the key of a session that has ended.
    pub fn revoke(&self, number: u32) {
        self.sessions.borrow_mut().remove(&number);
    }

    /// Handles a cancel request. With another key, or if no statement runs, nothing happens.
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

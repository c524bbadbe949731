//! Cancels: each session has a key of the node's own, and a cancel reaches only what runs in it. The server's own key of
//! a connection is shown to nobody.
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", "Canceling Requests in Progress".

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use subtle::ConstantTimeEq;

use crate::client::{ClientError, random};
use crate::pool::Pool;

/// A statement's server connection: where, and by which key it is cancelled there.
pub type CancelTarget = (SocketAddr, (i32, i32));

/// One session's part in cancels. Clones share it.
#[derive(Clone, Default)]
pub struct CancelHandle(Rc<State>);

#[derive(Default)]
struct State {
    target: Cell<Option<CancelTarget>>,
    under_way: Cell<u32>,
}

impl CancelHandle {
    /// The connection on which a statement runs now, if one does.
    pub fn set_target(&self, target: Option<CancelTarget>) {
        self.0.target.set(target);
    }

    /// Whether a cancel is on its way to the server: until that has heard, it might hit whoever is next on the
    /// connection.
    pub fn is_under_way(&self) -> bool {
        self.0.under_way.get() > 0
    }
}

struct Known {
    key: [u8; 4],
    session: CancelHandle,
}

/// The keys of all sessions that stand. Bounded by the connections of clients.
#[derive(Default)]
pub struct CancelKeys {
    known: RefCell<BTreeMap<u32, Known>>,
}

impl CancelKeys {
    /// The secret of a new session, which goes with its number in `BackendKeyData`.
    pub fn issue(&self, number: u32, session: CancelHandle) -> Result<[u8; 4], ClientError> {
        let key = random::<4>()?;
        self.known
            .borrow_mut()
            .insert(number, Known { key, session });
        Ok(key)
    }

    /// A session has ended.
    pub fn revoke(&self, number: u32) {
        self.known.borrow_mut().remove(&number);
    }

    /// A client asks to cancel what runs in a session. With another key, or with nothing running, nothing happens.
    pub async fn cancel(&self, number: u32, key: &[u8], pool: &Pool) {
        let session = {
            let known = self.known.borrow();
            let known = known
                .get(&number)
                .filter(|known| bool::from(known.key.as_slice().ct_eq(key)));
            known.map(|known| known.session.clone())
        };
        let Some(session) = session else { return };
        let Some((endpoint, server_key)) = session.0.target.get() else {
            return;
        };
        // Until the server has heard, the connection is given to nobody else.
        let under_way = &session.0.under_way;
        under_way.set(under_way.get() + 1);
        pool.cancel(endpoint, server_key).await;
        under_way.set(under_way.get().saturating_sub(1));
    }
}

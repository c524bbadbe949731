//! Handover of the listening socket between the versions of a node, over a Unix socket in `$TMPDIR` that they share.
//! Runs the state machines of `badgerpost-socket-handover`; nothing is decided here.
//!
//! No failure here keeps a node from starting: it is logged, and the process listens beside the other one.

mod connection;
mod context;
mod predecessor;
mod successor;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::{Clock, spawn};

use crate::descriptor_quota::DescriptorQuota;
use context::HandoverContext;
pub use successor::ReceivedListener;

/// The handover between the versions of a node that listen at one address.
pub struct Handover(Rc<HandoverContext>);

impl Handover {
    /// The handover between processes that listen at this address; none without a folder that they share.
    pub fn new(listen: SocketAddr, quota: DescriptorQuota, clock: Clock) -> Option<Self> {
        // A port that the system chooses is nobody else's.
        if listen.port() == 0 {
            return None;
        }
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        let name = format!("badgerpost-{}-{}.handover", listen.ip(), listen.port());
        Some(Self(Rc::new(HandoverContext {
            path: PathBuf::from(folder).join(name),
            listen,
            quota,
            clock,
        })))
    }

    /// Requests the listening socket of the version that runs already, if there is one.
    pub async fn request_listener(&self) -> Option<ReceivedListener> {
        self.0.request_listener().await
    }

    /// Goes on after the start: tells the predecessor that this process serves, waits for its end, and hands `listener`
    /// on to successors. Returns only if these can't connect.
    pub async fn run(
        self,
        listener: TcpListener,
        received: Option<ReceivedListener>,
        lifecycle: LifecycleHandle,
    ) {
        let Self(context) = self;
        let unix_listener = context.open_unix_listener();
        if let Some(received) = received {
            let context = context.clone();
            spawn(async move { context.await_predecessor_end(received).await });
        }
        if let Some(unix_listener) = unix_listener {
            context
                .accept_successors(unix_listener, &listener, &lifecycle)
                .await;
        }
    }
}

//! Handover of the listening socket from a running version of a node to the next one, over a Unix socket in the shared
//! directory `$TMPDIR`. The state machines in `badgerpost-socket-handover` make the decisions; this module does the
//! I/O.
//!
//! A failed handover is logged, and the new process opens a listening socket of its own at the same address.

mod connection;
mod context;
mod predecessor;
mod request_id_export;
mod successor;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::{Clock, spawn};
use badgerpost_http::HttpEngine;

use crate::resource_quota::ResourceQuota;
use context::HandoverContext;
pub use successor::ReceivedListener;

/// The handover between the versions of a node that listen at the same address.
pub struct Handover(Rc<HandoverContext>);

impl Handover {
    /// The handover of the socket at `listen`, or `None` if `$TMPDIR` is unset or the port is chosen by the system.
    pub fn new(listen: SocketAddr, quota: ResourceQuota, clock: Clock) -> Option<Self> {
        // Two processes never get the same port from the system.
        if listen.port() == 0 {
            return None;
        }
        let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
        let name = format!("badgerpost-{}-{}.handover", listen.ip(), listen.port());
        Some(Self(Rc::new(HandoverContext {
            path: PathBuf::from(directory).join(name),
            listen,
            quota,
            clock,
        })))
    }

    /// Requests the listening socket of the running version. `None` if no version runs or the request fails.
    pub async fn request_listener(&self) -> Option<ReceivedListener> {
        self.0.request_listener().await
    }

    /// Runs the handover after the node has started: reports to the predecessor that this process serves, waits for the
    /// predecessor's end, and sends `listener` to successors. Meanwhile the processes exchange the ids of their requests.
    /// Returns only if the Unix socket for successors can't be opened.
    pub async fn run(
        self,
        listener: TcpListener,
        received: Option<ReceivedListener>,
        lifecycle: LifecycleHandle,
        engine: HttpEngine,
    ) {
        let Self(context) = self;
        let unix_listener = context.open_unix_listener();
        if let Some(received) = received {
            let (context, engine) = (context.clone(), engine.clone());
            spawn(async move { context.await_predecessor_end(received, &engine).await });
        }
        if let Some(unix_listener) = unix_listener {
            context
                .accept_successors(unix_listener, &listener, &lifecycle, &engine)
                .await;
        }
    }
}

//! Handover of the listening socket between the versions of a node, over a Unix socket in `$TMPDIR` that they share. Runs
//! the state machines of `badgerpost-socket-handover`; nothing is decided here.
//!
//! No failure here keeps a node from starting: it is logged, and the process listens beside the other one.

mod connection;
mod predecessor;
mod successor;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::{Clock, spawn};
use badgerpost_socket_handover::Action;

use crate::descriptor_quota::DescriptorQuota;
use connection::HandoverConnection;
pub use successor::ReceivedListener;

/// The whole exchange takes a few wake-ups of either process; past this the new one listens by itself. It has to serve
/// within 6 s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the versions of a node that listen at one address have in common.
#[derive(Clone)]
pub struct Handover {
    path: PathBuf,
    listen: SocketAddr,
    quota: DescriptorQuota,
    clock: Clock,
}

impl Handover {
    /// The handover between processes that listen at this address; none without a folder that they share.
    pub fn new(listen: SocketAddr, quota: DescriptorQuota, clock: Clock) -> Option<Self> {
        // A port that the system chooses is nobody else's.
        if listen.port() == 0 {
            return None;
        }
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        let name = format!("badgerpost-{}-{}.handover", listen.ip(), listen.port());
        Some(Self {
            path: PathBuf::from(folder).join(name),
            listen,
            quota,
            clock,
        })
    }

    /// Goes on after the start: tells the predecessor that this process serves, waits for its end, and hands `listener`
    /// on to successors. Returns only if these can't connect.
    pub async fn run(
        self,
        listener: TcpListener,
        received: Option<ReceivedListener>,
        lifecycle: LifecycleHandle,
    ) {
        let unix_listener = self.open_unix_listener();
        if let Some(received) = received {
            let handover = self.clone();
            spawn(async move { handover.await_predecessor_end(received).await });
        }
        if let Some(unix_listener) = unix_listener {
            self.accept_successors(unix_listener, &listener, &lifecycle)
                .await;
        }
    }

    /// Carries out what either state machine asks for, as far as it is the same for both. A failure to send is logged
    /// only: the next read from the connection shows that it has broken.
    async fn perform(
        &self,
        action: Action,
        connection: &mut HandoverConnection,
        listener: Option<&TcpListener>,
    ) {
        let result = match action {
            Action::Send(message) => connection.send(&message, None).await,
            Action::SendListener(message) => connection.send(&message, listener).await,
            Action::SetLimitsHalved(is_halved) => {
                self.quota.set_halved(is_halved);
                Ok(())
            }
            Action::UseReceivedListener
            | Action::ListenSeparately
            | Action::SetShared(_)
            | Action::Close => Ok(()),
        };
        if let Err(error) = result {
            tracing::info!(%error, "handover connection failed");
        }
    }
}

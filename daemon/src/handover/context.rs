//! State and actions common to both sides of the handover.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use badgerpost_engine::{Clock, nanos};
use badgerpost_socket_handover::Action;

use super::connection::HandoverConnection;
use crate::resource_quota::ResourceQuota;

/// Time limit of the whole exchange, after which the new process opens a listening socket of its own. The new process
/// has to serve within 6 s of its start.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// The addresses, quota and clock that both sides of the handover use.
pub(super) struct HandoverContext {
    /// Path of the Unix socket, which the version that started last has opened.
    pub(super) path: PathBuf,
    /// The address at which all versions listen for clients.
    pub(super) listen: SocketAddr,
    pub(super) quota: ResourceQuota,
    pub(super) clock: Clock,
}

impl HandoverContext {
    /// Waits until an exchange that begins now has timed out. Messages that arrived before the timeout are handled
    /// first.
    pub(super) async fn wait_for_exchange_timeout(&self) {
        let ends_at = self.clock.now().saturating_add(nanos(EXCHANGE_TIMEOUT));
        self.clock.wait_for_deadline(ends_at).await;
    }

    /// Performs the actions that are the same on both sides; the callers perform the others. A failed send is only
    /// logged: the next read from the connection reports its end.
    pub(super) async fn perform(
        &self,
        action: Action,
        connection: &mut HandoverConnection,
        listener: Option<&TcpListener>,
    ) {
        let result = match action {
            Action::Send(message) => connection.send(&message, None).await,
            Action::SendListener(message) => connection.send(&message, listener).await,
            Action::SetLimitsHalved(is_halved) => {
                self.quota.set_shared(is_halved);
                Ok(())
            }
            Action::UseReceivedListener
            | Action::ListenSeparately
            | Action::SetShared(_)
            | Action::ImportRequestIds(_)
            | Action::Close => Ok(()),
        };
        if let Err(error) = result {
            tracing::info!(%error, "sending on the handover connection failed");
        }
    }
}

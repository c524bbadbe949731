//! What both sides of the handover have in common.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use badgerpost_engine::{Clock, nanos};
use badgerpost_socket_handover::Action;

use super::connection::HandoverConnection;
use crate::descriptor_quota::DescriptorQuota;

/// The whole exchange takes a few wake-ups of either process; past this the new one listens by itself. It has to serve
/// within 6 s.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the versions of a node that listen at one address have in common.
pub(super) struct HandoverContext {
    /// The Unix socket of the version that started last.
    pub(super) path: PathBuf,
    /// Where all of them listen for clients.
    pub(super) listen: SocketAddr,
    pub(super) quota: DescriptorQuota,
    pub(super) clock: Clock,
}

impl HandoverContext {
    /// Waits until an exchange that begins now has to be over, and what had arrived by then is handled.
    pub(super) async fn exchange_timed_out(&self) {
        let ends_at = self.clock.now().saturating_add(nanos(EXCHANGE_TIMEOUT));
        self.clock.wait_for_deadline(ends_at).await;
    }

    /// Carries out what either state machine asks for, as far as it is the same for both. A failure to send is logged
    /// only: the next read from the connection shows that it has broken.
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

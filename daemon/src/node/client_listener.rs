//! The listener for HTTP clients: taken over from the version that runs already, or opened.

use std::net::SocketAddr;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::Clock;
use tokio::net::TcpListener;

use super::error::NodeError;
use crate::config::PlatformConfig;
use crate::descriptor_quota::DescriptorQuota;
use crate::handover::{Handover, ReceivedListener};
use crate::listening::listen;

/// The listener for HTTP clients.
pub struct ClientListener {
    /// The listener.
    pub listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
    /// Present where versions of the node hand the listener over.
    pub handover: Option<ListenerHandover>,
}

/// What the handover needs once the node has started.
pub struct ListenerHandover {
    handover: Handover,
    listener: std::net::TcpListener,
    received: Option<ReceivedListener>,
}

impl ListenerHandover {
    /// Hands the listener on to later versions. Returns only where these can't connect to this one.
    pub async fn run(self, lifecycle: LifecycleHandle) {
        self.handover
            .run(self.listener, self.received, lifecycle)
            .await;
    }
}

impl ClientListener {
    /// Takes the listener over from a running version, or opens one. Only with a console do operators start the next
    /// version beside a running one, at the same address; by the handover no connection in the socket's queue is lost.
    pub async fn take_over_or_bind(
        platform: &PlatformConfig,
        quota: &DescriptorQuota,
        clock: &Clock,
    ) -> Result<Self, NodeError> {
        let address = platform.listen;
        let has_console = platform.console.is_some();
        let handover = has_console
            .then(|| Handover::new(address, quota.clone(), clock.clone()))
            .flatten();
        let received = match &handover {
            Some(handover) => handover.request_listener().await,
            None => None,
        };
        let listener = match &received {
            Some(received) => received.listener.try_clone()?,
            None => listen(clock, address, has_console)
                .await
                .and_then(TcpListener::into_std)
                .map_err(|source| NodeError::Listen { address, source })?,
        };
        listener.set_nonblocking(true)?;
        let handover = match handover {
            Some(handover) => Some(ListenerHandover {
                handover,
                listener: listener.try_clone()?,
                received,
            }),
            None => None,
        };
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            handover,
        })
    }
}

//! The listener for HTTP clients, taken over from a running version of the node or newly opened.

use std::net::SocketAddr;

use badgerpost_admin::LifecycleHandle;
use badgerpost_engine::Clock;
use badgerpost_http::HttpEngine;
use tokio::net::TcpListener;

use super::error::NodeError;
use crate::config::PlatformConfig;
use crate::handover::{Handover, ReceivedListener};
use crate::listening::listen;
use crate::resource_quota::ResourceQuota;

/// The listener for HTTP clients.
pub struct ClientListener {
    /// The non-blocking socket.
    pub listener: TcpListener,
    /// The listener's bound address, with the actual port if port 0 was configured.
    pub address: SocketAddr,
    /// Present if the listener can be handed over to a later version of the node.
    pub handover: Option<ListenerHandover>,
}

/// The handover of the listener, to be run once the node has started.
pub struct ListenerHandover {
    handover: Handover,
    listener: std::net::TcpListener,
    received: Option<ReceivedListener>,
}

impl ListenerHandover {
    /// Hands the listener over to later versions. Returns only if the Unix socket for successors can't be opened.
    pub async fn run(self, lifecycle: LifecycleHandle, engine: HttpEngine) {
        self.handover
            .run(self.listener, self.received, lifecycle, engine)
            .await;
    }
}

impl ClientListener {
    /// Takes over the listener of a running version, or opens a new one. The handover preserves the connections in the
    /// accept queue. A handover is attempted only with a console: without a console, operators don't start a second
    /// version at the same address.
    pub async fn take_over_or_bind(
        platform: &PlatformConfig,
        quota: &ResourceQuota,
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

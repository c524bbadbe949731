//! The side of the running process, which hands its socket on.

use std::net::TcpListener;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_lifecycle::Event as LifecycleEvent;
use badgerpost_socket_handover::{Action, Event, Predecessor};
use tokio::net::{UnixListener, UnixStream};

use super::connection::HandoverConnection;
use super::context::HandoverContext;

/// Wait before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl HandoverContext {
    /// Opens the Unix socket to which successors connect.
    pub(super) fn open_unix_listener(&self) -> Option<UnixListener> {
        // What is there is of a version that has ended, or that knows of this one already.
        let _ = std::fs::remove_file(&self.path);
        match UnixListener::bind(&self.path) {
            Ok(unix_listener) => Some(unix_listener),
            Err(error) => {
                let path = self.path.display();
                tracing::warn!(%path, %error, "the next version can't take over the listening socket");
                None
            }
        }
    }

    /// Hands `listener` on to successors, one after the other: a second one beside the first listens by itself. Never
    /// returns.
    pub(super) async fn accept_successors(
        &self,
        mut unix_listener: UnixListener,
        listener: &TcpListener,
        lifecycle: &LifecycleHandle,
    ) {
        loop {
            match unix_listener.accept().await {
                Ok((stream, _)) => {
                    let connection = HandoverConnection::new(stream);
                    let has_sent_listener =
                        self.serve_successor(connection, listener, lifecycle).await;
                    // One that had opened its own Unix socket and died has left nobody behind it.
                    if has_sent_listener
                        && UnixStream::connect(&self.path).await.is_err()
                        && let Some(reopened) = self.open_unix_listener()
                    {
                        unix_listener = reopened;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a successor failed");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves one successor until it has ended. Returns whether the socket was sent to it.
    async fn serve_successor(
        &self,
        mut connection: HandoverConnection,
        listener: &TcpListener,
        lifecycle: &LifecycleHandle,
    ) -> bool {
        let mut predecessor = Predecessor::new(self.listen);
        let mut timeout = std::pin::pin!(self.exchange_timed_out());
        let mut has_timed_out = false;
        let mut has_sent_listener = false;
        loop {
            let event = tokio::select! {
                biased;
                event = connection.next_event(self.listen) => event,
                () = &mut timeout, if !has_timed_out => {
                    has_timed_out = true;
                    Event::TimedOut
                }
            };
            let mut actions = Vec::new();
            predecessor.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Close => return has_sent_listener,
                    Action::SendListener(_) => has_sent_listener = true,
                    Action::SetShared(shared) => {
                        tracing::info!(shared, "the next version takes connections here");
                        lifecycle.handle(LifecycleEvent::ListenerShared(shared));
                    }
                    _ => {}
                }
                self.perform(action, &mut connection, Some(listener)).await;
            }
        }
    }
}

//! The running version's side of the handover, which sends its listening socket.

use std::net::TcpListener;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_http::HttpEngine;
use badgerpost_lifecycle::Event as LifecycleEvent;
use badgerpost_socket_handover::{Action, Event, Predecessor};
use tokio::net::{UnixListener, UnixStream};

use super::connection::HandoverConnection;
use super::context::HandoverContext;
use super::request_id_export::RequestIdExport;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_secs(1);

impl HandoverContext {
    /// Opens the Unix socket to which successors connect.
    pub(super) fn open_unix_listener(&self) -> Option<UnixListener> {
        // Another version's socket at this path is obsolete: that version has ended, or has exchanged messages with
        // this process already.
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

    /// Sends `listener` to successors, one at a time: a second successor during the first one's life opens a listening
    /// socket of its own. Never returns.
    pub(super) async fn accept_successors(
        &self,
        mut unix_listener: UnixListener,
        listener: &TcpListener,
        lifecycle: &LifecycleHandle,
        engine: &HttpEngine,
    ) {
        loop {
            match unix_listener.accept().await {
                Ok((stream, _)) => {
                    let connection = HandoverConnection::new(stream);
                    let has_sent_listener = self
                        .serve_successor(connection, listener, lifecycle, engine)
                        .await;
                    // A successor that has replaced the Unix socket and then ended leaves a path that nobody serves.
                    if has_sent_listener
                        && UnixStream::connect(&self.path).await.is_err()
                        && let Some(reopened) = self.open_unix_listener()
                    {
                        unix_listener = reopened;
                    }
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a successor's connection failed; retrying");
                    self.clock.sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves one successor until the connection ends. Returns whether the listening socket was sent to the successor.
    async fn serve_successor(
        &self,
        mut connection: HandoverConnection,
        listener: &TcpListener,
        lifecycle: &LifecycleHandle,
        engine: &HttpEngine,
    ) -> bool {
        let mut predecessor = Predecessor::new(self.listen);
        let mut timeout = std::pin::pin!(self.wait_for_exchange_timeout());
        let mut has_timed_out = false;
        let mut has_sent_listener = false;
        let mut export = RequestIdExport::default();
        loop {
            let event = tokio::select! {
                biased;
                event = connection.next_event(self.listen) => event,
                () = &mut timeout, if !has_timed_out => {
                    has_timed_out = true;
                    Event::TimedOut
                }
                message = export.next_message() => {
                    self.perform(Action::Send(message), &mut connection, None).await;
                    continue;
                }
            };
            let mut actions = Vec::new();
            predecessor.handle(event, &mut actions);
            for action in actions {
                match action {
                    Action::Close => return has_sent_listener,
                    Action::SendListener(_) => {
                        has_sent_listener = true;
                        export.start(engine);
                    }
                    Action::ImportRequestIds(ref ids) => engine.import_request_ids(ids),
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

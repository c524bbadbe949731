//! The new version's side of the handover, which receives the listening socket.

use std::io;
use std::net::TcpListener;

use badgerpost_http::HttpEngine;
use badgerpost_socket_handover::{Action, Event, Successor};
use tokio::net::UnixStream;

use super::connection::HandoverConnection;
use super::context::{EXCHANGE_TIMEOUT, HandoverContext};
use super::request_id_export::RequestIdExport;

/// A listening socket received from the predecessor, and the connection whose end signals that the predecessor has
/// ended.
pub struct ReceivedListener {
    /// The received socket, bound to the address at which both versions listen for clients.
    pub listener: TcpListener,
    connection: HandoverConnection,
    successor: Successor,
}

/// The progress of a request for the predecessor's listening socket.
enum Exchange {
    /// The exchange needs another event.
    Continues,
    /// The predecessor has sent its listening socket.
    Received(TcpListener),
    /// This process has to open a listening socket of its own.
    Failed,
}

impl HandoverContext {
    /// Requests the predecessor's listening socket, if there is a predecessor.
    pub(super) async fn request_listener(&self) -> Option<ReceivedListener> {
        let mut connection = HandoverConnection::new(self.connect().await?);
        let mut successor = Successor::new(self.listen);
        let mut timeout = std::pin::pin!(self.wait_for_exchange_timeout());
        let mut event = Event::Connected;
        loop {
            match self.advance(&mut successor, event, &mut connection).await {
                Exchange::Continues => {}
                Exchange::Received(listener) => {
                    tracing::info!(listen = %self.listen, "took over the listening socket");
                    return Some(ReceivedListener {
                        listener,
                        connection,
                        successor,
                    });
                }
                Exchange::Failed => return None,
            }
            event = tokio::select! {
                biased;
                event = connection.next_event(self.listen) => event,
                () = &mut timeout => Event::TimedOut,
            };
        }
    }

    /// Connects to the predecessor. Not found means that no predecessor runs, and is not logged.
    async fn connect(&self) -> Option<UnixStream> {
        let connecting = UnixStream::connect(&self.path);
        match self.clock.timeout(EXCHANGE_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Ok(Err(error)) => {
                let path = self.path.display();
                tracing::info!(%path, %error, "connecting to a predecessor failed; opening a new listening socket");
                None
            }
            Err(_) => None,
        }
    }

    /// Passes an event to the state machine and performs the resulting actions.
    async fn advance(
        &self,
        successor: &mut Successor,
        event: Event,
        connection: &mut HandoverConnection,
    ) -> Exchange {
        let mut actions = Vec::new();
        successor.handle(event, &mut actions);
        for action in actions {
            match action {
                Action::UseReceivedListener => {
                    return match connection.take_listener() {
                        Some(listener) => Exchange::Received(listener),
                        None => Exchange::Failed,
                    };
                }
                Action::ListenSeparately => {
                    tracing::warn!(
                        "no listening socket was handed over; listening beside the other version"
                    );
                    return Exchange::Failed;
                }
                other => self.perform(other, connection, None).await,
            }
        }
        Exchange::Continues
    }

    /// Reports to the predecessor that this process serves, exchanges request ids with it, and returns when the
    /// predecessor has ended. Ids are sent only to a predecessor that has sent some, which earlier versions don't.
    pub(super) async fn await_predecessor_end(
        &self,
        received: ReceivedListener,
        engine: &HttpEngine,
    ) {
        let ReceivedListener {
            mut connection,
            mut successor,
            ..
        } = received;
        let mut export = RequestIdExport::default();
        let mut event = Event::Listening;
        loop {
            let has_ended = event == Event::Closed;
            let mut actions = Vec::new();
            successor.handle(event, &mut actions);
            for action in actions {
                if let Action::ImportRequestIds(ids) = &action {
                    engine.import_request_ids(ids);
                    export.start(engine);
                }
                self.perform(action, &mut connection, None).await;
            }
            if has_ended {
                tracing::info!("the version before is gone");
                return;
            }
            event = loop {
                let message = tokio::select! {
                    biased;
                    event = connection.next_event(self.listen) => break event,
                    message = export.next_message() => message,
                };
                self.perform(Action::Send(message), &mut connection, None)
                    .await;
            };
        }
    }
}

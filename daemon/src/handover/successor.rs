//! The side of the process that was started last.

use std::io;
use std::net::TcpListener;

use badgerpost_socket_handover::{Action, Event, Successor};
use tokio::net::UnixStream;

use super::connection::HandoverConnection;
use super::context::{EXCHANGE_TIMEOUT, HandoverContext};

/// A listening socket from the predecessor, and the connection that shows when the predecessor has ended.
pub struct ReceivedListener {
    /// The socket.
    pub listener: TcpListener,
    connection: HandoverConnection,
    successor: Successor,
}

/// What came of asking a predecessor.
enum Exchange {
    /// The next event is awaited.
    Continues,
    /// The predecessor has sent its socket.
    Received(TcpListener),
    /// There is no socket to be had.
    Failed,
}

impl HandoverContext {
    /// Requests the predecessor's listening socket, if there is a predecessor.
    pub(super) async fn request_listener(&self) -> Option<ReceivedListener> {
        let mut connection = HandoverConnection::new(self.connect().await?);
        let mut successor = Successor::new(self.listen);
        let mut timeout = std::pin::pin!(self.exchange_timed_out());
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

    /// Connects to the predecessor. Without one, there usually is no socket at the path.
    async fn connect(&self) -> Option<UnixStream> {
        let connecting = UnixStream::connect(&self.path);
        match self.clock.timeout(EXCHANGE_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => Some(stream),
            Ok(Err(error)) if error.kind() == io::ErrorKind::NotFound => None,
            Ok(Err(error)) => {
                let path = self.path.display();
                tracing::info!(%path, %error, "connecting to a predecessor failed");
                None
            }
            Err(_) => None,
        }
    }

    /// Passes an event to the state machine and carries out its actions.
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

    /// Tells the predecessor that this process serves, and returns once the predecessor has ended.
    pub(super) async fn await_predecessor_end(&self, received: ReceivedListener) {
        let ReceivedListener {
            mut connection,
            mut successor,
            ..
        } = received;
        let mut event = Event::Listening;
        loop {
            let has_ended = event == Event::Closed;
            let mut actions = Vec::new();
            successor.handle(event, &mut actions);
            for action in actions {
                self.perform(action, &mut connection, None).await;
            }
            if has_ended {
                tracing::info!("the version before is gone");
                return;
            }
            event = connection.next_event(self.listen).await;
        }
    }
}

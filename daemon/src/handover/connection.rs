//! A connection between two versions of a node. Each message is one line; one message carries the listening socket as a
//! file descriptor (`SCM_RIGHTS`).

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};

use badgerpost_socket_handover::{Event, MAX_LINE_LENGTH, Message};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg, sockopt,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

/// A connection to another version of the node.
pub(super) struct HandoverConnection {
    stream: UnixStream,
    /// Received bytes that are not parsed yet.
    received: Vec<u8>,
    /// The file descriptor received most recently.
    received_descriptor: Option<OwnedFd>,
}

impl HandoverConnection {
    pub(super) fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            received: Vec::new(),
            received_descriptor: None,
        }
    }

    /// Waits for the next message or the end of the connection. A received descriptor is accepted only if it is a
    /// socket that listens at `listen`.
    pub(super) async fn next_event(&mut self, listen: SocketAddr) -> Event {
        loop {
            if let Some(line) = self.take_line() {
                return self.parse(&line, listen);
            }
            if self.received.len() > MAX_LINE_LENGTH {
                self.received.clear();
                return Event::InvalidMessage;
            }
            if !self.receive().await.is_ok_and(|read| read > 0) {
                return Event::Closed;
            }
        }
    }

    /// Removes the next complete line from the buffer and returns it without the line feed.
    fn take_line(&mut self) -> Option<Vec<u8>> {
        let end = self.received.iter().position(|byte| *byte == b'\n')?;
        let mut line: Vec<u8> = self.received.drain(..=end).collect();
        line.pop();
        Some(line)
    }

    fn parse(&self, line: &[u8], listen: SocketAddr) -> Event {
        match Message::from_line(line) {
            Ok(message) => {
                let has_listener = message == Message::Listener && self.has_listener_at(listen);
                Event::Received {
                    message,
                    has_listener,
                }
            }
            Err(error) => {
                tracing::warn!(%error, "invalid handover message received");
                Event::InvalidMessage
            }
        }
    }

    async fn receive(&mut self) -> io::Result<usize> {
        let Self {
            stream,
            received,
            received_descriptor,
        } = self;
        let mut bytes = [0; MAX_LINE_LENGTH];
        let read = stream
            .async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = RecvAncillaryBuffer::new(&mut space);
                let mut slices = [IoSliceMut::new(&mut bytes)];
                let message = recvmsg(
                    stream.as_fd(),
                    &mut slices,
                    &mut control,
                    RecvFlags::CMSG_CLOEXEC,
                )?;
                for rights in control.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = rights {
                        // Only the last descriptor is kept; the others are closed.
                        *received_descriptor = descriptors.last();
                    }
                }
                Ok(message.bytes)
            })
            .await?;
        received.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Sends a message, together with the listening socket if one is given.
    ///
    /// # Errors
    ///
    /// The system call failed, or sent only a part of the message.
    pub(super) async fn send(
        &self,
        message: &Message,
        listener: Option<&TcpListener>,
    ) -> io::Result<()> {
        let line = message.to_line();
        let sent = self
            .stream
            .async_io(Interest::WRITABLE, || {
                let descriptor = listener.map(AsFd::as_fd);
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if let Some(descriptor) = &descriptor {
                    let rights = std::slice::from_ref(descriptor);
                    control.push(SendAncillaryMessage::ScmRights(rights));
                }
                let slices = [IoSlice::new(&line)];
                let flags = SendFlags::NOSIGNAL;
                Ok(sendmsg(self.stream.as_fd(), &slices, &mut control, flags)?)
            })
            .await?;
        // Partial writes are not continued: a message is much shorter than the socket's send buffer.
        if sent == line.len() {
            Ok(())
        } else {
            Err(io::ErrorKind::WriteZero.into())
        }
    }

    /// Whether the descriptor received most recently is a socket that listens at `listen`.
    fn has_listener_at(&self, listen: SocketAddr) -> bool {
        let Some(descriptor) = &self.received_descriptor else {
            return false;
        };
        let address = rustix::net::getsockname(descriptor)
            .ok()
            .and_then(|address| SocketAddr::try_from(address).ok());
        let is_listening = sockopt::socket_acceptconn(descriptor).is_ok_and(|listens| listens);
        is_listening && address == Some(listen)
    }

    /// Takes the descriptor received most recently, which [`next_event`](Self::next_event) has checked.
    pub(super) fn take_listener(&mut self) -> Option<TcpListener> {
        self.received_descriptor.take().map(TcpListener::from)
    }
}

//! A socket that reports its reads and writes to an observer, as hyper does not expose them, or only later. The stream
//! also detects a close by the peer while hyper does not read, and closes connections without losing the bytes written
//! last.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};

use badgerpost_engine::{Clock, TcpStream, activity};

/// Observer of the bytes on one connection.
pub trait StreamObserver {
    /// Called when these bytes have been read from the socket.
    fn bytes_read(&mut self, bytes: &[u8]);

    /// Called when bytes have been written to the socket.
    fn bytes_written(&mut self) {}

    /// Called when all bytes written so far have been passed to the operating system.
    fn flushed(&mut self) {}

    /// Called when all bytes that have arrived are read, and more are awaited.
    fn read_blocked(&mut self) {}

    /// Called when the read-ahead buffer is full: what the peer sends from now on stays in the socket's receive buffer.
    fn read_ahead_full(&mut self) {}
}

/// An observer that ignores all notifications.
pub struct NoopObserver;

impl StreamObserver for NoopObserver {
    fn bytes_read(&mut self, _bytes: &[u8]) {}
}

/// Size of the read-ahead buffer. What a peer sends beyond that stays in the socket's receive buffer.
const MAX_READ_AHEAD_BYTES: usize = 6 * 1024;
const READ_AHEAD_CHUNK_BYTES: usize = 2 * 1024;
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;
/// Interval at which a close by the peer is checked for while unread bytes hide the close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An observed socket. Clones share the same socket.
pub struct ObservedStream<O>(Rc<RefCell<ObservedStreamState<O>>>);

struct ObservedStreamState<O> {
    stream: TcpStream,
    observer: O,
    /// Bytes that were read before hyper asked for them.
    read_ahead: BytesMut,
    connection: activity::ConnectionEndCounter,
    write_errors: WriteErrors,
}

/// How errors of writes are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteErrors {
    /// Write errors are returned to the caller.
    Reported,
    /// A failed write stays pending instead, and the connection ends by what is read from it. The peer may have sent a
    /// response before it closed, and hyper stops reading once a write has failed.
    Deferred,
    /// A write has failed; the result of the reads decides how the connection ends.
    Pending,
}

impl<O> Clone for ObservedStream<O> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// The state of the peer's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    /// The peer has closed its side, or the connection has failed.
    Closed,
    /// Received bytes that must not be read yet may hide a close.
    HasUnreadBytes,
}

impl PeerState {
    fn new(is_closed: bool) -> Self {
        if is_closed {
            Self::Closed
        } else {
            Self::HasUnreadBytes
        }
    }
}

impl<O: StreamObserver> ObservedStream<O> {
    /// Creates a stream that reports to `observer`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        let connection = activity::ConnectionEndCounter::default();
        Self(Rc::new(RefCell::new(ObservedStreamState {
            stream,
            observer,
            read_ahead: BytesMut::new(),
            connection,
            write_errors: WriteErrors::Reported,
        })))
    }

    /// Ends a connection whose writes fail by what is read from it: a response that the peer has already sent, or the
    /// error.
    pub fn defer_write_errors(self) -> Self {
        self.0.borrow_mut().write_errors = WriteErrors::Deferred;
        self
    }

    /// Reads and discards what the peer sends, until the peer closes its side or the connection fails.
    pub async fn discard_input(&self) {
        self.0.borrow_mut().read_ahead = BytesMut::new();
        let mut discarded = vec![0; DISCARD_CHUNK_BYTES];
        let mut stream = self.clone();
        while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
    }

    /// Resolves once the peer has closed its side or the connection has failed. Reads ahead, so that a close is
    /// detected while hyper does not read. Must be polled by the task that reads from the stream.
    pub async fn peer_closed(&self, clock: &Clock) {
        while poll_fn(|cx| self.0.borrow_mut().poll_read_ahead(cx)).await != PeerState::Closed {
            clock.sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Closes the writing side, and waits for the peer to close its side. Bytes that still arrive are left unread, so
    /// that the close of the socket sends a reset: the peer can tell that these bytes were not processed.
    pub async fn close_gracefully(&self, clock: &Clock) {
        self.close_writing().await;
        while poll_fn(|cx| self.0.borrow_mut().poll_peer_state(cx)).await != PeerState::Closed {
            clock.sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// A lingering close: closes the writing side, and discards what still arrives until the peer closes its side.
    /// Closing a socket with unread bytes would send a reset, which can destroy the last response.
    pub async fn close_lingering(&self) {
        self.close_writing().await;
        self.discard_input().await;
    }

    /// Whether the socket's receive buffer holds unread bytes; asks the operating system.
    pub fn has_unread_bytes(&self) -> bool {
        self.0.borrow().stream.has_unread_bytes()
    }

    /// The number of bytes that have arrived and that hyper has not read.
    pub fn unread_bytes(&self) -> u64 {
        let state = self.0.borrow();
        state.stream.unread_bytes() + state.read_ahead.len() as u64
    }

    /// Waits until bytes have arrived, or the connection has ended.
    pub async fn readable(&self) {
        poll_fn(|cx| self.0.borrow_mut().poll_peer_state(cx)).await;
    }

    /// Makes the connection end with a reset once the last clone is dropped.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.0.borrow().stream.set_reset_on_close()
    }

    async fn close_writing(&self) {
        // An error means that the stream is already closed or has failed, so that the wait for the peer ends at once.
        let _ = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)).await;
    }
}

impl<O: StreamObserver> ObservedStreamState<O> {
    /// Reads from the socket, and notifies the observer.
    fn poll_socket(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_pending() {
            self.observer.read_blocked();
        }
        if buffer.filled().len() > before {
            activity::record_bytes_read(buffer.filled().len() - before);
            self.observer.bytes_read(&buffer.filled()[before..]);
        } else if read.is_ready() && buffer.remaining() > 0 {
            // The peer has closed its side, or the read has failed.
            self.connection.mark_ended();
            if self.write_errors == WriteErrors::Pending {
                // The operating system reports a connection error only once. If the failed write has consumed it, the
                // read sees a regular end of the stream instead.
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
        }
        read
    }

    /// Notifies the observer of a write, and defers a write error if this is configured.
    fn record_write(&mut self, write: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &write {
            Poll::Ready(Ok(written)) => {
                activity::record_bytes_written(*written);
                self.observer.bytes_written();
            }
            Poll::Ready(Err(_)) if self.write_errors == WriteErrors::Deferred => {
                self.write_errors = WriteErrors::Pending;
                return Poll::Pending;
            }
            Poll::Ready(Err(_)) | Poll::Pending => {}
        }
        write
    }

    /// Reads ahead until the peer closes its side or the read-ahead buffer is full.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<PeerState> {
        while self.read_ahead.len() < MAX_READ_AHEAD_BYTES {
            let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            let read = ready!(self.poll_socket(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(PeerState::Closed);
            }
            self.read_ahead.extend_from_slice(buffer.filled());
        }
        self.observer.read_ahead_full();
        Poll::Ready(PeerState::new(self.stream.is_read_closed(cx)))
    }

    /// Waits until the peer has closed its side or bytes have arrived, without reading them.
    fn poll_peer_state(&mut self, cx: &mut Context<'_>) -> Poll<PeerState> {
        let found = ready!(self.stream.poll_peek(cx, &mut [0])).unwrap_or_default();
        let is_closed = found == 0 || self.stream.is_read_closed(cx);
        if is_closed {
            self.connection.mark_ended();
        }
        Poll::Ready(PeerState::new(is_closed))
    }
}

impl<O: StreamObserver> AsyncRead for ObservedStream<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.0.borrow_mut();
        if state.read_ahead.is_empty() {
            return state.poll_socket(cx, buffer);
        }
        let count = state.read_ahead.len().min(buffer.remaining());
        buffer.put_slice(&state.read_ahead.split_to(count));
        if state.read_ahead.is_empty() {
            // Releases the memory: most connections never need the buffer again.
            state.read_ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<O: StreamObserver> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let state = &mut *self.0.borrow_mut();
        if state.write_errors == WriteErrors::Pending {
            return Poll::Pending;
        }
        let write = Pin::new(&mut state.stream).poll_write(cx, bytes);
        state.record_write(write)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = &mut *self.0.borrow_mut();
        let flushed = Pin::new(&mut state.stream).poll_flush(cx);
        if flushed.is_ready() {
            state.observer.flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let state = &mut *self.0.borrow_mut();
        if state.write_errors == WriteErrors::Pending {
            return Poll::Pending;
        }
        let write = Pin::new(&mut state.stream).poll_write_vectored(cx, slices);
        state.record_write(write)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }
}

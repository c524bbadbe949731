//! A socket whose bytes are observed on their way to the HTTP library, which does not tell of them, or not in time. It
//! also sees a peer close while nobody reads, and closes without losing what was written last.

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

/// Observes one connection.
pub trait StreamObserver {
    /// These bytes have been read from the socket.
    fn bytes_read(&mut self, bytes: &[u8]);

    /// Bytes have been written to the socket.
    fn bytes_written(&mut self) {}

    /// All that was to be written is with the system.
    fn flushed(&mut self) {}

    /// No more is read ahead: what the peer sends from now on waits in the system.
    fn read_ahead_full(&mut self) {}
}

/// Observes nothing: the socket's bytes are counted and no more.
pub struct NoopObserver;

impl StreamObserver for NoopObserver {
    fn bytes_read(&mut self, _bytes: &[u8]) {}
}

/// No more is read ahead: some requests. What a peer sends beyond that waits in the system.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// How much is read ahead at a time.
const READ_AHEAD_CHUNK_BYTES: usize = 2 * 1024;
/// How much is read at a time to be dropped.
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;
/// How often a peer's close is looked for where bytes that are not to be read hide it.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An observed socket. Clones are handles on the same one.
pub struct ObservedStream<O>(Rc<RefCell<ObservedStreamState<O>>>);

struct ObservedStreamState<O> {
    stream: TcpStream,
    observer: O,
    /// Bytes that were read before the HTTP library asked for them.
    read_ahead: BytesMut,
    connection: activity::Connection,
    write_errors: WriteErrors,
}

/// What becomes of an error of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteErrors {
    /// It is returned.
    Reported,
    /// Writes wait instead, and the connection ends by what is read from it. The peer may have responded before it
    /// stopped reading, and the HTTP library reads nothing more once a write has failed.
    Deferred,
    /// A write has failed, and reads are to tell how the connection ends.
    Pending,
}

impl<O> Clone for ObservedStream<O> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// What is known of the peer's side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    /// It has closed its side, or the connection is broken.
    Closed,
    /// Bytes that are not to be read yet come first.
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
    /// Observes this socket.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        let connection = activity::Connection::default();
        Self(Rc::new(RefCell::new(ObservedStreamState {
            stream,
            observer,
            read_ahead: BytesMut::new(),
            connection,
            write_errors: WriteErrors::Reported,
        })))
    }

    /// Has a connection whose writes fail end by what is read from it: a response that came before, or the error.
    pub fn defer_write_errors(self) -> Self {
        self.0.borrow_mut().write_errors = WriteErrors::Deferred;
        self
    }

    /// Reads and discards what the peer sends, until it closes its side or the connection breaks.
    pub async fn discard_input(&self) {
        self.0.borrow_mut().read_ahead = BytesMut::new();
        let mut discarded = vec![0; DISCARD_CHUNK_BYTES];
        let mut stream = self.clone();
        while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
    }

    /// Resolves once the peer has closed its side, or broken the connection, also while nobody reads: what the peer
    /// sends is read ahead. Polled by the task that reads.
    pub async fn peer_closed(&self, clock: &Clock) {
        while poll_fn(|cx| self.0.borrow_mut().poll_read_ahead(cx)).await != PeerState::Closed {
            clock.sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Closes the writing side, and waits for the peer to close too. Bytes that still come are left unread: from the
    /// reset that follows, a peer can tell that what it sent was not handled.
    pub async fn close_gracefully(&self, clock: &Clock) {
        self.close_writing().await;
        while poll_fn(|cx| self.0.borrow_mut().poll_peer_state(cx)).await != PeerState::Closed {
            clock.sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// A lingering close: closes the writing side, and reads and drops what still comes until the peer closes too. A
    /// socket that is closed over unread bytes resets its connection, and the last response may be lost with it.
    pub async fn close_lingering(&self) {
        self.close_writing().await;
        self.discard_input().await;
    }

    /// Whether bytes have arrived that nobody has read, by the system itself.
    pub fn has_unread_bytes(&self) -> bool {
        self.0.borrow().stream.has_unread_bytes()
    }

    /// Has the connection end by a reset, once its last handle is dropped.
    pub fn reset_on_close(&self) -> io::Result<()> {
        self.0.borrow().stream.set_reset_on_close()
    }

    async fn close_writing(&self) {
        // It may be closed already, or the connection broken: then the wait for the peer is over at once.
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
        if buffer.filled().len() > before {
            activity::read(buffer.filled().len() - before);
            self.observer.bytes_read(&buffer.filled()[before..]);
        } else if read.is_ready() && buffer.remaining() > 0 {
            // The peer has closed, or there was an error.
            self.connection.mark_ended();
            if self.write_errors == WriteErrors::Pending {
                // The system reports an error once, and a write may have had it: this is no end in good order.
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
        }
        read
    }

    /// Records a write, and defers its error where that is wanted.
    fn record_write(&mut self, write: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &write {
            Poll::Ready(Ok(written)) => {
                activity::written(*written);
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

    /// Reads ahead until the peer closes, or as much is read ahead as may be.
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

    /// Waits until the peer has closed, or there are bytes, and reads none of them.
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
            // Most connections never need it again.
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

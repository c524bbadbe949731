//! Listens in on connections: what the HTTP library does not tell, or not in time.

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

/// One who listens in on a connection.
pub trait StreamObserver {
    /// These bytes have come.
    fn bytes(&mut self, bytes: &[u8]);

    /// Bytes have been written.
    fn written(&mut self) {}

    /// All that was to be written is with the system.
    fn flushed(&mut self) {}
}

/// A socket that is listened in on. Clones are handles on the same one.
pub struct ObservedStream<E>(Rc<RefCell<ObservedStreamState<E>>>);

struct ObservedStreamState<E> {
    stream: TcpStream,
    ear: E,
    /// Bytes that were read before anybody asked for them.
    ahead: BytesMut,
    connection: activity::Connection,
}

impl<E> Clone for ObservedStream<E> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// So much is read ahead at most: a request of the next kind or two. What a peer sends beyond that waits in the system.
const AHEAD_MOST: usize = 16 * 1024;
/// With so much read ahead, or with bytes that are not to be read, a peer's end is looked for this often.
const LOOK: Duration = Duration::from_millis(20);

impl<E: StreamObserver> ObservedStream<E> {
    /// Listens in on this socket.
    pub fn new(stream: TcpStream, ear: E) -> Self {
        let connection = activity::Connection::default();
        Self(Rc::new(RefCell::new(ObservedStreamState {
            stream,
            ear,
            ahead: BytesMut::new(),
            connection,
        })))
    }

    /// Resolves once the peer has closed its side, or broken the connection, whoever else reads here or does not: what
    /// it sends is read ahead meanwhile. Polled by the task that reads.
    pub async fn left(&self, clock: &Clock) {
        while !poll_fn(|cx| self.0.borrow_mut().poll_left(cx)).await {
            clock.sleep(LOOK).await;
        }
    }

    /// Says that nothing more follows and waits for the peer to end the connection too. Bytes that still come are left
    /// unread: whoever sent them can tell from that that nobody has taken them.
    pub async fn part(&self, clock: &Clock) {
        self.shut().await;
        while !poll_fn(|cx| self.0.borrow_mut().poll_parted(cx)).await {
            clock.sleep(LOOK).await;
        }
    }

    /// The same after an error, while its peer may still be writing: what still comes is read and dropped. A socket
    /// that is closed over unread bytes resets its connection, and the answer may never be seen.
    pub async fn part_reading(&self) {
        self.shut().await;
        let mut scrap = vec![0; 16 * 1024];
        let mut line = self.clone();
        while line.read(&mut scrap).await.is_ok_and(|read| read > 0) {}
    }

    /// Has the connection end by a reset, once its last handle is dropped.
    pub fn reset(&self) -> io::Result<()> {
        self.0.borrow().stream.set_reset_on_close()
    }

    async fn shut(&self) {
        // It may have been shut already, or be broken: then the wait for its end is over at once.
        let _ = poll_fn(|cx| Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)).await;
    }
}

impl<E: StreamObserver> ObservedStreamState<E> {
    /// Reads from the socket, and tells the ear.
    fn poll_socket(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            activity::read(buffer.filled().len() - before);
            self.ear.bytes(&buffer.filled()[before..]);
        } else if read.is_ready() && buffer.remaining() > 0 {
            // Nothing more, or an error.
            self.connection.mark_ended();
        }
        read
    }

    /// Reads ahead; true with the peer's end, false where there is no more room.
    fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        while self.ahead.len() < AHEAD_MOST {
            let mut piece = [0; 2048];
            let mut buffer = ReadBuf::new(&mut piece);
            let read = ready!(self.poll_socket(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(true);
            }
            self.ahead.extend_from_slice(buffer.filled());
        }
        Poll::Ready(self.stream.is_read_closed(cx))
    }

    /// Waits for something to read, and reads nothing; true with the peer's end, false with bytes.
    fn poll_parted(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        let found = ready!(self.stream.poll_peek(cx, &mut [0])).unwrap_or_default();
        let ended = found == 0 || self.stream.is_read_closed(cx);
        if ended {
            self.connection.mark_ended();
        }
        Poll::Ready(ended)
    }
}

/// One who does not listen: the socket's bytes are counted and no more.
pub struct NoopObserver;

impl StreamObserver for NoopObserver {
    fn bytes(&mut self, _bytes: &[u8]) {}
}

fn counted(
    ear: &mut impl StreamObserver,
    write: Poll<io::Result<usize>>,
) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(written)) = &write {
        activity::written(*written);
        ear.written();
    }
    write
}

impl<E: StreamObserver> AsyncRead for ObservedStream<E> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut line = self.0.borrow_mut();
        if line.ahead.is_empty() {
            return line.poll_socket(cx, buffer);
        }
        let taken = line.ahead.len().min(buffer.remaining());
        buffer.put_slice(&line.ahead.split_to(taken));
        if line.ahead.is_empty() {
            // Most connections never need it again.
            line.ahead = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}

impl<E: StreamObserver> AsyncWrite for ObservedStream<E> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let line = &mut *self.0.borrow_mut();
        let write = Pin::new(&mut line.stream).poll_write(cx, bytes);
        counted(&mut line.ear, write)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let line = &mut *self.0.borrow_mut();
        let flushed = Pin::new(&mut line.stream).poll_flush(cx);
        if flushed.is_ready() {
            line.ear.flushed();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let line = &mut *self.0.borrow_mut();
        let write = Pin::new(&mut line.stream).poll_write_vectored(cx, parts);
        counted(&mut line.ear, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }
}

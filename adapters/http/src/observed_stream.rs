//! Listens in on connections: what the HTTP library does not tell, or not in time.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use hyper::Request;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use badgerpost_engine::{Clock, Metrics, TcpStream, activity};

struct ActivitySignals {
    tally: Arc<Metrics>,
    /// Bytes have come since the last message.
    begun: AtomicBool,
    bytes: Notify,
    /// How often bytes have come.
    reads: AtomicU64,
    /// What has come was an interim answer.
    interim: AtomicBool,
    /// The message that is on its way out counts once it is written whole.
    counts: AtomicBool,
    /// Bytes of it have been written.
    written: AtomicBool,
}

/// What is heard on a backend's connection: when an answer has begun to come, which shows in the library only
/// once its head is whole.
#[derive(Clone)]
pub struct ResponseActivity(Arc<ActivitySignals>);

impl ResponseActivity {
    /// What is heard on a new connection; messages are counted there.
    pub fn new(tally: Arc<Metrics>) -> Self {
        let (begun, interim, counts, written) = Default::default();
        let (bytes, reads) = Default::default();
        Self(Arc::new(ActivitySignals {
            tally,
            begun,
            bytes,
            reads,
            interim,
            counts,
            written,
        }))
    }

    /// Listens for the answer to this message, which is about to be written.
    pub fn listen<T>(&self, message: &mut Request<T>) {
        self.0.begun.store(false, Ordering::Relaxed);
        self.0.interim.store(false, Ordering::Relaxed);
        let signs = self.0.clone();
        hyper::ext::on_informational(message, move |_| {
            signs.interim.store(true, Ordering::Relaxed);
        });
    }

    /// The message that is about to be written counts as an attempt once it is written whole.
    pub fn counts(&self) {
        self.0.written.store(false, Ordering::Relaxed);
        self.0.counts.store(true, Ordering::Relaxed);
    }

    /// Resolves once an answer has begun to come and nothing more of it has for so long. Interim answers don't count:
    /// the one that they announce may take its time.
    pub async fn stalled(&self, clock: &Clock, most: Duration) {
        loop {
            while !self.0.begun.load(Ordering::Relaxed) {
                self.0.bytes.notified().await;
            }
            let before = self.0.reads.load(Ordering::Relaxed);
            clock.sleep(most).await;
            if self.0.reads.load(Ordering::Relaxed) != before {
                continue;
            }
            if !self.0.interim.swap(false, Ordering::Relaxed) {
                return;
            }
            self.0.begun.store(false, Ordering::Relaxed);
        }
    }

    /// Whether any bytes have come since the last message.
    pub fn anything(&self) -> bool {
        self.0.begun.load(Ordering::Relaxed)
    }
}

impl StreamObserver for ResponseActivity {
    fn bytes(&mut self, _bytes: &[u8]) {
        self.0.reads.fetch_add(1, Ordering::Relaxed);
        if !self.0.begun.swap(true, Ordering::Relaxed) {
            self.0.bytes.notify_waiters();
        }
    }

    fn written(&mut self) {
        self.0.written.store(true, Ordering::Relaxed);
    }

    fn flushed(&mut self) {
        if self.0.written.swap(false, Ordering::Relaxed)
            && self.0.counts.swap(false, Ordering::Relaxed)
        {
            self.0.tally.attempt_sent();
        }
    }
}

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

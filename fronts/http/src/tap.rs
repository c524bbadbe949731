//! Listens in on connections: what the HTTP library does not tell, or not in time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use badgerpost_engine::{Clock, Tally, progress};

struct Signs {
    tally: Arc<Tally>,
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
pub struct Heard(Arc<Signs>);

impl Heard {
    /// What is heard on a new connection; messages are counted there.
    pub fn new(tally: Arc<Tally>) -> Self {
        let (begun, interim, counts, written) = Default::default();
        let (bytes, reads) = Default::default();
        Self(Arc::new(Signs { tally, begun, bytes, reads, interim, counts, written }))
    }

    /// Listens for the answer to this message, which is about to be written.
    pub fn listen<T>(&self, message: &mut Request<T>) {
        self.0.begun.store(false, Ordering::Relaxed);
        self.0.interim.store(false, Ordering::Relaxed);
        let signs = self.0.clone();
        hyper::ext::on_informational(message, move |_| signs.interim.store(true, Ordering::Relaxed));
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

impl Ear for Heard {
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
        if self.0.written.swap(false, Ordering::Relaxed) && self.0.counts.swap(false, Ordering::Relaxed) {
            self.0.tally.sent();
        }
    }
}

/// One who listens in on a connection.
pub trait Ear {
    /// These bytes have come.
    fn bytes(&mut self, bytes: &[u8]);

    /// Bytes have been written.
    fn written(&mut self) {}

    /// All that was to be written is with the system.
    fn flushed(&mut self) {}
}

/// A socket that is listened in on.
pub struct Tap<E> {
    /// The socket.
    pub stream: TcpStream,
    /// The one who listens.
    pub ear: E,
    connection: progress::Connection,
}

impl<E> Tap<E> {
    /// Listens in on this socket.
    pub fn new(stream: TcpStream, ear: E) -> Self {
        Self { stream, ear, connection: progress::Connection::default() }
    }
}

/// One who does not listen: the socket's bytes are counted and no more.
pub struct Deaf;

impl Ear for Deaf {
    fn bytes(&mut self, _bytes: &[u8]) {}
}

fn counted(ear: &mut impl Ear, write: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(written)) = &write {
        progress::written(*written);
        ear.written();
    }
    write
}

impl<E: Ear + Unpin> AsyncRead for Tap<E> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            progress::read(buffer.filled().len() - before);
            self.ear.bytes(&buffer.filled()[before..]);
        } else if read.is_ready() && buffer.remaining() > 0 {
            // Nothing more, or an error.
            self.connection.over();
        }
        read
    }
}

impl<E: Ear + Unpin> AsyncWrite for Tap<E> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write(cx, bytes);
        counted(&mut self.ear, write)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.ear.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        counted(&mut self.ear, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

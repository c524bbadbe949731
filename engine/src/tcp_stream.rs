//! A TCP stream that relies on no more than what Linux documents of its calls.
//!
//! As a reader, the runtime's own stream takes a read that did not fill its buffer for the last one until the next
//! event, and passes an interrupted call on as an error. A read may be short though more has arrived, and then no event
//! follows: here the socket counts as drained only when a call says so, and an interrupted call is made again.

use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

/// Most bytes of one read: its buffer is cleared first, and none has to be larger than this to be read fast.
const MAX_READ: usize = 16 * 1024;

/// A connected TCP stream.
#[derive(Debug)]
pub struct TcpStream(tokio::net::TcpStream);

impl From<tokio::net::TcpStream> for TcpStream {
    fn from(stream: tokio::net::TcpStream) -> Self {
        Self(stream)
    }
}

impl TcpStream {
    /// Connects to this address.
    ///
    /// # Errors
    ///
    /// The peer refuses, can't be reached, or the system has no socket for it.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        tokio::net::TcpStream::connect(address).await.map(Self)
    }

    /// Sets whether small writes go out at once.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn set_nodelay(&self, is_immediate: bool) -> io::Result<()> {
        self.0.set_nodelay(is_immediate)
    }

    /// Has the connection end by a reset when this is dropped.
    ///
    /// # Errors
    ///
    /// The system refuses.
    pub fn set_reset_on_close(&self) -> io::Result<()> {
        self.0.set_zero_linger()
    }

    /// Waits until there is something to read, and reads nothing. Returns the number of bytes seen, 0 at the peer's
    /// end.
    pub fn poll_peek(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut seen = ReadBuf::new(buffer);
        loop {
            let result = ready!(self.0.poll_peek(cx, &mut seen));
            if !is_interrupted(&result) {
                return Poll::Ready(result);
            }
        }
    }

    /// Whether bytes have arrived that were not read, by the system itself: the runtime learns of them later, and after a
    /// pause of the process that may be too late for a decision.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        loop {
            let seen = SockRef::from(&self.0).peek(&mut byte);
            if !is_interrupted(&seen) {
                return seen.is_ok_and(|count| count > 0);
            }
        }
    }

    /// Whether the system knows by now that the peer has closed its side, though bytes before that may be unread.
    pub fn is_read_closed(&self, cx: &mut Context<'_>) -> bool {
        match pin!(self.0.ready(Interest::READABLE)).poll(cx) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Calls `write` until the socket takes bytes or fails, waiting for its readiness in between.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&tokio::net::TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            let result = write(&self.0);
            if !is_interrupted(&result) && !would_block(&result) {
                return Poll::Ready(result);
            }
        }
    }
}

/// Whether a call has done nothing and is to be made again at once.
fn is_interrupted<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::Interrupted)
}

/// Whether a call has done nothing, and readiness is reported once it can be made again.
fn would_block<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(MAX_READ);
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            // Unlike `poll_read`, this clears the readiness only when there is nothing to read.
            let result = self.0.try_read(buffer.initialize_unfilled_to(size));
            if is_interrupted(&result) || would_block(&result) {
                continue;
            }
            buffer.advance(result?);
            return Poll::Ready(Ok(()));
        }
    }
}

impl AsyncWrite for TcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(bytes))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}

//! A TCP stream that handles short reads and interrupted system calls as Linux documents them.
//!
//! After a read that does not fill the buffer, Tokio's own stream waits for the next readiness event, and it returns
//! interrupted calls as errors. However, a read may be short although more bytes have arrived, and then no further
//! event follows. This stream waits for readiness only after a call would block, and repeats interrupted calls.

use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};

/// The maximum number of bytes per read. One less than the size of hyper's first read buffer, so that hyper does not take
/// larger buffers, which stay allocated as long as any part of their contents is in use.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

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
    /// Returns an error if the peer refuses or can't be reached, or if no socket can be created.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        tokio::net::TcpStream::connect(address).await.map(Self)
    }

    /// Sets `TCP_NODELAY`, with which small writes are sent at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the system call fails.
    pub fn set_nodelay(&self, is_enabled: bool) -> io::Result<()> {
        self.0.set_nodelay(is_enabled)
    }

    /// Makes the connection end with a reset when the stream is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the system call fails.
    pub fn set_reset_on_close(&self) -> io::Result<()> {
        self.0.set_zero_linger()
    }

    /// Waits until bytes can be read, and copies them into `buffer` without consuming them. Returns the number of
    /// bytes, which is 0 if the peer has closed its side.
    pub fn poll_peek(&self, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut seen = ReadBuf::new(buffer);
        loop {
            let result = ready!(self.0.poll_peek(cx, &mut seen));
            if !is_interrupted(&result) {
                return Poll::Ready(result);
            }
        }
    }

    /// Whether unread bytes have arrived. Asks the operating system, because the runtime's readiness state may be out
    /// of date, especially after the process was paused.
    pub fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        loop {
            let seen = SockRef::from(&self.0).peek(&mut byte);
            if !is_interrupted(&seen) {
                return seen.is_ok_and(|count| count > 0);
            }
        }
    }

    /// The number of bytes that have arrived and are unread; 0 if the operating system does not tell.
    pub fn unread_bytes(&self) -> u64 {
        rustix::io::ioctl_fionread(&self.0).unwrap_or(0)
    }

    /// Whether the runtime has been notified that the peer closed its side. Bytes sent before that may still be unread.
    pub fn is_read_closed(&self, cx: &mut Context<'_>) -> bool {
        match pin!(self.0.ready(Interest::READABLE)).poll(cx) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Calls `write` until the socket accepts bytes or fails, and waits for the socket to become writable in between.
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

/// Whether a call was interrupted and must be repeated at once.
fn is_interrupted<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::Interrupted)
}

/// Whether a call would block and must be repeated after the next readiness event.
fn would_block<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for TcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(MAX_READ_BYTES);
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            // Unlike `poll_read`, `try_read` clears the readiness only if the call would block.
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

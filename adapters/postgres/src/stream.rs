//! The byte stream of a connection, unencrypted or TLS, which counts the bytes read from and written to the socket.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use badgerpost_engine::{TcpStream, activity};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio_rustls::TlsStream;

/// A socket whose bytes are counted. Tests with a virtual clock advance the clock only after all written bytes have
/// been read.
#[derive(Debug)]
pub struct CountedStream(TcpStream);

impl CountedStream {
    /// Wraps a socket.
    pub fn new(socket: TcpStream) -> Self {
        Self(socket)
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        activity::record_bytes_read(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = &polled {
            activity::record_bytes_written(*count);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// A connection to a client or a server.
#[derive(Debug)]
pub enum Stream {
    /// No encryption.
    Plain(CountedStream),
    /// Encrypted with TLS; boxed because the state of a TLS connection is large.
    Tls(Box<TlsStream<CountedStream>>),
}

impl Stream {
    /// Wraps a socket as an unencrypted connection.
    pub fn plain(socket: TcpStream) -> Self {
        Self::Plain(CountedStream::new(socket))
    }

    /// Whether the connection uses TLS.
    pub fn is_tls(&self) -> bool {
        matches!(self, Self::Tls(_))
    }

    /// Whether the peer is known to have closed its side. Bytes that it sent before may still be unread.
    pub fn is_read_closed(&self, cx: &mut Context<'_>) -> bool {
        let socket = match self {
            Self::Plain(stream) => stream,
            Self::Tls(stream) => stream.get_ref().0,
        };
        socket.0.is_read_closed(cx)
    }

    /// Whether the connection is open and has no unread input. The check consumes a pending byte, so the connection
    /// must be closed if the result is false.
    pub fn is_open_without_pending_input(&mut self) -> bool {
        let mut byte = [0; 1];
        let mut cx = Context::from_waker(Waker::noop());
        Pin::new(self)
            .poll_read(&mut cx, &mut ReadBuf::new(&mut byte))
            .is_pending()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_read(cx, buf),
            Self::Tls(stream) => Pin::new(stream).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_write(cx, bytes),
            Self::Tls(stream) => Pin::new(stream).poll_write(cx, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_flush(cx),
            Self::Tls(stream) => Pin::new(stream).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Self::Plain(stream) => Pin::new(stream).poll_shutdown(cx),
            Self::Tls(stream) => Pin::new(stream).poll_shutdown(cx),
        }
    }
}

//! The sockets of a session: what is read goes into the decoders, what is to be sent comes from two bounded buffers.

use std::cell::RefCell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use badgerpost_balancer::Outcome;
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::Event;
use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::{Progress, Relay};
use crate::stream::Stream;

/// With this many bytes to be sent to one side, no more are read from the other. One read may exceed it.
pub(super) const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Most bytes that are read at once.
const READ_BUFFER_SIZE: usize = 16 * 1024;
/// An empty buffer of a larger capacity is freed: most sessions are idle most of the time.
const MAX_IDLE_CAPACITY: usize = 4 * 1024;
/// Timeout of sending the last bytes of a session and closing the client's connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// What is read from any socket of this thread. It is copied into a decoder before anything else is read.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_SIZE]);
}

/// What a read has found.
enum ReadResult {
    /// Bytes, which are in the decoder now.
    Received,
    /// The end of the connection.
    Closed,
}

/// Reads once.
fn poll_read(
    stream: &mut Stream,
    decoder: &mut FrameDecoder,
    cx: &mut Context<'_>,
) -> Poll<ReadResult> {
    READ_BUFFER.with_borrow_mut(|bytes| {
        let mut buffer = ReadBuf::new(bytes);
        match Pin::new(stream).poll_read(cx, &mut buffer) {
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                decoder.push(buffer.filled());
                Poll::Ready(ReadResult::Received)
            }
            Poll::Ready(_) => Poll::Ready(ReadResult::Closed),
            Poll::Pending => Poll::Pending,
        }
    })
}

impl Relay {
    pub(super) fn read_server(&mut self, cx: &mut Context<'_>) -> Progress {
        if self.to_client.len() >= MAX_UNSENT_BYTES {
            return Progress::Stalled;
        }
        let Some(server) = &mut self.server else {
            return Progress::Stalled;
        };
        let connection = &mut server.connection;
        match poll_read(&mut connection.stream, &mut connection.decoder, cx) {
            Poll::Ready(ReadResult::Received) => {}
            Poll::Ready(ReadResult::Closed) => self.lose_server(Outcome::Reset),
            Poll::Pending => return Progress::Stalled,
        }
        Progress::Advanced
    }

    pub(super) fn read_client(&mut self, cx: &mut Context<'_>) -> Progress {
        if !self.session.accepts_client_messages()
            || self.to_server.len() >= MAX_UNSENT_BYTES
            || self.to_client.len() >= MAX_UNSENT_BYTES
        {
            return Progress::Stalled;
        }
        match poll_read(&mut self.client, &mut self.client_decoder, cx) {
            Poll::Ready(ReadResult::Received) => {}
            Poll::Ready(ReadResult::Closed) => self.handle(Event::ClientDisconnected),
            Poll::Pending => return Progress::Stalled,
        }
        Progress::Advanced
    }

    pub(super) fn write_server(&mut self, cx: &mut Context<'_>) -> Progress {
        let mut progress = Progress::Stalled;
        while let (Some(server), false) = (&mut self.server, self.to_server.is_empty()) {
            let stream = &mut server.connection.stream;
            match Pin::new(&mut *stream).poll_write(cx, &self.to_server) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_server.advance(count);
                    // A failure shows in the next write or read.
                    let _ = Pin::new(stream).poll_flush(cx);
                    progress = Progress::Advanced;
                }
                Poll::Ready(_) => {
                    self.lose_server(Outcome::Reset);
                    return Progress::Advanced;
                }
                Poll::Pending => return progress,
            }
        }
        progress
    }

    pub(super) fn write_client(&mut self, cx: &mut Context<'_>) -> Progress {
        let mut progress = Progress::Stalled;
        while !self.to_client.is_empty() {
            match Pin::new(&mut self.client).poll_write(cx, &self.to_client) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.to_client.advance(count);
                    self.client_needs_flush = true;
                    progress = Progress::Advanced;
                }
                Poll::Ready(_) => {
                    self.to_client.clear();
                    self.handle(Event::ClientDisconnected);
                    return Progress::Advanced;
                }
                Poll::Pending => return progress,
            }
        }
        if self.client_needs_flush {
            self.client_needs_flush = Pin::new(&mut self.client).poll_flush(cx).is_pending();
        }
        progress
    }

    /// Sends what is left to a client that still reads, and closes its connection.
    pub(super) async fn close_client(&mut self) {
        let clock = self.context.fleet.clock().clone();
        let closed = std::future::poll_fn(|cx| self.poll_close_client(cx));
        // A client that does not read its last bytes in time loses them.
        let _ = clock.timeout(CLOSE_TIMEOUT, closed).await;
    }

    fn poll_close_client(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.to_client.is_empty() {
            match Pin::new(&mut self.client).poll_write(cx, &self.to_client) {
                Poll::Ready(Ok(count)) if count > 0 => self.to_client.advance(count),
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return Poll::Pending,
            }
        }
        Pin::new(&mut self.client).poll_shutdown(cx).map(drop)
    }

    /// Frees empty buffers: the session may be idle for an hour now.
    pub(super) fn release_buffers(&mut self) {
        for buffer in [&mut self.to_client, &mut self.to_server] {
            if buffer.is_empty() && buffer.capacity() > MAX_IDLE_CAPACITY {
                *buffer = BytesMut::new();
            }
        }
        self.client_decoder.release_buffer();
    }
}

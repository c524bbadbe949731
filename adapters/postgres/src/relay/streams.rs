//! Reads the sockets of a session into the message decoders and writes to them from two bounded buffers.

use std::cell::RefCell;
use std::future::poll_fn;
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

/// Reading from one side stops while at least this many bytes are unsent to the other side. A single read may exceed
/// the limit.
pub(super) const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Maximum number of bytes per read.
const READ_BUFFER_SIZE: usize = 16 * 1024;
/// Empty buffers of a larger capacity are freed when a session becomes idle.
const MAX_IDLE_CAPACITY: usize = 4 * 1024;
/// Longest time in which the operating system takes none of the last bytes of a session. A full send buffer takes more
/// once a third of it is free, which can take a client that reads 64 kB/s this long.
const SEND_PROGRESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a client from which nothing is read is checked for having disconnected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for closing a client's connection after its last bytes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

thread_local! {
    /// Read buffer shared by all sessions of the thread. Its contents are copied into a decoder after each read.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_SIZE]);
}

/// Result of a read.
enum ReadResult {
    /// Bytes were received and pushed into the decoder.
    Received,
    /// The connection was closed or failed.
    Closed,
}

/// Reads once from `stream` into `decoder`.
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

    pub(super) fn reads_from_client(&self) -> bool {
        self.session.accepts_client_messages()
            && self.to_server.len() < MAX_UNSENT_BYTES
            && self.to_client.len() < MAX_UNSENT_BYTES
    }

    pub(super) fn read_client(&mut self, cx: &mut Context<'_>) -> Progress {
        if !self.reads_from_client() {
            return Progress::Stalled;
        }
        match poll_read(&mut self.client, &mut self.client_decoder, cx) {
            Poll::Ready(ReadResult::Received) => {
                self.last_received_at = self.context.engine.clock().now();
            }
            Poll::Ready(ReadResult::Closed) => self.handle(Event::ClientDisconnected),
            Poll::Pending => return Progress::Stalled,
        }
        Progress::Advanced
    }

    /// Ends the session if its client has closed the connection while nothing is read from it. What the client sent
    /// before is dropped: nobody waits for the responses.
    pub(super) fn check_client_connection(&mut self, cx: &mut Context<'_>) -> Progress {
        if self.reads_from_client() {
            self.disconnect_check = None;
            return Progress::Stalled;
        }
        let clock = self.context.engine.clock();
        let check = self
            .disconnect_check
            .get_or_insert_with(|| Box::pin(clock.sleep(DISCONNECT_CHECK_INTERVAL)));
        if check.as_mut().poll(cx).is_pending() {
            return Progress::Stalled;
        }
        self.disconnect_check = None;
        if self.client.is_read_closed(cx) {
            self.handle(Event::ClientDisconnected);
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
                    // A flush error is also returned by the next write or read.
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

    /// Sends the remaining bytes to the client and closes the connection. Bytes that the client does not read within
    /// the time limits are dropped.
    pub(super) async fn close_client(&mut self) {
        let clock = self.context.engine.clock().clone();
        while !self.to_client.is_empty() {
            let written = poll_fn(|cx| Pin::new(&mut self.client).poll_write(cx, &self.to_client));
            match clock.timeout(SEND_PROGRESS_TIMEOUT, written).await {
                Ok(Ok(count)) if count > 0 => self.to_client.advance(count),
                _ => return,
            }
        }
        // A TLS stream holds bytes of its own.
        let flushed = poll_fn(|cx| Pin::new(&mut self.client).poll_flush(cx));
        if !matches!(
            clock.timeout(SEND_PROGRESS_TIMEOUT, flushed).await,
            Ok(Ok(()))
        ) {
            return;
        }
        let closed = poll_fn(|cx| Pin::new(&mut self.client).poll_shutdown(cx));
        // The client may have closed the connection.
        let _ = clock.timeout(CLOSE_TIMEOUT, closed).await;
    }

    /// Frees empty buffers to reduce the memory use of idle sessions.
    pub(super) fn release_buffers(&mut self) {
        for buffer in [&mut self.to_client, &mut self.to_server] {
            if buffer.is_empty() && buffer.capacity() > MAX_IDLE_CAPACITY {
                *buffer = BytesMut::new();
            }
        }
        self.client_decoder.release_buffer();
    }
}

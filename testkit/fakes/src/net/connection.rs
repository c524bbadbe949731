//! A non-blocking connection with a buffer for bytes that the socket has not accepted yet.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use super::READ_BUFFER_BYTES;

/// The most bytes buffered for a peer that does not read; the connection is reset beyond this.
const MAX_UNSENT_BYTES: usize = 8 * 1024 * 1024;

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    unsent: Vec<u8>,
    is_writable: bool,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            unsent: Vec::new(),
            is_writable: true,
        }
    }

    /// Whether `length` more bytes fit into the buffer.
    pub(super) fn can_buffer(&self, length: usize) -> bool {
        self.unsent.len() + length <= MAX_UNSENT_BYTES
    }

    /// Appends bytes to the buffer and writes as many as the socket accepts. Returns the number of bytes written.
    pub(super) fn write(&mut self, bytes: &[u8]) -> usize {
        self.unsent.extend_from_slice(bytes);
        self.flush()
    }

    /// Writes buffered bytes after the socket has become writable again.
    pub(super) fn on_writable(&mut self) {
        self.is_writable = true;
        self.flush();
    }

    fn flush(&mut self) -> usize {
        let mut written = 0;
        while self.is_writable && written < self.unsent.len() {
            match self.stream.write(&self.unsent[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_writable = false,
                // The next read reports the end of the connection; the buffered bytes are discarded.
                Err(_) => written = self.unsent.len(),
            }
        }
        self.unsent.drain(..written);
        written
    }

    /// Closes the sending side. The caller must read the returned stream until the peer has closed too.
    pub(super) fn shut_down(self) -> TcpStream {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.stream
    }

    /// Resets the connection.
    pub(super) fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// How the peer closed a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseKind {
    Orderly,
    Reset,
}

pub(super) struct ReadResult {
    pub(super) bytes: Vec<u8>,
    /// Set if the peer has closed the connection after these bytes.
    pub(super) closed: Option<CloseKind>,
}

/// Reads until the socket would block or the connection has ended.
pub(super) fn read_available(stream: &mut TcpStream) -> ReadResult {
    let mut bytes = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    let closed = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break Some(CloseKind::Orderly),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break None,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => break Some(CloseKind::Reset),
        }
    };
    ReadResult { bytes, closed }
}

//! One non-blocking connection: a buffer for bytes that the peer has not read yet, and reads of all that has arrived.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use super::READ_BUFFER_BYTES;

/// Bytes buffered for a peer that does not read; beyond this the connection is reset.
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

    /// Appends bytes to the buffer and writes what the peer takes now. Returns the number of bytes written.
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
                // A read from the socket finds the connection's end and reports it.
                Err(_) => written = self.unsent.len(),
            }
        }
        self.unsent.drain(..written);
        written
    }

    /// Closes the sending side. The returned stream must be read until the peer has closed too.
    pub(super) fn shut_down(self) -> TcpStream {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.stream
    }

    /// Closes the connection by a reset.
    pub(super) fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// How a connection was closed by its peer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseKind {
    Orderly,
    Reset,
}

/// The bytes that have arrived on a connection, and whether the peer has closed it after them.
pub(super) struct ReadResult {
    pub(super) bytes: Vec<u8>,
    pub(super) closed: Option<CloseKind>,
}

/// Reads everything that has arrived.
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

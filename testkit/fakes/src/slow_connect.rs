//! A backend to which connects succeed late: the accept queue is full, so that the system drops the client's first SYN,
//! which the client retransmits a second later. Panics if a test has failed, like [`crate::scripted`].
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::scripted::wait_until;

/// A backend whose accept queue is full until [`SlowConnectBackend::make_room`].
pub struct SlowConnectBackend {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Fills the accept queue: with a backlog of 0 the system queues one connection.
    _queued: TcpStream,
}

impl SlowConnectBackend {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let queued = TcpStream::connect(address).unwrap();
        Self {
            address,
            listener,
            _queued: queued,
        }
    }

    /// Waits until a client tries to connect.
    pub fn wait_for_connect_attempt(&self) {
        // The remote address and port in hexadecimal, followed by the state SYN_SENT.
        let entry = format!("0100007F:{:04X} 02", self.address.port());
        wait_until("a client tries to connect to the slow backend", || {
            std::fs::read_to_string("/proc/net/tcp")
                .unwrap()
                .contains(&entry)
        });
    }

    /// Empties the accept queue: a pending connect succeeds once the client retransmits its SYN.
    pub fn make_room(&self) {
        drop(self.listener.accept().unwrap());
    }

    /// Accepts the next connection and returns the text received until the connection is closed or reset, or nothing
    /// arrives for `timeout`.
    pub fn read_until_closed(&self, timeout: Duration) -> String {
        let (mut stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(timeout)).unwrap();
        let (mut text, mut buffer) = (String::new(), [0; 4096]);
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return text,
                Ok(length) => text += &String::from_utf8_lossy(&buffer[..length]),
                // The timeout, or a reset.
                Err(_) => return text,
            }
        }
    }
}

impl Default for SlowConnectBackend {
    fn default() -> Self {
        Self::new()
    }
}

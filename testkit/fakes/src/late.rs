//! A backend whose connections come up late: the system drops the first packet of each until it is let in, and the peer
//! sends the next one a second later. For tests, like [`crate::scripted`].
#![allow(missing_docs, clippy::unwrap_used)]

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::scripted::until;

/// Its queue is full: with room for none the system keeps one that nobody accepts, and takes no other.
pub struct Late {
    pub at: SocketAddr,
    listener: TcpListener,
    _first: TcpStream,
}

impl Late {
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().unwrap();
        let first = TcpStream::connect(at).unwrap();
        Self {
            at,
            listener,
            _first: first,
        }
    }

    /// Waits until somebody tries to connect, and is kept out.
    pub fn is_tried(&self) {
        // Remote address and port in hexadecimal, and the state SYN_SENT.
        let mark = format!("0100007F:{:04X} 02", self.at.port());
        until("a connect is tried", || {
            std::fs::read_to_string("/proc/net/tcp")
                .unwrap()
                .contains(&mark)
        });
    }

    /// Makes room: the next connection that is tried comes up, a second after its first packet or so.
    pub fn lets_in(&self) {
        drop(self.listener.accept().unwrap());
    }

    /// Waits for the next connection and reads what comes on it before its peer closes it, or for so long.
    pub fn reads(&self, most: Duration) -> String {
        let (mut stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(most)).unwrap();
        let (mut text, mut piece) = (String::new(), [0; 4096]);
        loop {
            match stream.read(&mut piece) {
                Ok(0) => return text,
                Ok(read) => text += &String::from_utf8_lossy(&piece[..read]),
                // In vain, or broken.
                Err(_) => return text,
            }
        }
    }
}

impl Default for Late {
    fn default() -> Self {
        Self::new()
    }
}

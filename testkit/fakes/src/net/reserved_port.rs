//! Ports that stay reserved while nobody listens on them.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

const LISTEN_BACKLOG: i32 = 1024;

/// A port that is reserved for listeners that come and go. While nobody listens, connects are refused, and the system
/// does not use the port as the local end of a connection, which would keep the next listener from binding it.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves the port of `address`, or a free one if that is 0. A listener on it must set `SO_REUSEADDR`.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self {
            address,
            _socket: socket,
        })
    }

    /// The reserved address, with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Listens at `address` without blocking, also where a [`ReservedPort`] holds it.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

//! Ports that stay reserved while no listener uses them.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

const LISTEN_BACKLOG: i32 = 1024;

/// A bound socket that reserves a port between listeners. While there is no listener, connects are refused, and the
/// system does not assign the port to an outgoing connection, which would prevent the next listener from binding to it.
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves the port of `address`, or a free port where that is 0. Listeners on the port must set `SO_REUSEADDR`.
    pub fn new(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        let address = socket.local_addr()?.as_socket().unwrap_or(address);
        Ok(Self {
            address,
            _socket: socket,
        })
    }

    /// The reserved address, with the assigned port.
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

/// Creates a non-blocking listener at `address`, which a [`ReservedPort`] may hold.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = bind(address)?;
    socket.listen(LISTEN_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

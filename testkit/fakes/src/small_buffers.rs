//! Connections of slow readers. Between two processes on loopback the operating system usually holds several megabytes
//! that the receiver has not read. On these connections it holds some 100 KB, so that what is sent beyond that stays in
//! the sending process.

use std::io;
use std::net::{SocketAddr, TcpStream};

use socket2::{Domain, Socket, Type};

/// Small segments keep the sender's buffer small, because its size follows from theirs.
const MAX_SEGMENT_BYTES: u32 = 536;
const RECEIVE_BUFFER_BYTES: usize = 4096;

/// Connects to `address` with small buffers on both sides.
///
/// # Errors
///
/// The connection fails.
pub fn connect_with_small_buffers(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_tcp_mss(MAX_SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

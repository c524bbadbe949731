//! Loopback sockets for the fakes, polled on one thread. What peers do is reported as [`NetworkEvent`]s, in an order
//! that does not depend on the order in which the system reports them.

mod connection;
mod event;
mod event_order;
mod reserved_port;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};

use connection::{CloseKind, Connection, read_available};
pub use event::{ConnId, ListenerId, NetworkEvent};
pub use reserved_port::ReservedPort;
use reserved_port::listen;

/// Poll tokens below this value identify listeners and datagram sockets; the others identify connections.
const FIRST_CONNECTION_TOKEN: usize = 1 << 16;
/// The most system events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 4096;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Reached only if the peer's accept queue is full: other loopback connects end at once.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A listener or datagram socket, and the address that it is bound to.
#[derive(Clone, Copy, Debug)]
pub struct BoundSocket {
    /// The socket's id.
    pub id: ListenerId,
    /// The bound address, with the assigned port.
    pub address: SocketAddr,
}

enum ListenerState {
    Listening(TcpListener),
    Datagrams(UdpSocket),
    /// Connects are refused; the port stays reserved.
    Refusing,
}

struct Listener {
    address: SocketAddr,
    state: ListenerState,
}

#[derive(Default)]
struct Readiness {
    is_readable: bool,
    is_writable: bool,
}

/// All sockets of the fakes, on the loopback interface.
pub struct LoopbackNetwork {
    poll: Poll,
    events: Events,
    listeners: Vec<Listener>,
    /// The listeners' ports, which stay reserved while connects are refused.
    reserved_ports: Vec<ReservedPort>,
    connections: BTreeMap<ConnId, Connection>,
    /// Connections whose sending side has been closed: received bytes are discarded until the peer has closed too.
    /// Closing a socket with unread bytes would reset the connection, and the time at which the peer notices varies.
    lingering: BTreeMap<ConnId, TcpStream>,
    next_connection: usize,
    bytes_read: u64,
}

impl LoopbackNetwork {
    /// Creates a network without sockets.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            listeners: Vec::new(),
            reserved_ports: Vec::new(),
            connections: BTreeMap::new(),
            lingering: BTreeMap::new(),
            next_connection: FIRST_CONNECTION_TOKEN,
            bytes_read: 0,
        })
    }

    /// Listens at `address`; port 0 selects a free port.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<BoundSocket> {
        let reserved = ReservedPort::new(address)?;
        let address = reserved.address();
        let id = ListenerId(self.listeners.len());
        let state = self.start_listening(address, id)?;
        self.listeners.push(Listener { address, state });
        self.reserved_ports.push(reserved);
        Ok(BoundSocket { id, address })
    }

    fn start_listening(&self, address: SocketAddr, id: ListenerId) -> io::Result<ListenerState> {
        let mut listener = TcpListener::from_std(listen(address)?);
        self.poll
            .registry()
            .register(&mut listener, Token(id.0), Interest::READABLE)?;
        Ok(ListenerState::Listening(listener))
    }

    /// Binds a datagram socket to `address`; port 0 selects a free port.
    pub fn bind_datagrams(&mut self, address: SocketAddr) -> io::Result<BoundSocket> {
        let mut socket = UdpSocket::bind(address)?;
        let address = socket.local_addr()?;
        let id = ListenerId(self.listeners.len());
        self.poll
            .registry()
            .register(&mut socket, Token(id.0), Interest::READABLE)?;
        let state = ListenerState::Datagrams(socket);
        self.listeners.push(Listener { address, state });
        Ok(BoundSocket { id, address })
    }

    /// Sends a datagram. Returns the number of bytes sent: 0 if the send fails or `socket` is not a datagram socket.
    pub fn send_datagram(&self, socket: ListenerId, to: SocketAddr, bytes: &[u8]) -> usize {
        match self.listeners.get(socket.0).map(|found| &found.state) {
            Some(ListenerState::Datagrams(socket)) => socket.send_to(bytes, to).unwrap_or(0),
            _ => 0,
        }
    }

    /// Closes the listener: new connections are refused, and the port stays reserved.
    pub fn stop_listening(&mut self, id: ListenerId) -> io::Result<()> {
        if let Some(Listener { state, .. }) = self.listeners.get_mut(id.0)
            && let ListenerState::Listening(listener) = state
        {
            self.poll.registry().deregister(listener)?;
            *state = ListenerState::Refusing;
        }
        Ok(())
    }

    /// Listens again at the port of a listener that [`LoopbackNetwork::stop_listening`] has closed.
    pub fn resume_listening(&mut self, id: ListenerId) -> io::Result<()> {
        if let Some(Listener {
            address,
            state: ListenerState::Refusing,
        }) = self.listeners.get(id.0)
        {
            let state = self.start_listening(*address, id)?;
            self.listeners[id.0].state = state;
        }
        Ok(())
    }

    /// Connects to a peer; blocks until the connection is established or refused, for 2 s at most.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<ConnId> {
        let stream = std::net::TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        stream.set_nonblocking(true)?;
        self.register_connection(TcpStream::from_std(stream))
    }

    fn register_connection(&mut self, mut stream: TcpStream) -> io::Result<ConnId> {
        stream.set_nodelay(true)?;
        let id = ConnId(self.next_connection);
        self.poll.registry().register(
            &mut stream,
            Token(id.0),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        self.next_connection += 1;
        self.connections.insert(id, Connection::new(stream));
        Ok(id)
    }

    /// Whether neither side has closed the connection yet.
    pub fn is_open(&self, conn: ConnId) -> bool {
        self.connections.contains_key(&conn)
    }

    /// Writes as many bytes as the socket accepts, including bytes buffered earlier, and buffers the remainder. Returns
    /// the number of bytes written now. Resets the connection where the buffer would exceed its limit. If the peer has
    /// closed the connection, the next [`LoopbackNetwork::poll`] reports that.
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) -> usize {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return 0;
        };
        if !connection.can_buffer(bytes.len()) {
            self.reset(conn);
            return 0;
        }
        connection.write(bytes)
    }

    /// Closes a connection in an orderly way: the peer receives all bytes written so far, then the end of the stream.
    pub fn close(&mut self, conn: ConnId) {
        if let Some(connection) = self.connections.remove(&conn) {
            self.lingering.insert(conn, connection.shut_down());
        }
    }

    /// Closes a connection by a reset.
    pub fn reset(&mut self, conn: ConnId) {
        if let Some(connection) = self.connections.remove(&conn) {
            connection.reset();
        }
    }

    /// The number of bytes read so far from all sockets, including discarded ones.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Polls all sockets once, for at most `timeout`, and appends the events: accepted connections and datagrams in the
    /// order of their sockets, then received bytes and closes in the order of their connections.
    pub fn poll(&mut self, timeout: Duration, events: &mut Vec<NetworkEvent>) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(timeout)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            result => result?,
        }
        let mut to_read = Vec::new();
        for (token, readiness) in self.readiness_by_token() {
            if token < FIRST_CONNECTION_TOKEN {
                to_read.extend(self.read_listener(ListenerId(token), events)?);
                continue;
            }
            let id = ConnId(token);
            if readiness.is_writable
                && let Some(connection) = self.connections.get_mut(&id)
            {
                connection.on_writable();
            }
            if readiness.is_readable {
                to_read.push(id);
            }
        }
        to_read.sort_unstable();
        to_read.dedup();
        for id in to_read {
            self.read_connection(id, events);
        }
        Ok(())
    }

    fn readiness_by_token(&self) -> BTreeMap<usize, Readiness> {
        let mut ready: BTreeMap<usize, Readiness> = BTreeMap::new();
        for event in &self.events {
            let readiness = ready.entry(event.token().0).or_default();
            readiness.is_readable |=
                event.is_readable() || event.is_read_closed() || event.is_error();
            readiness.is_writable |= event.is_writable();
        }
        ready
    }

    /// Accepts all pending connections, or receives all pending datagrams. Returns the accepted connections, which may
    /// have bytes to read already.
    fn read_listener(
        &mut self,
        id: ListenerId,
        events: &mut Vec<NetworkEvent>,
    ) -> io::Result<Vec<ConnId>> {
        match self.listeners.get(id.0).map(|found| &found.state) {
            Some(ListenerState::Listening(_)) => self.accept_all(id, events),
            Some(ListenerState::Datagrams(_)) => {
                self.receive_datagrams(id, events);
                Ok(Vec::new())
            }
            Some(ListenerState::Refusing) | None => Ok(Vec::new()),
        }
    }

    fn accept_all(
        &mut self,
        listener: ListenerId,
        events: &mut Vec<NetworkEvent>,
    ) -> io::Result<Vec<ConnId>> {
        let mut accepted = Vec::new();
        while let ListenerState::Listening(socket) = &self.listeners[listener.0].state {
            match socket.accept() {
                Ok((stream, _)) => {
                    let conn = self.register_connection(stream)?;
                    events.push(NetworkEvent::Accepted { listener, conn });
                    accepted.push(conn);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The peer has closed the connection before it was accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(accepted)
    }

    fn receive_datagrams(&mut self, id: ListenerId, events: &mut Vec<NetworkEvent>) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while let ListenerState::Datagrams(socket) = &self.listeners[id.0].state {
            match socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    self.bytes_read += length as u64;
                    events.push(NetworkEvent::Datagram {
                        socket: id,
                        from,
                        bytes: buffer[..length].to_vec(),
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                // ICMP error: an earlier datagram from this socket was sent to a port without a receiver.
                Err(_) => {}
            }
        }
    }

    fn read_connection(&mut self, conn: ConnId, events: &mut Vec<NetworkEvent>) {
        if let Some(stream) = self.lingering.get_mut(&conn) {
            let read = read_available(stream);
            self.bytes_read += read.bytes.len() as u64;
            if read.closed.is_some() {
                self.lingering.remove(&conn);
            }
            return;
        }
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let read = read_available(&mut connection.stream);
        self.bytes_read += read.bytes.len() as u64;
        if !read.bytes.is_empty() {
            let bytes = read.bytes;
            events.push(NetworkEvent::Received { conn, bytes });
        }
        if let Some(kind) = read.closed {
            self.connections.remove(&conn);
            let reset = kind == CloseKind::Reset;
            events.push(NetworkEvent::Closed { conn, reset });
        }
    }
}

#[cfg(test)]
mod tests;

//! Loopback sockets for the fakes, polled on one thread. What peers do is reported as [`NetworkEvent`]s, in an order
//! that does not depend on the system's.

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

/// Poll tokens below this are listeners', the others connections'.
const FIRST_CONNECTION_TOKEN: usize = 1 << 16;
/// Events that one poll takes from the system.
const EVENTS_PER_POLL: usize = 4096;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A loopback connect succeeds at once unless the peer's accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A listener or datagram socket, and the address that it is bound to.
#[derive(Clone, Copy, Debug)]
pub struct BoundSocket {
    /// The socket's id.
    pub id: ListenerId,
    /// The address, with its port.
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

/// What the system reports about one socket.
#[derive(Default)]
struct Readiness {
    readable: bool,
    writable: bool,
}

/// All sockets of the fakes, on the loopback interface.
pub struct LoopbackNetwork {
    poll: Poll,
    events: Events,
    listeners: Vec<Listener>,
    /// The listeners' ports, which stay reserved while connects are refused.
    reserved_ports: Vec<ReservedPort>,
    connections: BTreeMap<ConnId, Connection>,
    /// Connections closed on this side: what the peer still sends is read and dropped until it has closed too. Closing
    /// a socket with unread bytes resets its connection, and when the peer notices that would be left to chance.
    lingering: BTreeMap<ConnId, TcpStream>,
    next_connection: usize,
    bytes_read: u64,
}

impl LoopbackNetwork {
    /// Creates a network without sockets.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poll: Poll::new()?,
            events: Events::with_capacity(EVENTS_PER_POLL),
            listeners: Vec::new(),
            reserved_ports: Vec::new(),
            connections: BTreeMap::new(),
            lingering: BTreeMap::new(),
            next_connection: FIRST_CONNECTION_TOKEN,
            bytes_read: 0,
        })
    }

    /// Listens at the port of `address`, or at a free one if that is 0.
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

    /// Binds a datagram socket to the port of `address`, or to a free one if that is 0.
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

    /// Sends a datagram. Returns the number of bytes sent: none where the system does not take it.
    pub fn send_datagram(&self, socket: ListenerId, to: SocketAddr, bytes: &[u8]) -> usize {
        match self.listeners.get(socket.0).map(|found| &found.state) {
            Some(ListenerState::Datagrams(socket)) => socket.send_to(bytes, to).unwrap_or(0),
            _ => 0,
        }
    }

    /// Refuses new connections from now on; the port stays reserved.
    pub fn stop_listening(&mut self, id: ListenerId) -> io::Result<()> {
        if let Some(Listener { state, .. }) = self.listeners.get_mut(id.0)
            && let ListenerState::Listening(listener) = state
        {
            self.poll.registry().deregister(listener)?;
            *state = ListenerState::Refusing;
        }
        Ok(())
    }

    /// Accepts new connections again at the same port.
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

    /// Connects to a peer.
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

    /// Writes what the peer takes now and buffers the remainder. Returns the number of bytes written at once. A peer
    /// that has closed the connection is reported by the next [`LoopbackNetwork::poll`].
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

    /// Closes a connection in an orderly way: the peer receives what has been written, then the end.
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

    /// Number of bytes read so far, over all sockets.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Polls all sockets once, for at most `timeout`, and appends what has happened to `events`: accepted connections
    /// by listener, then the others by connection, whatever the system's order is.
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
            if readiness.writable
                && let Some(connection) = self.connections.get_mut(&id)
            {
                connection.on_writable();
            }
            if readiness.readable {
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
            readiness.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
            readiness.writable |= event.is_writable();
        }
        ready
    }

    /// Accepts connections, or receives datagrams, until there are none left. Returns the accepted connections: their
    /// first bytes may have arrived with them.
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
                // An earlier datagram of this socket was sent to a port where nobody listens.
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

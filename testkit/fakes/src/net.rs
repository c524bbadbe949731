//! Loopback sockets for stand-ins, on one thread: what comes in is told as [`Happening`]s, in an order that does
//! not depend on the system's. Nothing is decided here.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token};
use socket2::{Domain, SockRef, Socket, Type};

/// A listener's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListenerId(pub usize);

/// A connection's number; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub usize);

/// What has come in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    /// A peer has connected.
    Opened {
        /// To this listener.
        listener: ListenerId,
        /// The new connection.
        conn: ConnId,
    },
    /// Bytes have come.
    Bytes {
        /// On this connection.
        conn: ConnId,
        /// These.
        bytes: Vec<u8>,
    },
    /// A datagram has come.
    Datagram {
        /// To this door, by [`Net::open_datagrams`].
        door: ListenerId,
        /// From this address.
        from: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// The peer has ended the connection; nothing more is told of it.
    Ended {
        /// This one.
        conn: ConnId,
        /// By a reset.
        reset: bool,
    },
}

/// Numbers below this are listeners'.
const FIRST_CONN: usize = 1 << 16;
/// A peer that does not read gets no more than this; the rest is dropped with its connection.
const MOST_UNSENT: usize = 8 * 1024 * 1024;
const READ_AT_ONCE: usize = 64 * 1024;
/// Loopback connects are up at once, or the peer's queue is full.
const CONNECT: Duration = Duration::from_secs(2);
const BACKLOG: i32 = 1024;

struct Conn {
    stream: TcpStream,
    unsent: Vec<u8>,
    writable: bool,
}

enum Door {
    Open(TcpListener),
    Datagrams(UdpSocket),
    /// Connects are refused; the port is reserved.
    Shut,
}

/// All sockets of the stand-ins.
pub struct Net {
    poll: Poll,
    events: Events,
    doors: Vec<(SocketAddr, Door)>,
    /// The listeners' ports are theirs also while they refuse.
    reserved: Vec<Reserved>,
    conns: BTreeMap<ConnId, Conn>,
    /// Closed on this side: what still comes is read and dropped until the peer has closed too. A socket that goes with
    /// bytes unread, or to come, resets its connection, and when the peer hears of that is chance. Bounded by the peer,
    /// which has heard of the end.
    leaving: BTreeMap<ConnId, TcpStream>,
    next: usize,
    /// Bytes read so far, over all connections.
    read: u64,
}

/// A port that is kept for somebody who listens there at times: connects are refused meanwhile, and the system
/// gives it to no connection as its own end, which would keep the next listener out.
pub struct Reserved {
    at: SocketAddr,
    _socket: Socket,
}

impl Reserved {
    /// Keeps `at`'s port, or any free one if that is 0. Whoever listens there must set `SO_REUSEADDR`.
    pub fn new(at: SocketAddr) -> io::Result<Self> {
        let socket = bound(at)?;
        let at = socket.local_addr()?.as_socket().unwrap_or(at);
        Ok(Self {
            at,
            _socket: socket,
        })
    }

    /// The address.
    pub fn at(&self) -> SocketAddr {
        self.at
    }
}

fn bound(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

fn listening(at: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = bound(at)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl Net {
    /// No sockets yet.
    pub fn new() -> io::Result<Self> {
        let (poll, events) = (Poll::new()?, Events::with_capacity(4096));
        let (doors, reserved) = (Vec::new(), Vec::new());
        let (conns, leaving) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self {
            poll,
            events,
            doors,
            reserved,
            conns,
            leaving,
            next: FIRST_CONN,
            read: 0,
        })
    }

    /// Listens at a free port of `at`'s address, or at its port if that is not 0.
    pub fn listen(&mut self, at: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let reserved = Reserved::new(at)?;
        let at = reserved.at();
        let id = ListenerId(self.doors.len());
        let door = self.open(listening(at)?, id)?;
        self.doors.push((at, door));
        self.reserved.push(reserved);
        Ok((id, at))
    }

    fn open(&self, listener: std::net::TcpListener, id: ListenerId) -> io::Result<Door> {
        let mut listener = TcpListener::from_std(listener);
        self.poll
            .registry()
            .register(&mut listener, Token(id.0), Interest::READABLE)?;
        Ok(Door::Open(listener))
    }

    /// Takes datagrams at a free port of `at`'s address, or at its port if that is not 0.
    pub fn open_datagrams(&mut self, at: SocketAddr) -> io::Result<(ListenerId, SocketAddr)> {
        let mut socket = UdpSocket::bind(at)?;
        let at = socket.local_addr()?;
        let id = ListenerId(self.doors.len());
        self.poll
            .registry()
            .register(&mut socket, Token(id.0), Interest::READABLE)?;
        self.doors.push((at, Door::Datagrams(socket)));
        Ok((id, at))
    }

    /// Sends a datagram from a door. Returns how many bytes went out; what the system does not take is lost.
    pub fn send(&mut self, door: ListenerId, to: SocketAddr, bytes: &[u8]) -> usize {
        match self.doors.get(door.0) {
            Some((_, Door::Datagrams(socket))) => socket.send_to(bytes, to).unwrap_or(0),
            _ => 0,
        }
    }

    /// Refuses new connections from now on; the port is kept.
    pub fn refuse(&mut self, id: ListenerId) -> io::Result<()> {
        if let Some((_, door @ Door::Open(_))) = self.doors.get_mut(id.0)
            && let Door::Open(mut listener) = std::mem::replace(door, Door::Shut)
        {
            self.poll.registry().deregister(&mut listener)?;
        }
        Ok(())
    }

    /// Takes new connections again.
    pub fn accept_again(&mut self, id: ListenerId) -> io::Result<()> {
        if let Some((at, Door::Shut)) = self.doors.get(id.0) {
            let door = self.open(listening(*at)?, id)?;
            self.doors[id.0].1 = door;
        }
        Ok(())
    }

    /// Connects to a peer.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<ConnId> {
        let stream = std::net::TcpStream::connect_timeout(&to, CONNECT)?;
        stream.set_nonblocking(true)?;
        self.adopt(TcpStream::from_std(stream))
    }

    fn adopt(&mut self, mut stream: TcpStream) -> io::Result<ConnId> {
        stream.set_nodelay(true)?;
        let id = ConnId(self.next);
        self.poll.registry().register(
            &mut stream,
            Token(id.0),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        self.next += 1;
        self.conns.insert(
            id,
            Conn {
                stream,
                unsent: Vec::new(),
                writable: true,
            },
        );
        Ok(id)
    }

    /// Whether the connection still stands on this side.
    pub fn is_open(&self, conn: ConnId) -> bool {
        self.conns.contains_key(&conn)
    }

    /// Writes, as far as the peer reads; the rest follows as it does. Returns how many bytes went out at once.
    /// A peer that has gone is told of by the next [`Net::poll`].
    pub fn write(&mut self, conn: ConnId, bytes: &[u8]) -> usize {
        let Some(found) = self.conns.get_mut(&conn) else {
            return 0;
        };
        if found.unsent.len() + bytes.len() > MOST_UNSENT {
            self.reset(conn);
            return 0;
        }
        found.unsent.extend_from_slice(bytes);
        found.flush()
    }

    /// Ends a connection in an orderly way: what has been written arrives, then the end.
    pub fn close(&mut self, id: ConnId) {
        if let Some(conn) = self.conns.remove(&id) {
            let _ = conn.stream.shutdown(Shutdown::Write);
            self.leaving.insert(id, conn.stream);
        }
    }

    /// Breaks a connection: the peer gets a reset.
    pub fn reset(&mut self, conn: ConnId) {
        if let Some(conn) = self.conns.remove(&conn) {
            let _ = SockRef::from(&conn.stream).set_linger(Some(Duration::ZERO));
        }
    }

    /// Puts what several looks have brought into an order that does not depend on which look brought what: new
    /// connections are numbered by their listeners, and all else goes by connection.
    pub fn in_order(&mut self, told: &mut [Happening]) -> io::Result<()> {
        let opened = told.iter().filter_map(|happening| match happening {
            Happening::Opened { listener, conn } => Some((*listener, *conn)),
            _ => None,
        });
        let mut opened: Vec<(ListenerId, ConnId)> = opened.collect();
        let numbers: Vec<ConnId> = opened.iter().map(|(_, conn)| *conn).collect();
        if opened.is_sorted() {
            opened.clear();
        }
        opened.sort_unstable();
        let anew: BTreeMap<ConnId, ConnId> =
            opened.iter().map(|(_, conn)| *conn).zip(numbers).collect();
        let taken: Vec<_> = anew
            .iter()
            .filter_map(|(conn, number)| Some((*number, self.conns.remove(conn)?)))
            .collect();
        for (number, mut conn) in taken {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll
                .registry()
                .reregister(&mut conn.stream, Token(number.0), interest)?;
            self.conns.insert(number, conn);
        }
        let renumber = |conn: &mut ConnId| {
            anew.get(conn)
                .into_iter()
                .for_each(|number| *conn = *number);
        };
        for happening in told.iter_mut() {
            match happening {
                Happening::Opened { conn, .. }
                | Happening::Bytes { conn, .. }
                | Happening::Ended { conn, .. } => renumber(conn),
                Happening::Datagram { .. } => {}
            }
        }
        // Each one's own news stay in their order.
        told.sort_by_key(|happening| match happening {
            Happening::Opened { conn, .. }
            | Happening::Bytes { conn, .. }
            | Happening::Ended { conn, .. } => (false, conn.0),
            Happening::Datagram { door, .. } => (true, door.0),
        });
        Ok(())
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read
    }

    /// Looks at all sockets once, waiting for news for at most `wait`. What has come is told by connection, new
    /// ones by listener, whatever order the system has it in.
    pub fn poll(&mut self, wait: Duration, told: &mut Vec<Happening>) -> io::Result<()> {
        match self.poll.poll(&mut self.events, Some(wait)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            result => result?,
        }
        let mut ready: BTreeMap<usize, (bool, bool)> = BTreeMap::new();
        for event in &self.events {
            let flags = ready.entry(event.token().0).or_default();
            flags.0 |= event.is_readable() || event.is_read_closed() || event.is_error();
            flags.1 |= event.is_writable();
        }
        let mut look = Vec::new();
        for (token, (readable, writable)) in ready {
            if token < FIRST_CONN {
                self.welcome(ListenerId(token), told, &mut look)?;
                continue;
            }
            if writable && let Some(conn) = self.conns.get_mut(&ConnId(token)) {
                conn.writable = true;
                conn.flush();
            }
            if readable {
                look.push(ConnId(token));
            }
        }
        look.sort_unstable();
        look.dedup();
        look.into_iter().for_each(|conn| self.read(conn, told));
        Ok(())
    }

    fn welcome(
        &mut self,
        id: ListenerId,
        told: &mut Vec<Happening>,
        look: &mut Vec<ConnId>,
    ) -> io::Result<()> {
        loop {
            let listener = match self.doors.get(id.0) {
                Some((_, Door::Open(listener))) => listener,
                Some((_, Door::Datagrams(socket))) => {
                    let mut buffer = [0; READ_AT_ONCE];
                    match socket.recv_from(&mut buffer) {
                        Ok((length, from)) => {
                            self.read += length as u64;
                            told.push(Happening::Datagram {
                                door: id,
                                from,
                                bytes: buffer[..length].to_vec(),
                            });
                        }
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                        // Of one that was sent before, to nobody.
                        Err(_) => {}
                    }
                    continue;
                }
                _ => return Ok(()),
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let conn = self.adopt(stream)?;
                    told.push(Happening::Opened { listener: id, conn });
                    // Its first bytes may have come with it.
                    look.push(conn);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                // One that has gone again before it was taken.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn read(&mut self, id: ConnId, told: &mut Vec<Happening>) {
        if let Some(stream) = self.leaving.get_mut(&id) {
            let (bytes, ended) = take_in(stream);
            self.read += bytes.len() as u64;
            if ended.is_some() {
                self.leaving.remove(&id);
            }
            return;
        }
        let Some(conn) = self.conns.get_mut(&id) else {
            return;
        };
        let (bytes, ended) = take_in(&mut conn.stream);
        self.read += bytes.len() as u64;
        if !bytes.is_empty() {
            told.push(Happening::Bytes { conn: id, bytes });
        }
        if let Some(reset) = ended {
            self.conns.remove(&id);
            told.push(Happening::Ended { conn: id, reset });
        }
    }
}

/// What has come on a connection, and whether it has ended, by a reset or not.
fn take_in(stream: &mut TcpStream) -> (Vec<u8>, Option<bool>) {
    let mut bytes = Vec::new();
    let mut buffer = [0; READ_AT_ONCE];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return (bytes, Some(false)),
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return (bytes, None),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return (bytes, Some(true)),
        }
    }
}

impl Conn {
    fn flush(&mut self) -> usize {
        let mut written = 0;
        while self.writable && written < self.unsent.len() {
            match self.stream.write(&self.unsent[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.writable = false,
                // The end of it is read from the socket and told there.
                Err(_) => written = self.unsent.len(),
            }
        }
        self.unsent.drain(..written);
        written
    }
}

#[cfg(test)]
mod tests;

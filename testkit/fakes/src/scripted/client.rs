//! A client's connection to a node, and the texts of requests. Panics if a test has failed.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::{Message, TEST_TIMEOUT, read_message};
use crate::small_buffers::connect_with_small_buffers;

/// Interval between two writes that must be sent in separate packets.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// A client's connection.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    /// Connects; `None` if nobody listens.
    pub fn try_connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect(address).ok().map(Self::new)
    }

    /// Connects with small buffers in the operating system, as a client that reads slowly.
    pub fn connect_with_small_buffers(address: SocketAddr) -> Self {
        Self::new(connect_with_small_buffers(address).unwrap())
    }

    fn new(writer: TcpStream) -> Self {
        writer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let reader = BufReader::new(writer.try_clone().unwrap());
        Self { writer, reader }
    }

    pub fn stream(&self) -> TcpStream {
        self.writer.try_clone().unwrap()
    }

    pub fn write(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).unwrap();
    }

    /// Writes the bytes in pieces of `size` bytes, each in a separate packet.
    pub fn write_in_pieces(&mut self, bytes: &[u8], size: usize) {
        self.writer.set_nodelay(true).unwrap();
        for piece in bytes.chunks(size) {
            self.writer.write_all(piece).unwrap();
            thread::sleep(PIECE_INTERVAL);
        }
    }

    /// Reads one response; `None` if the connection is closed first or the test timeout has passed.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Sends a request and reads its response.
    pub fn request(&mut self, text: &str) -> Option<Message> {
        self.write(text);
        self.read()
    }

    /// Sends a request and reads its response; `None` if the node has closed the connection.
    pub fn try_request(&mut self, text: &str) -> Option<Message> {
        self.writer.write_all(text.as_bytes()).ok()?;
        self.read()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = SockRef::from(&self.writer);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Whether the node has closed the connection or sent bytes that are not read yet. Does not wait.
    pub fn has_ended(&self) -> bool {
        self.writer.set_nonblocking(true).unwrap();
        let peeked = self.writer.peek(&mut [0]);
        self.writer.set_nonblocking(false).unwrap();
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until the node closes or resets the connection; false if the node sends bytes instead, or if the test
    /// timeout passes.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Sends a request to a node's console and returns the response.
#[expect(clippy::expect_used, reason = "a test fails here")]
pub fn console_request(console: SocketAddr, method: &str, path: &str) -> Message {
    let request = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n");
    Client::connect(console)
        .request(&request)
        .expect("the console should respond")
}

/// The value of a metric that a node's console reports; `None` if the console does not report the metric.
pub fn metric(console: SocketAddr, name: &str) -> Option<String> {
    let response = console_request(console, "GET", "/status/metrics");
    let text = String::from_utf8(response.body).unwrap();
    text.lines()
        .find_map(|line| Some(line.strip_prefix(name)?.strip_prefix('=')?.to_owned()))
}

/// The text of a GET request of the class `read`. `headers` are complete lines that are added to the head.
pub fn get(id: &str, headers: &str) -> String {
    format!(
        "GET /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: read\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\n{headers}\r\n"
    )
}

/// The text of a POST request. `headers` are complete lines that are added to the head.
pub fn post(class: &str, id: &str, headers: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    )
}

//! A client's connection to a node, and the requests that tests send on it. Panics where a test has failed.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::{Message, PATIENCE, read_message};

/// A client's connection.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(at: SocketAddr) -> Self {
        let writer = TcpStream::connect(at).unwrap();
        writer.set_read_timeout(Some(PATIENCE)).unwrap();
        let reader = BufReader::new(writer.try_clone().unwrap());
        Self { writer, reader }
    }

    pub fn stream(&self) -> TcpStream {
        self.writer.try_clone().unwrap()
    }

    pub fn write(&mut self, text: &str) {
        self.writer.write_all(text.as_bytes()).unwrap();
    }

    /// Writes these bytes in pieces of this size, each in a packet of its own.
    pub fn write_in_pieces(&mut self, bytes: &[u8], size: usize) {
        self.writer.set_nodelay(true).unwrap();
        for piece in bytes.chunks(size) {
            self.writer.write_all(piece).unwrap();
            thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.write(text);
        self.read()
    }

    /// The same where the connection may have ended.
    pub fn try_ask(&mut self, text: &str) -> Option<Message> {
        self.writer.write_all(text.as_bytes()).ok()?;
        self.read()
    }

    /// Whether the node has ended the connection by now.
    pub fn has_ended(&self) -> bool {
        self.writer.set_nonblocking(true).unwrap();
        let peeked = self.writer.peek(&mut [0]);
        self.writer.set_nonblocking(false).unwrap();
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the node closes the connection, with no answer that has not been read yet.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// A call of the operators' to a node's console: the status and the text.
#[expect(clippy::expect_used, reason = "a test fails here")]
pub fn call(console: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let ask = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n");
    let answer = Client::to(console).ask(&ask).expect("an answer");
    (answer.status(), String::from_utf8(answer.body).unwrap())
}

/// One figure of a node's console, if it is there.
pub fn figure(console: SocketAddr, name: &str) -> Option<String> {
    let (_, text) = call(console, "GET", "/status/metrics");
    text.lines()
        .find_map(|line| Some(line.strip_prefix(name)?.strip_prefix('=')?.to_owned()))
}

pub fn get(id: &str, more: &str) -> String {
    format!(
        "GET /api?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: read\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\n{more}\r\n"
    )
}

pub fn post(class: &str, id: &str, more: &str, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: acme\r\n\
         X-Budget-Ms: 3000\r\nContent-Length: {}\r\n{more}\r\n{body}",
        body.len()
    )
}

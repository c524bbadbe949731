//! Reads HTTP messages from the sockets of the scripted peers.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    /// The request line or the status line.
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The values of all headers of this name, which is compared without regard to case.
    pub fn values(&self, name: &str) -> Vec<&str> {
        let named = self
            .headers
            .iter()
            .filter(|header| header.0.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect()
    }

    /// The value of the first header of this name.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values(name).first().copied()
    }

    /// The status code of a response; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads up to the end of a head; false if the connection ends before.
pub fn skip_head(reader: &mut impl BufRead) -> bool {
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return false;
        }
    }
    true
}

/// Reads one message; `None` if the message is incomplete when the connection ends or a read fails.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let read = reader.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    };
    let start_line = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        start_line,
        headers,
        body: Vec::new(),
    };
    if message.value("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
        return Some(message);
    }
    let length = message
        .value("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a chunked body without its chunk framing; `None` if the body is incomplete or a chunk size invalid.
fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        if size == 0 {
            reader.read_line(&mut line).ok()?;
            return Some(body);
        }
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..]).ok()?;
        reader.read_exact(&mut [0; 2]).ok()?;
    }
}

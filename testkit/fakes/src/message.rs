//! HTTP/1.1 messages as stand-ins need them (RFC 9112): cut out of a connection's bytes, and put together.

/// No head is longer, nor has more lines; a peer that sends more is broken.
const MAX_HEAD: usize = 64 * 1024;
const MAX_LINES: usize = 96;
/// No body is longer: a list of thousands of servers fits.
const MAX_BODY: usize = 8 * 1024 * 1024;

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The method of a request; empty for an answer.
    pub method: String,
    /// The target of a request; empty for an answer.
    pub target: String,
    /// The status of an answer; 0 for a request.
    pub status: u16,
    /// The header lines.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name.
    pub fn value(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Whether the sender ends the connection with it.
    pub fn closes(&self) -> bool {
        self.value("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Bytes that are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// The head can't be read.
    #[error("not HTTP/1.1: {0}")]
    Head(httparse::Error),
    /// The head or the body is longer than any should be.
    #[error("too long")]
    TooLong,
    /// The length can't be read, or there is none where there must be.
    #[error("no usable length")]
    Length,
}

/// Whether requests or answers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Requests,
    /// Answers.
    Answers,
}

/// What has come on a connection and is not a whole message yet.
#[derive(Clone, Debug)]
pub struct Inbox {
    side: Side,
    bytes: Vec<u8>,
}

impl Inbox {
    /// An empty one.
    pub fn new(side: Side) -> Self {
        Self {
            side,
            bytes: Vec::new(),
        }
    }

    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Whether a message has begun.
    pub fn begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// The next whole message.
    pub fn take(&mut self) -> Result<Option<Message>, Broken> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_LINES];
        let (parsed, mut message) = match self.side {
            Side::Requests => {
                let mut request = httparse::Request::new(&mut lines);
                let parsed = request.parse(&self.bytes).map_err(Broken::Head)?;
                let (method, target) = (
                    request.method.unwrap_or_default(),
                    request.path.unwrap_or_default(),
                );
                (parsed, head(method, target, 0, request.headers))
            }
            Side::Answers => {
                let mut answer = httparse::Response::new(&mut lines);
                let parsed = answer.parse(&self.bytes).map_err(Broken::Head)?;
                (
                    parsed,
                    head("", "", answer.code.unwrap_or_default(), answer.headers),
                )
            }
        };
        let httparse::Status::Complete(start) = parsed else {
            return if self.bytes.len() > MAX_HEAD {
                Err(Broken::TooLong)
            } else {
                Ok(None)
            };
        };
        let length = match message.value("content-length") {
            Some(text) => text.trim().parse::<usize>().map_err(|_| Broken::Length)?,
            None if self.side == Side::Requests => 0,
            None => return Err(Broken::Length),
        };
        if length > MAX_BODY {
            return Err(Broken::TooLong);
        }
        let Some(body) = self.bytes.get(start..start + length) else {
            return Ok(None);
        };
        message.body = body.to_vec();
        self.bytes.drain(..start + length);
        Ok(Some(message))
    }
}

fn head(method: &str, target: &str, status: u16, lines: &[httparse::Header<'_>]) -> Message {
    let line = |line: &httparse::Header<'_>| {
        (
            line.name.to_owned(),
            String::from_utf8_lossy(line.value).trim().to_owned(),
        )
    };
    Message {
        method: method.to_owned(),
        target: target.to_owned(),
        status,
        headers: lines.iter().map(line).collect(),
        body: Vec::new(),
    }
}

/// An answer's bytes. `headers` are whole lines, each with its end.
pub fn answer(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "-",
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The same without a length: it ends with its connection.
pub fn answer_without_length(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let bytes = answer(status, headers, body);
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = String::from_utf8_lossy(&bytes);
    text.replacen(&length, "", 1).into_bytes()
}

/// A request's bytes. `headers` are whole lines, each with its end.
pub fn request(method: &str, target: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n{headers}{length}\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;

//! HTTP/1.1 messages of the fakes (RFC 9112): decoded from a connection's bytes, and encoded.

/// A peer that sends a longer head is faulty.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 96;
/// An endpoint list of thousands of servers fits.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response.
    pub target: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header of this name.
    pub fn value(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Whether the sender closes the connection after it.
    pub fn closes_connection(&self) -> bool {
        self.value("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head can't be parsed.
    #[error("not HTTP/1.1: {0}")]
    InvalidHead(httparse::Error),
    /// The head or the body exceeds its limit.
    #[error("too long")]
    TooLong,
    /// The length can't be parsed, or a response has none.
    #[error("no usable length")]
    InvalidLength,
}

/// The kind of messages on one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

/// Decodes messages from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct MessageDecoder {
    kind: MessageKind,
    /// Bytes that no returned message held.
    buffer: Vec<u8>,
}

/// A parsed head, and the offset at which the body starts.
struct ParsedHead {
    message: Message,
    body_start: usize,
}

impl MessageDecoder {
    /// A decoder with an empty buffer.
    pub fn new(kind: MessageKind) -> Self {
        Self {
            kind,
            buffer: Vec::new(),
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether bytes of an incomplete message are buffered.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next complete message.
    pub fn next_message(&mut self) -> Result<Option<Message>, MessageError> {
        let Some(ParsedHead {
            mut message,
            body_start,
        }) = self.parse_head()?
        else {
            return if self.buffer.len() > MAX_HEAD_BYTES {
                Err(MessageError::TooLong)
            } else {
                Ok(None)
            };
        };
        let length = self.body_length(&message)?;
        if length > MAX_BODY_BYTES {
            return Err(MessageError::TooLong);
        }
        let body_end = body_start + length;
        let Some(body) = self.buffer.get(body_start..body_end) else {
            return Ok(None);
        };
        message.body = body.to_vec();
        self.buffer.drain(..body_end);
        Ok(Some(message))
    }

    /// Parses the head at the start of the buffer; none while it is incomplete.
    fn parse_head(&self) -> Result<Option<ParsedHead>, MessageError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let (parsed, message) = match self.kind {
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                let parsed = request
                    .parse(&self.buffer)
                    .map_err(MessageError::InvalidHead)?;
                let method = request.method.unwrap_or_default();
                let target = request.path.unwrap_or_default();
                (
                    parsed,
                    message_without_body(method, target, 0, request.headers),
                )
            }
            MessageKind::Response => {
                let mut response = httparse::Response::new(&mut headers);
                let parsed = response
                    .parse(&self.buffer)
                    .map_err(MessageError::InvalidHead)?;
                let status = response.code.unwrap_or_default();
                (
                    parsed,
                    message_without_body("", "", status, response.headers),
                )
            }
        };
        Ok(match parsed {
            httparse::Status::Complete(body_start) => Some(ParsedHead {
                message,
                body_start,
            }),
            httparse::Status::Partial => None,
        })
    }

    fn body_length(&self, message: &Message) -> Result<usize, MessageError> {
        match message.value("content-length") {
            Some(text) => text
                .trim()
                .parse::<usize>()
                .map_err(|_| MessageError::InvalidLength),
            None if self.kind == MessageKind::Request => Ok(0),
            None => Err(MessageError::InvalidLength),
        }
    }
}

fn message_without_body(
    method: &str,
    target: &str,
    status: u16,
    headers: &[httparse::Header<'_>],
) -> Message {
    let header = |header: &httparse::Header<'_>| {
        (
            header.name.to_owned(),
            String::from_utf8_lossy(header.value).trim().to_owned(),
        )
    };
    Message {
        method: method.to_owned(),
        target: target.to_owned(),
        status,
        headers: headers.iter().map(header).collect(),
        body: Vec::new(),
    }
}

/// Encodes a response. `headers` are complete lines, each with its line end.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
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

/// Encodes a response without a length, which ends with its connection.
pub fn response_without_length(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let bytes = response(status, headers, body);
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = String::from_utf8_lossy(&bytes);
    text.replacen(&length, "", 1).into_bytes()
}

/// Encodes a request. `headers` are complete lines, each with its line end.
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

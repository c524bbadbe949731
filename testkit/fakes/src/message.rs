//! A decoder and encoders of HTTP/1.1 messages (RFC 9112) for the fakes.

const MAX_HEAD_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 96;
/// Large enough for an endpoint list of thousands of servers.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A complete request or response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response.
    pub target: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    /// Names and values of the headers, in the order of the message.
    pub headers: Vec<(String, String)>,
    /// The body; empty if the message has none.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header of this name, which is compared without regard to case.
    pub fn value(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|header| header.0.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// Whether the message announces that its sender closes the connection (`Connection: close`).
    pub fn closes_connection(&self) -> bool {
        self.value("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Why the received bytes cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head cannot be parsed.
    #[error("cannot parse the head of an HTTP/1.1 message: {0}")]
    InvalidHead(httparse::Error),
    /// The head or the body exceeds its limit.
    #[error(
        "HTTP message too long: the limits are {MAX_HEAD_BYTES} bytes of head and {MAX_BODY_BYTES} bytes of body"
    )]
    TooLong,
    /// The value of Content-Length cannot be parsed, or a response has no Content-Length.
    #[error("HTTP message without a valid Content-Length")]
    InvalidLength,
}

/// The kind of messages in one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

/// Decodes messages from the bytes received on a connection.
#[derive(Clone, Debug)]
pub struct MessageDecoder {
    kind: MessageKind,
    /// Received bytes that are not decoded yet.
    buffer: Vec<u8>,
}

/// A parsed head, and the offset at which the body starts.
struct ParsedHead {
    message: Message,
    body_start: usize,
}

impl MessageDecoder {
    /// Creates a decoder of one kind of messages.
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

    /// Whether received bytes are not decoded yet, such as an incomplete message.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete message from the buffer and returns it; `None` while the message is incomplete.
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

    /// Parses the head at the start of the buffer; `None` while the head is incomplete.
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

/// Encodes a response. `headers` are complete header lines, each with its CRLF.
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

/// Encodes a response without Content-Length, whose body ends when the connection is closed.
pub fn response_without_length(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let bytes = response(status, headers, body);
    let length = format!("Content-Length: {}\r\n", body.len());
    let text = String::from_utf8_lossy(&bytes);
    text.replacen(&length, "", 1).into_bytes()
}

/// Encodes a request. `headers` are complete header lines, each with its CRLF.
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

//! A client's start-up packets, which have no type byte ("Start-up", "SSL Session Encryption", "Canceling Requests in
//! Progress"). HTTP requests are recognized and rejected.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Maximum length of a start-up packet in bytes, as in PostgreSQL (`MAX_STARTUP_PACKET_LENGTH`).
const MAX_PACKET_LENGTH: usize = 10_000;
/// Bytes of the length field and the request code.
const MIN_PACKET_LENGTH: usize = 8;
/// Bytes of the length field. The length on the wire includes the field.
const LENGTH_FIELD_LENGTH: usize = 4;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const MAJOR_VERSION: u32 = 3;
/// The newest supported minor version. Protocol 3.1 does not exist.
const NEWEST_MINOR_VERSION: u32 = 2;
/// Bytes of the process ID in a cancel request.
const PROCESS_ID_LENGTH: usize = 4;
/// Maximum length of a cancel key in bytes (protocol 3.2).
const MAX_CANCEL_KEY_LENGTH: usize = 256;
/// Minimum length of a cancel key in bytes.
const MIN_CANCEL_KEY_LENGTH: usize = 4;
/// Name prefix of protocol options. A server may reject any protocol option.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";
/// First four bytes of HTTP/1 and HTTP/2 requests.
const HTTP_PREFIXES: [&[u8; 4]; 6] = [b"GET ", b"POST", b"HEAD", b"PUT ", b"OPTI", b"PRI "];

/// A client's start-up packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// Request for TLS, answered with one byte: `S` to accept or `N` to reject.
    SslRequest,
    /// Request for GSSAPI encryption, answered with `N`.
    GssEncryptionRequest,
    /// Request to cancel the running statement of another session; there is no response.
    CancelRequest {
        /// Process ID from that session's `BackendKeyData`.
        process: u32,
        /// Secret key from that session's `BackendKeyData`.
        key: Bytes,
    },
    /// Request for a session.
    StartupMessage(StartupMessage),
}

/// A client's `StartupMessage`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// Minor protocol version of the session: 0 or the newest supported version.
    pub minor: u32,
    /// Body of the `NegotiateProtocolVersion` response; `None` if no newer version and no option was requested.
    pub negotiate: Option<Bytes>,
    /// User name; never empty.
    pub user: String,
    /// Database name; defaults to the user name.
    pub database: String,
    /// All parameters sent by the client, except protocol options.
    pub parameters: BTreeMap<String, String>,
}

impl StartupMessage {
    /// Returns the `application_name` parameter; empty if absent.
    #[must_use]
    pub fn application(&self) -> &str {
        self.parameters
            .get("application_name")
            .map_or("", String::as_str)
    }

    /// Reads the body that follows the protocol version.
    fn read(requested_minor: u32, body: &[u8]) -> Result<Self, StartupError> {
        let StartupParameters { known, unsupported } = StartupParameters::read(body)?;
        if known.get("replication").is_some_and(|value| !is_off(value)) {
            return Err(StartupError::Replication);
        }
        let user = known
            .get("user")
            .filter(|user| !user.is_empty())
            .cloned()
            .ok_or(StartupError::NoUser)?;
        let database = known.get("database").unwrap_or(&user).clone();
        // Protocol 3.1 does not exist; a request for 3.1 is served as 3.0.
        let minor = if requested_minor >= NEWEST_MINOR_VERSION {
            NEWEST_MINOR_VERSION
        } else {
            0
        };
        let is_negotiated = requested_minor > NEWEST_MINOR_VERSION || !unsupported.is_empty();
        Ok(Self {
            minor,
            negotiate: is_negotiated.then(|| negotiate_protocol_version(minor, &unsupported)),
            user,
            database,
            parameters: known,
        })
    }
}

fn is_off(value: &str) -> bool {
    matches!(value, "false" | "off" | "no" | "0")
}

/// Creates the body of a `NegotiateProtocolVersion`.
fn negotiate_protocol_version(minor: u32, unsupported_options: &[String]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u32(MAJOR_VERSION << 16 | minor);
    body.put_u32(u32::try_from(unsupported_options.len()).unwrap_or(u32::MAX));
    for name in unsupported_options {
        body.put_slice(name.as_bytes());
        body.put_u8(0);
    }
    body.freeze()
}

/// Parameters of a `StartupMessage`.
struct StartupParameters {
    /// All parameters except protocol options.
    known: BTreeMap<String, String>,
    /// Names of the requested protocol options. No protocol option is supported.
    unsupported: Vec<String>,
}

impl StartupParameters {
    /// Reads zero-terminated names and values, followed by a terminating zero.
    fn read(body: &[u8]) -> Result<Self, StartupError> {
        let strings = body.strip_suffix(b"\0").ok_or(StartupError::Parameters)?;
        let mut strings = strings.split(|byte| *byte == 0).map(read_text);
        let mut parameters = Self {
            known: BTreeMap::new(),
            unsupported: Vec::new(),
        };
        loop {
            let name = strings.next().ok_or(StartupError::Parameters)??;
            if name.is_empty() {
                // An empty name is the terminator, so nothing may follow.
                return match strings.next() {
                    Some(_) => Err(StartupError::Parameters),
                    None => Ok(parameters),
                };
            }
            let value = strings.next().ok_or(StartupError::Parameters)??;
            if name.starts_with(PROTOCOL_OPTION_PREFIX) {
                parameters.unsupported.push(name);
            } else {
                parameters.known.insert(name, value);
            }
        }
    }
}

fn read_text(bytes: &[u8]) -> Result<String, StartupError> {
    std::str::from_utf8(bytes)
        .map(str::to_owned)
        .map_err(|_| StartupError::Parameters)
}

/// Why a start-up packet is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartupError {
    /// The client sent an HTTP request.
    #[error("this is HTTP; the port expects the PostgreSQL protocol")]
    Http,
    /// The packet length, in bytes, is not valid for a start-up packet or cancel request.
    #[error("invalid length of start-up packet: {0} bytes")]
    Length(u32),
    /// The protocol version, given as major and minor version, is not supported.
    #[error("unsupported protocol version {0}.{1}")]
    Version(u32, u32),
    /// The same encryption was requested twice.
    #[error("repeated request for the same encryption")]
    RepeatedEncryptionRequest,
    /// The parameters are malformed.
    #[error("malformed start-up parameters")]
    Parameters,
    /// The user name is missing or empty.
    #[error("no user name in the start-up packet")]
    NoUser,
    /// A replication connection was requested.
    #[error("replication connections are not supported")]
    Replication,
}

/// Decodes start-up packets up to a `StartupMessage` or `CancelRequest`.
#[derive(Debug, Default)]
pub struct StartupReader {
    buffer: BytesMut,
    tls_requested: bool,
    gss_requested: bool,
}

impl StartupReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of received bytes that are not decoded yet.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes received after the last packet. The caller must reject a client that sends bytes between an
    /// `SSLRequest` and the TLS handshake, because these unencrypted bytes would be treated as encrypted
    /// (CVE-2021-23214).
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Decodes the next packet; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`StartupError`] if the packet must be rejected.
    pub fn next_packet(&mut self) -> Result<Option<StartupPacket>, StartupError> {
        let Some(prefix) = self.buffer.first_chunk::<LENGTH_FIELD_LENGTH>() else {
            return Ok(None);
        };
        if HTTP_PREFIXES.contains(&prefix) {
            return Err(StartupError::Http);
        }
        let length = u32::from_be_bytes(*prefix);
        let packet_length = length as usize;
        if !(MIN_PACKET_LENGTH..=MAX_PACKET_LENGTH).contains(&packet_length) {
            return Err(StartupError::Length(length));
        }
        if self.buffer.len() < packet_length {
            return Ok(None);
        }
        let mut packet = self.buffer.split_to(packet_length).freeze();
        packet.advance(LENGTH_FIELD_LENGTH);
        let code = packet.get_u32();
        self.read_packet(code, length, packet).map(Some)
    }

    /// Reads a packet with this request code or protocol version; `body` is the rest of the packet.
    fn read_packet(
        &mut self,
        code: u32,
        length: u32,
        body: Bytes,
    ) -> Result<StartupPacket, StartupError> {
        match code {
            SSL_REQUEST_CODE => {
                accept_encryption_request(&mut self.tls_requested)?;
                Ok(StartupPacket::SslRequest)
            }
            GSS_ENCRYPTION_REQUEST_CODE => {
                accept_encryption_request(&mut self.gss_requested)?;
                Ok(StartupPacket::GssEncryptionRequest)
            }
            CANCEL_REQUEST_CODE => read_cancel(body).ok_or(StartupError::Length(length)),
            _ => {
                let major = code >> 16;
                let minor = code & 0xffff;
                if major != MAJOR_VERSION {
                    return Err(StartupError::Version(major, minor));
                }
                StartupMessage::read(minor, &body).map(StartupPacket::StartupMessage)
            }
        }
    }
}

/// Records a request for encryption; a second request is an error.
fn accept_encryption_request(requested: &mut bool) -> Result<(), StartupError> {
    if *requested {
        return Err(StartupError::RepeatedEncryptionRequest);
    }
    *requested = true;
    Ok(())
}

/// Reads the body of a cancel request; `None` if the key length is out of range.
fn read_cancel(mut body: Bytes) -> Option<StartupPacket> {
    let key_length = body.len().checked_sub(PROCESS_ID_LENGTH)?;
    if !(MIN_CANCEL_KEY_LENGTH..=MAX_CANCEL_KEY_LENGTH).contains(&key_length) {
        return None;
    }
    let process = body.get_u32();
    Some(StartupPacket::CancelRequest { process, key: body })
}

#[cfg(test)]
mod tests;

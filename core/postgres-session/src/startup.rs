//! A client's first packets ("Start-up", "SSL Session Encryption", "Canceling Requests in Progress"). They have no type
//! byte, and other protocols that connect by mistake are recognized here.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Most bytes of a first packet, as in the server itself (`MAX_STARTUP_PACKET_LENGTH`).
const MAX_PACKET_LENGTH: usize = 10_000;
/// Bytes of the length and the request code, which every first packet has.
const MIN_PACKET_LENGTH: usize = 8;
/// Bytes of the length, which it includes.
const LENGTH_FIELD_LENGTH: usize = 4;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const MAJOR_VERSION: u32 = 3;
/// The newest minor version that is supported; 3.1 was never used.
const NEWEST_MINOR_VERSION: u32 = 2;
/// Bytes of the process number in a cancel request.
const PROCESS_LENGTH: usize = 4;
/// Most bytes of a cancel key (protocol 3.2).
const MAX_CANCEL_KEY_LENGTH: usize = 256;
/// Fewest bytes of a cancel key.
const MIN_CANCEL_KEY_LENGTH: usize = 4;
/// Protocol options, which a server may not know, have names with this prefix.
const PROTOCOL_OPTION_PREFIX: &str = "_pq_.";
/// The first four bytes of requests in HTTP/1 and HTTP/2.
const HTTP_PREFIXES: [&[u8; 4]; 6] = [b"GET ", b"POST", b"HEAD", b"PUT ", b"OPTI", b"PRI "];

/// What a first packet asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// TLS; one byte answers: `S` for yes, `N` for no.
    SslRequest,
    /// Encryption by GSSAPI; `N` answers.
    GssEncryptionRequest,
    /// To cancel a statement of another connection; there is no answer.
    CancelRequest {
        /// Process number of the session whose statement is to be canceled.
        process: u32,
        /// The session's cancel key.
        key: Bytes,
    },
    /// A session.
    StartupMessage(StartupMessage),
}

/// A client's `StartupMessage`: the session that it asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// The minor protocol version to use: the one asked for, or the newest supported.
    pub minor: u32,
    /// Body of the `NegotiateProtocolVersion` to answer with, if the client asked for more than is supported.
    pub negotiate: Option<Bytes>,
    /// The user's name.
    pub user: String,
    /// The database; the user's name if the client gives none.
    pub database: String,
    /// All parameters.
    pub parameters: BTreeMap<String, String>,
}

impl StartupMessage {
    /// The client's `application_name`; empty if it gives none.
    #[must_use]
    pub fn application(&self) -> &str {
        self.parameters
            .get("application_name")
            .map_or("", String::as_str)
    }

    /// Reads the body behind a version code with this minor version.
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
        // Minor version 1 was never used; who asks for it gets 0.
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

/// Body of a `NegotiateProtocolVersion`.
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
    /// All but the protocol options.
    known: BTreeMap<String, String>,
    /// Names of the protocol options, of which none is supported.
    unsupported: Vec<String>,
}

impl StartupParameters {
    /// Reads names and values, each ended by a zero, with one zero more at the end.
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
                // This is the end, so nothing may follow.
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

/// Why a first packet begins no session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartupError {
    /// It is an HTTP request, of a web browser or a health check.
    #[error("this is HTTP; the port speaks the PostgreSQL protocol")]
    Http,
    /// No first packet has this length.
    #[error("a first packet of {0} bytes")]
    Length(u32),
    /// The major and minor version are not supported.
    #[error("protocol version {0}.{1} is not spoken here")]
    Version(u32, u32),
    /// The same encryption was requested twice.
    #[error("encryption was asked for again")]
    RepeatedEncryptionRequest,
    /// The parameters can't be read.
    #[error("the start-up parameters can't be read")]
    Parameters,
    /// There is no user name.
    #[error("no user name in the start-up packet")]
    NoUser,
    /// A replication connection, which has no transactions that could be routed.
    #[error("replication connections are not passed on")]
    Replication,
}

/// Reads first packets until a session or a cancel is asked for.
#[derive(Debug, Default)]
pub struct StartupReader {
    buffer: BytesMut,
    tls_requested: bool,
    gss_requested: bool,
}

impl StartupReader {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the bytes behind the last packet. Before TLS begins there must be none: bytes sent ahead unencrypted
    /// would pass for the client's own (CVE-2021-23214).
    pub fn take_remaining(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// The next packet; `None` until more is read.
    ///
    /// # Errors
    /// [`StartupError`] if the client can't get a session.
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

    /// Reads a packet with this request or version code; `body` is what follows the code.
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

/// Notes a request for encryption, which a client may make only once.
fn accept_encryption_request(requested: &mut bool) -> Result<(), StartupError> {
    if *requested {
        return Err(StartupError::RepeatedEncryptionRequest);
    }
    *requested = true;
    Ok(())
}

/// Reads the body of a cancel request; `None` if the key has an impossible length.
fn read_cancel(mut body: Bytes) -> Option<StartupPacket> {
    let key_length = body.len().checked_sub(PROCESS_LENGTH)?;
    if !(MIN_CANCEL_KEY_LENGTH..=MAX_CANCEL_KEY_LENGTH).contains(&key_length) {
        return None;
    }
    let process = body.get_u32();
    Some(StartupPacket::CancelRequest { process, key: body })
}

#[cfg(test)]
mod tests;

//! A client's first packets ("Start-up", "SSL Session Encryption", "Canceling Requests in Progress"): they have no
//! tag, and whoever is not a PostgreSQL client shows here.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// As in the server itself (`MAX_STARTUP_PACKET_LENGTH`).
const MOST: usize = 10_000;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
const MAJOR: u32 = 3;
/// The newest minor version spoken; 3.1 was never used.
const NEWEST_MINOR: u32 = 2;
/// A cancel key is no longer (protocol 3.2).
const MOST_KEY: usize = 256;

/// What a first packet asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// TLS; one byte answers: `S` for yes, `N` for no.
    Tls,
    /// Encryption by GSSAPI; `N` answers.
    Gss,
    /// To cancel a statement of another connection; nothing is answered.
    Cancel {
        /// The session that it is about.
        process: u32,
        /// Its key.
        key: Bytes,
    },
    /// A session.
    Session(StartupMessage),
}

/// A client's start-up message ("StartupMessage"): the session that it asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupMessage {
    /// The minor version in use: what was asked for, or the newest one spoken.
    pub minor: u32,
    /// `NegotiateProtocolVersion`, where it asked for more than that.
    pub negotiate: Option<Bytes>,
    /// Its user.
    pub user: String,
    /// Its database; the user's name if it says none.
    pub database: String,
    /// All that it set.
    pub parameters: BTreeMap<String, String>,
}

impl StartupMessage {
    /// What its application calls itself.
    pub fn application(&self) -> &str {
        self.parameters
            .get("application_name")
            .map_or("", String::as_str)
    }
}

/// Packets that begin no session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartupError {
    /// A web browser, a health check, anything that speaks HTTP.
    #[error("this is HTTP; the port speaks the PostgreSQL protocol")]
    Http,
    /// A length that no first packet has.
    #[error("a first packet of {0} bytes")]
    Length(u32),
    /// Another major version.
    #[error("protocol version {0}.{1} is not spoken here")]
    Version(u32, u32),
    /// Asked for twice.
    #[error("encryption was asked for again")]
    Again,
    /// Parameters that can't be read.
    #[error("the start-up parameters can't be read")]
    Parameters,
    /// No user.
    #[error("no user name in the start-up packet")]
    NoUser,
    /// A connection for replication; it is no transaction that could be routed.
    #[error("replication connections are not passed on")]
    Replication,
}

/// Reads first packets until a session or a cancel is asked for.
#[derive(Debug, Default)]
pub struct StartupReader {
    bytes: BytesMut,
    asked_tls: bool,
    asked_gss: bool,
}

impl StartupReader {
    /// Adds what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// What has come behind the last packet. Before TLS begins there must be nothing: bytes sent ahead in the
    /// clear would pass for the client's own (CVE-2021-23214).
    pub fn rest(&mut self) -> Bytes {
        self.bytes.split().freeze()
    }

    /// The next packet.
    pub fn take(&mut self) -> Result<Option<StartupPacket>, StartupError> {
        if self.bytes.len() < 4 {
            return Ok(None);
        }
        if [&b"GET "[..], b"POST", b"HEAD", b"PUT ", b"OPTI", b"PRI "].contains(&&self.bytes[..4]) {
            return Err(StartupError::Http);
        }
        let length =
            u32::from_be_bytes([self.bytes[0], self.bytes[1], self.bytes[2], self.bytes[3]]);
        if !(8..=MOST).contains(&(length as usize)) {
            return Err(StartupError::Length(length));
        }
        if self.bytes.len() < length as usize {
            return Ok(None);
        }
        let mut packet = self.bytes.split_to(length as usize).freeze();
        packet.advance(4);
        let code = packet.get_u32();
        match code {
            SSL_REQUEST if std::mem::replace(&mut self.asked_tls, true) => Err(StartupError::Again),
            SSL_REQUEST => Ok(Some(StartupPacket::Tls)),
            GSS_REQUEST if std::mem::replace(&mut self.asked_gss, true) => Err(StartupError::Again),
            GSS_REQUEST => Ok(Some(StartupPacket::Gss)),
            CANCEL_REQUEST if (8..=4 + MOST_KEY).contains(&packet.len()) => {
                Ok(Some(StartupPacket::Cancel {
                    process: packet.get_u32(),
                    key: packet,
                }))
            }
            CANCEL_REQUEST => Err(StartupError::Length(length)),
            code if code >> 16 == MAJOR => {
                session(code & 0xffff, &packet).map(|s| Some(StartupPacket::Session(s)))
            }
            code => Err(StartupError::Version(code >> 16, code & 0xffff)),
        }
    }
}

fn session(asked: u32, packet: &[u8]) -> Result<StartupMessage, StartupError> {
    let text = |bytes: &[u8]| {
        std::str::from_utf8(bytes)
            .map(str::to_owned)
            .map_err(|_| StartupError::Parameters)
    };
    // Names and values, each ended by a zero, and one zero more at the end.
    let packet = packet.strip_suffix(b"\0").ok_or(StartupError::Parameters)?;
    let mut words = packet.split(|byte| *byte == 0).map(text);
    let (mut parameters, mut unknown) = (BTreeMap::new(), Vec::new());
    loop {
        let name = words.next().ok_or(StartupError::Parameters)??;
        if name.is_empty() {
            // Behind the last value; more would be behind the end.
            if words.next().is_some() {
                return Err(StartupError::Parameters);
            }
            break;
        }
        let value = words.next().ok_or(StartupError::Parameters)??;
        if name.starts_with("_pq_.") {
            unknown.push(name);
        } else {
            parameters.insert(name, value);
        }
    }
    if parameters
        .get("replication")
        .is_some_and(|value| !matches!(value.as_str(), "false" | "off" | "no" | "0"))
    {
        return Err(StartupError::Replication);
    }
    let user = parameters
        .get("user")
        .filter(|user| !user.is_empty())
        .cloned()
        .ok_or(StartupError::NoUser)?;
    let database = parameters
        .get("database")
        .cloned()
        .unwrap_or_else(|| user.clone());
    // 3.1 was never used; whoever asks for it gets 3.0.
    let minor = if asked >= NEWEST_MINOR {
        NEWEST_MINOR
    } else {
        0
    };
    let negotiate = (asked > NEWEST_MINOR || !unknown.is_empty()).then(|| {
        let mut body = BytesMut::new();
        body.put_u32(MAJOR << 16 | minor);
        body.put_u32(u32::try_from(unknown.len()).unwrap_or(u32::MAX));
        for name in &unknown {
            body.put_slice(name.as_bytes());
            body.put_u8(0);
        }
        body.freeze()
    });
    Ok(StartupMessage {
        minor,
        negotiate,
        user,
        database,
        parameters,
    })
}

#[cfg(test)]
mod tests;

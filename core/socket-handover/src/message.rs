//! The messages between the two processes and their form on the wire.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Version of the protocol. A process that speaks another one is refused, and the two listen side by side.
pub const PROTOCOL_VERSION: u32 = 1;
/// Longest line of a message, in bytes, without its newline.
pub const MAX_LINE_LENGTH: usize = 512;

/// A message, on the wire one line of JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Message {
    /// The successor requests the socket that listens at this address.
    Hello {
        /// The successor's protocol version.
        version: u32,
        /// Address at which the successor is to listen.
        listen: SocketAddr,
    },
    /// The predecessor's answer, with the listening socket attached.
    Listener,
    /// The predecessor's answer if it doesn't hand over its socket.
    Refused {
        /// The reason, for the successor's log.
        reason: String,
    },
    /// The successor accepts connections on the socket.
    Serving,
}

/// Why a line is not a message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// Longer than [`MAX_LINE_LENGTH`].
    #[error("a line of more than {MAX_LINE_LENGTH} bytes")]
    TooLong,
    /// Not the JSON of a message.
    #[error("no message: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// Parses a line without its newline.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the line is too long or not the JSON of a message.
    pub fn from_line(line: &[u8]) -> Result<Self, MessageError> {
        if line.len() > MAX_LINE_LENGTH {
            return Err(MessageError::TooLong);
        }
        Ok(serde_json::from_slice(line)?)
    }

    /// Formats the message as a line with its newline.
    #[must_use]
    pub fn to_line(&self) -> Vec<u8> {
        // Serialization fails for maps with keys other than strings only, and a message has no maps.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

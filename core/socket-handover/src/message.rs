//! The messages between the two processes and their encoding.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of the protocol. A successor with another version is refused and opens a separate listening socket.
pub const PROTOCOL_VERSION: u32 = 1;
/// The maximum length of an encoded message in bytes, without the newline.
pub const MAX_LINE_LENGTH: usize = 512;

/// A message, encoded as one line of JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Message {
    /// The successor requests the listening socket.
    Hello {
        /// The successor's protocol version.
        version: u32,
        /// The address at which the successor has to listen.
        listen: SocketAddr,
    },
    /// The predecessor grants the request. The listening socket's file descriptor is attached.
    Listener,
    /// The predecessor refuses the request.
    Refused {
        /// The reason as a text for the successor's log.
        reason: String,
    },
    /// The successor has started to accept connections on the received socket.
    Serving,
    /// Requests that the receiver must not run, because they may have run at the sender. The predecessor sends this first;
    /// a successor sends it only to a predecessor that has done so, as earlier versions don't know this message.
    RequestIds {
        /// Hashes of the requests' ids, at most [`MAX_IDS_PER_MESSAGE`].
        ids: Vec<u64>,
    },
}

/// The maximum number of ids in a [`Message::RequestIds`], which has to fit into a line.
pub const MAX_IDS_PER_MESSAGE: usize = 20;

/// The reason why a line is not a valid message.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The line is longer than [`MAX_LINE_LENGTH`] bytes.
    #[error("handover message is longer than {MAX_LINE_LENGTH} bytes")]
    TooLong,
    /// The line is not the JSON encoding of a message.
    #[error("handover message could not be decoded: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl Message {
    /// Decodes a line without the newline.
    ///
    /// # Errors
    ///
    /// [`MessageError`] if the line is too long or not the JSON encoding of a message.
    pub fn from_line(line: &[u8]) -> Result<Self, MessageError> {
        if line.len() > MAX_LINE_LENGTH {
            return Err(MessageError::TooLong);
        }
        Ok(serde_json::from_slice(line)?)
    }

    /// Encodes the message as a line with the newline.
    #[must_use]
    pub fn to_line(&self) -> Vec<u8> {
        // Encoding a message can't fail: JSON encoding fails only for maps with keys that are not strings.
        let mut line = serde_json::to_vec(self).unwrap_or_default();
        line.push(b'\n');
        line
    }
}

//! Authentication of datagrams. A datagram consists of a protocol version, an authentication code (HMAC-SHA-256, RFC
//! 2104) and the content.
//!
//! The code authenticates the version and the content as sent by a holder of the fleet's key. The content is not
//! encrypted. A replayed datagram has no effect, because merging a known item or a known member state changes nothing.

use std::ops::RangeInclusive;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::drop_reason::DropReason;

/// The protocol version. Datagrams with another version are dropped.
const VERSION: u8 = 1;
/// The length of the authentication code, which is truncated to half of the HMAC as RFC 2104, section 5, allows.
const CODE_BYTES: usize = 16;
/// The length of the header: the version and the authentication code.
const HEADER_BYTES: usize = 1 + CODE_BYTES;
/// The maximum length of the content. With the header, the datagram fits into one packet of common networks.
pub(crate) const MAX_CONTENT_BYTES: usize = 1200;
/// The maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = HEADER_BYTES + MAX_CONTENT_BYTES;
/// The allowed lengths of a key in bytes.
const KEY_BYTES: RangeInclusive<usize> = 16..=128;

/// The error for a key with this length in bytes, which is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key is {0} bytes long; 16 to 128 bytes are allowed")]
pub struct KeyError(usize);

/// The authentication key that all members of a fleet share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Creates a key from the text of a key file. Surrounding whitespace is ignored.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the key has fewer than 16 or more than 128 bytes.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if !KEY_BYTES.contains(&text.len()) {
            return Err(KeyError(text.len()));
        }
        Hmac::new_from_slice(text.as_bytes())
            .map(Self)
            .map_err(|_| KeyError(text.len()))
    }

    /// Creates a datagram with this content.
    pub(crate) fn sign(&self, content: &[u8]) -> Vec<u8> {
        let code = self.mac(content).finalize().into_bytes();
        let mut datagram = Vec::with_capacity(HEADER_BYTES + content.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&code[..CODE_BYTES]);
        datagram.extend_from_slice(content);
        datagram
    }

    /// Verifies the version, the length and the authentication code of a datagram and returns the content.
    pub(crate) fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let (header, content) = datagram
            .split_at_checked(HEADER_BYTES)
            .ok_or(DropReason::Malformed)?;
        if header[0] != VERSION || content.is_empty() || content.len() > MAX_CONTENT_BYTES {
            return Err(DropReason::Malformed);
        }
        // The comparison takes constant time, which prevents guessing the code byte by byte.
        self.mac(content)
            .verify_truncated_left(&header[1..])
            .map_err(|_| DropReason::Unauthenticated)?;
        Ok(content)
    }

    /// Returns the HMAC of the version and this content, not finalized yet.
    fn mac(&self, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(content);
        mac
    }
}

#[cfg(test)]
mod tests;

//! Authentication of datagrams: protocol version, authentication code (HMAC-SHA-256, RFC 2104), content.
//!
//! The code covers the version and the content. It shows that a member wrote the datagram; nothing is encrypted. A replay
//! by a third party has no effect, as merging a known item or a known state of a member changes nothing.

use std::ops::RangeInclusive;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::drop_reason::DropReason;

/// Protocol version; datagrams of others are dropped.
const VERSION: u8 = 1;
/// Bytes of the authentication code that are sent: half of it, as RFC 2104, section 5, allows.
const CODE_LENGTH: usize = 16;
/// Bytes before the content.
const HEADER_LENGTH: usize = 1 + CODE_LENGTH;
/// Longest content, in bytes: with its header it fits into one packet of any usual network.
pub(crate) const MAX_CONTENT_LENGTH: usize = 1200;
/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = HEADER_LENGTH + MAX_CONTENT_LENGTH;
/// Allowed lengths of a key, in bytes.
const KEY_LENGTHS: RangeInclusive<usize> = 16..=128;

/// A key of a length that is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key has from 16 to 128 bytes, this one {0}")]
pub struct KeyError(usize);

/// The key that all members of a fleet share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// Parses the text of a key file, without surrounding whitespace.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the key has fewer than 16 or more than 128 bytes.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if !KEY_LENGTHS.contains(&text.len()) {
            return Err(KeyError(text.len()));
        }
        Hmac::new_from_slice(text.as_bytes())
            .map(Self)
            .map_err(|_| KeyError(text.len()))
    }

    /// Makes a datagram of this content.
    pub(crate) fn sign(&self, content: &[u8]) -> Vec<u8> {
        let code = self.code(content).finalize().into_bytes();
        let mut datagram = Vec::with_capacity(HEADER_LENGTH + content.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&code[..CODE_LENGTH]);
        datagram.extend_from_slice(content);
        datagram
    }

    /// The content of a datagram, if a member wrote it.
    pub(crate) fn verify<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let (header, content) = datagram
            .split_at_checked(HEADER_LENGTH)
            .ok_or(DropReason::Malformed)?;
        if header[0] != VERSION || content.is_empty() || content.len() > MAX_CONTENT_LENGTH {
            return Err(DropReason::Malformed);
        }
        // The comparison takes constant time, so that the code can't be guessed byte by byte.
        self.code(content)
            .verify_truncated_left(&header[1..])
            .map_err(|_| DropReason::Unauthenticated)?;
        Ok(content)
    }

    /// The authentication code of a content, not finalized yet.
    fn code(&self, content: &[u8]) -> Hmac<Sha256> {
        let mut code = self.0.clone();
        code.update(&[VERSION]);
        code.update(content);
        code
    }
}

#[cfg(test)]
mod tests;

//! The form of a datagram: a version, the keyed hash of all that is behind it and of the version, the content. Nothing
//! in it is secret; it shows that a member wrote it. One that is sent again by somebody else changes nothing: what it
//! says is known.

use hmac::{Hmac, KeyInit, Mac};
use sha2::{Digest, Sha256};

use crate::{DropReason, MemberId};

/// The version of the datagrams; others are dropped.
const VERSION: u8 = 1;
/// Bytes of the hash that are sent: half of it, as RFC 2104 allows.
const HASH: usize = 16;
const HEAD: usize = 1 + HASH;
/// Longest content: with the head it fits into every network's frames.
pub(crate) const MAX_CONTENT_LENGTH: usize = 1200;
/// Longest datagram.
pub const MAX_DATAGRAM_LENGTH: usize = HEAD + MAX_CONTENT_LENGTH;
/// Fewest and most bytes of a key.
const KEY_BYTES: std::ops::RangeInclusive<usize> = 16..=128;

/// Why a key is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key has from 16 to 128 bytes, this one {0}")]
pub struct KeyError(usize);

/// What all members know.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl Key {
    /// A key from the text of a file; blanks around it don't count.
    pub fn read(text: &str) -> Result<Self, KeyError> {
        let text = text.trim();
        if !KEY_BYTES.contains(&text.len()) {
            return Err(KeyError(text.len()));
        }
        Hmac::new_from_slice(text.as_bytes())
            .map(Self)
            .map_err(|_| KeyError(text.len()))
    }

    fn hash(&self, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&[VERSION]);
        mac.update(content);
        mac
    }

    /// The datagram with this content.
    pub(crate) fn seal(&self, content: &[u8]) -> Vec<u8> {
        let hash = self.hash(content).finalize().into_bytes();
        let mut datagram = Vec::with_capacity(HEAD + content.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&hash[..HASH]);
        datagram.extend_from_slice(content);
        datagram
    }

    /// A datagram's content.
    pub(crate) fn open<'a>(&self, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let (head, content) = datagram
            .split_at_checked(HEAD)
            .ok_or(DropReason::Malformed)?;
        if head[0] != VERSION || content.is_empty() || content.len() > MAX_CONTENT_LENGTH {
            return Err(DropReason::Malformed);
        }
        // In constant time.
        self.hash(content)
            .verify_truncated_left(&head[1..])
            .map_err(|_| DropReason::Unauthenticated)?;
        Ok(content)
    }
}

/// The member with this node's name.
pub fn member_id(name: &str) -> MemberId {
    let hash = Sha256::digest(name.as_bytes());
    hash.iter()
        .take(8)
        .fold(0, |id, byte| id << 8 | u64::from(*byte))
}

#[cfg(test)]
mod tests;

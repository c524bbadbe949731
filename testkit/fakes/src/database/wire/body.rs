//! The body of a message.

use super::Ended;

/// A body, cut from its front.
pub(crate) struct Body<'a>(pub(crate) &'a [u8]);

impl Body<'_> {
    pub(crate) fn string(&mut self) -> Result<String, Ended> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(Ended)?;
        let text = String::from_utf8_lossy(&self.0[..end]).into_owned();
        self.0 = &self.0[end + 1..];
        Ok(text)
    }

    pub(crate) fn bytes<const N: usize>(&mut self) -> Result<[u8; N], Ended> {
        let (bytes, rest) = self.0.split_first_chunk::<N>().ok_or(Ended)?;
        self.0 = rest;
        Ok(*bytes)
    }

    pub(crate) fn count(&mut self) -> Result<u16, Ended> {
        self.bytes().map(u16::from_be_bytes)
    }

    pub(crate) fn slice(&mut self, length: usize) -> Result<&[u8], Ended> {
        let (bytes, rest) = self.0.split_at_checked(length).ok_or(Ended)?;
        self.0 = rest;
        Ok(bytes)
    }
}

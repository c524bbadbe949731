//! What a request's head says about its body's framing (RFC 9112, sections 5 and 6).

use crate::error::FramingError;
use crate::line::LineBuffer;

/// How the end of a request's body is found (section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// There is no body.
    Empty,
    /// A body of this many bytes, at least one.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
}

/// The framing fields of the head that is being received.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestHead {
    is_http_1_0: bool,
    content_length: Option<u64>,
    is_chunked: bool,
    /// The first error found; it is reported at the end of the head.
    error: Option<FramingError>,
}

impl RequestHead {
    /// Starts a head with its request line (section 3).
    pub(crate) fn from_request_line(line: &LineBuffer) -> Self {
        Self {
            is_http_1_0: line.ends_with(b"HTTP/1.0"),
            ..Self::default()
        }
    }

    /// Adds a field line.
    pub(crate) fn add_field_line(&mut self, line: &LineBuffer) {
        if let Err(error) = self.parse_field_line(line) {
            self.error.get_or_insert(error);
        }
    }

    /// The framing of the body, once the head is complete.
    pub(crate) fn body_framing(&self) -> Result<BodyFraming, FramingError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match (self.content_length, self.is_chunked) {
            (Some(_), true) => Err(FramingError::LengthAndCoding),
            (None, true) if self.is_http_1_0 => Err(FramingError::UnsupportedCoding),
            (None, true) => Ok(BodyFraming::Chunked),
            (None | Some(0), false) => Ok(BodyFraming::Empty),
            (Some(length), false) => Ok(BodyFraming::Length(length)),
        }
    }

    /// Splits a field line at its colon (section 5.1) and takes note of the fields that determine the framing.
    fn parse_field_line(&mut self, line: &LineBuffer) -> Result<(), FramingError> {
        let content = line.content();
        if content.first().copied().is_some_and(is_whitespace) {
            return Err(FramingError::FoldedHeader);
        }
        // The HTTP parser rejects a line without a colon.
        let Some(colon) = content.iter().position(|byte| *byte == b':') else {
            return Ok(());
        };
        let name = &content[..colon];
        let value = content[colon + 1..].trim_ascii();
        if name.last().copied().is_some_and(is_whitespace) {
            return Err(FramingError::FoldedHeader);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            self.set_content_length(value, line.is_truncated())
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.set_transfer_encoding(value, line.is_truncated())
        } else {
            Ok(())
        }
    }

    /// Content-Length (section 6.2): one field with one decimal number.
    fn set_content_length(&mut self, value: &[u8], is_truncated: bool) -> Result<(), FramingError> {
        if self.content_length.is_some() {
            return Err(FramingError::MultipleLengths);
        }
        if is_truncated {
            return Err(FramingError::InvalidLength);
        }
        let length = parse_decimal(value).ok_or(FramingError::InvalidLength)?;
        self.content_length = Some(length);
        Ok(())
    }

    /// Transfer-Encoding (section 6.1): one field with `chunked` alone.
    fn set_transfer_encoding(
        &mut self,
        value: &[u8],
        is_truncated: bool,
    ) -> Result<(), FramingError> {
        if self.is_chunked || is_truncated || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::UnsupportedCoding);
        }
        self.is_chunked = true;
        Ok(())
    }
}

/// Whether the byte is a space or a tab.
fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}

/// A decimal number of digits only; `str::parse` alone would accept a sign.
fn parse_decimal(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

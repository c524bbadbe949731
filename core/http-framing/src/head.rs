//! Determines the framing of a request's body from the head. Section numbers refer to RFC 9112.

use crate::error::FramingError;
use crate::line::LineBuffer;

/// How the length of a request's body is determined (section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The request has no body.
    Empty,
    /// The body has this number of bytes, at least one.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
}

/// The parts of the received head that determine the framing of the body.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestHead {
    is_http_1_0: bool,
    content_length: Option<u64>,
    is_chunked: bool,
    /// The first error found in a field line, which is reported at the end of the head.
    error: Option<FramingError>,
}

impl RequestHead {
    /// Creates a head with this request line (section 3).
    pub(crate) fn from_request_line(line: &LineBuffer) -> Self {
        Self {
            is_http_1_0: line.ends_with(b"HTTP/1.0"),
            ..Self::default()
        }
    }

    /// Parses a field line and records the first error.
    pub(crate) fn add_field_line(&mut self, line: &LineBuffer) {
        if let Err(error) = self.parse_field_line(line) {
            self.error.get_or_insert(error);
        }
    }

    /// The framing of the body. The head has to be complete.
    pub(crate) fn body_framing(&self) -> Result<BodyFraming, FramingError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        match (self.content_length, self.is_chunked) {
            (Some(_), true) => Err(FramingError::ContentLengthWithTransferEncoding),
            (None, true) if self.is_http_1_0 => Err(FramingError::UnsupportedTransferCoding),
            (None, true) => Ok(BodyFraming::Chunked),
            (None | Some(0), false) => Ok(BodyFraming::Empty),
            (Some(length), false) => Ok(BodyFraming::Length(length)),
        }
    }

    /// Splits a field line at the colon (section 5.1) and stores the value if the field determines the framing.
    fn parse_field_line(&mut self, line: &LineBuffer) -> Result<(), FramingError> {
        let content = line.content();
        if content.first().copied().is_some_and(is_whitespace) {
            return Err(FramingError::InvalidFieldWhitespace);
        }
        // The HTTP parser rejects a line without a colon.
        let Some(colon) = content.iter().position(|byte| *byte == b':') else {
            return Ok(());
        };
        let name = &content[..colon];
        let value = content[colon + 1..].trim_ascii();
        if name.last().copied().is_some_and(is_whitespace) {
            return Err(FramingError::InvalidFieldWhitespace);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            self.set_content_length(value, line.is_truncated())
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.set_transfer_encoding(value, line.is_truncated())
        } else {
            Ok(())
        }
    }

    /// Stores a Content-Length (section 6.2). Only one field with one decimal number is valid.
    fn set_content_length(&mut self, value: &[u8], is_truncated: bool) -> Result<(), FramingError> {
        if self.content_length.is_some() {
            return Err(FramingError::RepeatedContentLength);
        }
        if is_truncated {
            return Err(FramingError::InvalidContentLength);
        }
        let length = parse_decimal(value).ok_or(FramingError::InvalidContentLength)?;
        self.content_length = Some(length);
        Ok(())
    }

    /// Stores a Transfer-Encoding (section 6.1). Only one field with a single `chunked` is valid.
    fn set_transfer_encoding(
        &mut self,
        value: &[u8],
        is_truncated: bool,
    ) -> Result<(), FramingError> {
        if self.is_chunked || is_truncated || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::UnsupportedTransferCoding);
        }
        self.is_chunked = true;
        Ok(())
    }
}

/// Whether the byte is whitespace (OWS) in the sense of RFC 9110, section 5.6.3.
fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t')
}

/// Parses a decimal number. A sign, which `str::parse` accepts, is invalid.
fn parse_decimal(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

//! The reasons for rejecting the framing of a request. Section numbers refer to RFC 9112.

/// The reason why the framing of a request is rejected. The text is the body of the client's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head has several Content-Length fields. Equal values, which section 6.3, rule 5, allows, are rejected too.
    #[error("content-length stands there more than once")]
    RepeatedContentLength,
    /// The Content-Length is not a decimal number of at most 64 bits (section 6.2).
    #[error("content-length is not a number")]
    InvalidContentLength,
    /// The head has both a Content-Length and a Transfer-Encoding field (section 6.3, rule 3).
    #[error("content-length stands beside transfer-encoding")]
    ContentLengthWithTransferEncoding,
    /// The Transfer-Encoding is not a single `chunked`, or is used with HTTP/1.0 (section 6.1).
    #[error("transfer-encoding is not chunked")]
    UnsupportedTransferCoding,
    /// A field line is folded (section 5.2) or has whitespace before the colon (section 5.1).
    #[error("a header is folded, or has a space before its colon")]
    InvalidFieldWhitespace,
    /// The head or the trailer section is longer than the limit.
    #[error("the head is too long")]
    SectionTooLong,
    /// A chunk size is invalid, or the line end after the chunk data is missing (section 7.1).
    #[error("a chunk is malformed")]
    InvalidChunk,
}

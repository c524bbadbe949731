//! Reasons for rejecting a request; sections are those of RFC 9112.

/// Why the framing of a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// More than one Content-Length field, even with equal values (section 6.3, rule 5, would allow those).
    #[error("content-length stands there more than once")]
    MultipleLengths,
    /// A Content-Length that is not a decimal number of 64 bits (section 6.2).
    #[error("content-length is not a number")]
    InvalidLength,
    /// Content-Length beside Transfer-Encoding (section 6.3, rule 3).
    #[error("content-length stands beside transfer-encoding")]
    LengthAndCoding,
    /// A transfer coding other than `chunked` alone, or any with HTTP/1.0 (section 6.1).
    #[error("transfer-encoding is not chunked")]
    UnsupportedCoding,
    /// A folded field line (section 5.2), or whitespace before a field's colon (section 5.1).
    #[error("a header is folded, or has a space before its colon")]
    FoldedHeader,
    /// The head or the trailer section exceeds its limit.
    #[error("the head is too long")]
    TooLong,
    /// An invalid chunk size, or chunk data without the line end behind it (section 7.1).
    #[error("a chunk is malformed")]
    InvalidChunk,
}

//! The size line of a chunk (RFC 9112, section 7.1).

/// The maximum number of hexadecimal digits of a chunk size, which has at most 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 16;

/// Parses the chunk size at the beginning of a size line. Chunk extensions (section 7.1.1) are ignored.
pub(crate) fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    if digits.is_empty() || digits.len() > MAX_CHUNK_SIZE_DIGITS {
        return None;
    }
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

//! Why a received datagram is dropped.

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Of another protocol version, too long or too short.
    Malformed,
    /// Its authentication code is wrong: the sender does not have the fleet's key.
    Unauthenticated,
    /// A member sent it, and its content can't be decoded.
    Undecodable,
}

//! The reasons for dropping a received datagram.

/// The reason why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The datagram has another protocol version, or is too long or too short.
    Malformed,
    /// The authentication code is invalid: the sender does not have the fleet's key, or the datagram was changed.
    Unauthenticated,
    /// The authentication code is valid, but the content can't be decoded.
    Undecodable,
}

//! The identity of a connection.

/// The number of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

impl ConnectionId {
    /// The process id by which clients know the connection.
    pub(super) fn process_id(self) -> u32 {
        let [.., first, second, third, fourth] = self.0.to_be_bytes();
        u32::from_be_bytes([first, second, third, fourth])
    }

    /// The secret key that a request to cancel a statement of the connection has to show.
    pub(super) fn secret_key(self) -> u32 {
        self.process_id().wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995
    }
}

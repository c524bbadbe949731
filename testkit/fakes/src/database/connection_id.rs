//! The identity of a connection.

/// The number of a connection, counted from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

impl ConnectionId {
    /// The process id in `BackendKeyData`: the lower 32 bits of the number.
    pub(super) fn process_id(self) -> u32 {
        let [.., first, second, third, fourth] = self.0.to_be_bytes();
        u32::from_be_bytes([first, second, third, fourth])
    }

    /// The secret key in `BackendKeyData`, which a `CancelRequest` has to repeat.
    pub(super) fn secret_key(self) -> u32 {
        self.process_id().wrapping_mul(0x9e37_79b9) ^ 0x5bd1_e995
    }
}

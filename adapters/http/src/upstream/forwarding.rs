//! When a response is forwarded before all of it has arrived. A response of more than
//! [`MAX_BUFFERED_BODY_BYTES`](crate::MAX_BUFFERED_BODY_BYTES) has to begin, and not to end, within the client's
//! deadline; without a declared length its size is known only at its end.

use badgerpost_balancer::Nanos;

/// Divisor of the time that is left when the head of a response arrives: if the response is not complete after this
/// fraction of it, what has arrived is forwarded, provided that it is more than a few bytes.
const FIRST_BYTES_DIVISOR: u64 = 4;

/// How far the response of an attempt has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponsePhase {
    /// The head is incomplete.
    AwaitingHead,
    /// The response is not forwarded to the client.
    Discarded,
    /// The response is small and is forwarded once it is complete.
    Small,
    /// The response is or may be large, and is forwarded as it arrives.
    PossiblyLarge,
}

impl ResponsePhase {
    /// Whether giving up the attempt cuts off no response that may be sound beyond the client's deadline.
    pub(super) fn is_replaceable(self) -> bool {
        self != Self::PossiblyLarge
    }
}

/// From when on a response that may be large is forwarded although more of it is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ForwardingTimes {
    /// If more than a few bytes have arrived. Until then a truncated response can be replaced by that of a retry.
    pub(super) with_first_bytes: Nanos,
    /// Whatever has arrived besides the head.
    pub(super) with_head: Nanos,
}

impl ForwardingTimes {
    /// The times for a response whose head has arrived at `head_at` and that has to begin before `deadline`.
    pub(super) fn new(head_at: Nanos, deadline: Nanos) -> Self {
        let fraction = deadline.saturating_sub(head_at) / FIRST_BYTES_DIVISOR;
        Self {
            with_first_bytes: head_at.saturating_add(fraction),
            with_head: deadline.saturating_sub(fraction),
        }
    }
}

#[cfg(test)]
mod tests;

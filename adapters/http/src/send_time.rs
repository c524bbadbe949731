//! Estimates since when a client may have sent all of its request, while the node does not read all that has arrived.
//!
//! The client's deadline counts from its last byte. While a backend reads slowly, the rest of the request may lie in the
//! send buffer of the client's system and in the receive buffer of the node's, so the time at which the node reads the
//! last byte can be seconds later.

use std::collections::VecDeque;

use badgerpost_time::Nanos;

/// Number of bytes that a client's system may hold unsent: the largest send buffer that Linux gives a socket by default.
const CLIENT_SEND_BUFFER_BYTES: u64 = 4 * 1024 * 1024;

/// How much of a body had arrived at a time.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Nanos,
    bytes: u64,
}

/// The arrivals of one body since the node last waited for its client.
#[derive(Debug, Default)]
pub(crate) struct SendTime {
    /// In order. Bounded, because the request ends soon after the deadline that counts from the first one.
    arrivals: VecDeque<Arrival>,
}

impl SendTime {
    /// Records that `bytes` of the body have arrived, whose length is `length` if declared. At `read_blocked_at` the node
    /// last waited for the client, which had not sent all of the request then.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        bytes: u64,
        length: Option<u64>,
        read_blocked_at: Nanos,
    ) {
        while self
            .arrivals
            .front()
            .is_some_and(|first| first.at < read_blocked_at)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(Arrival { at: now, bytes });
        // Without a declared length, the body may end with what has arrived.
        let total = length.unwrap_or(bytes);
        while self
            .arrivals
            .front()
            .is_some_and(|first| total.saturating_sub(first.bytes) > CLIENT_SEND_BUFFER_BYTES)
        {
            self.arrivals.pop_front();
        }
    }

    /// Since when the client may have sent all of the request; `None` if it still has to send.
    pub(crate) fn sent_since(&self) -> Option<Nanos> {
        self.arrivals.front().map(|first| first.at)
    }
}

#[cfg(test)]
mod tests;

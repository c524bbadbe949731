//! How long idle connections to backends may rest before their next request tends to be reset.

use std::cell::Cell;

use badgerpost_balancer::Nanos;

/// Classes of rest, each of twice the length of the one before; the first one ends at 16 ms.
const AGES: usize = 12;
/// Weight of one use in what is known of connections that have rested for about as long, and the share of
/// resets from which on such a one is not used: a new one costs a handshake, a reset the request.
const AGED_SMOOTHING: f64 = 0.1;
const AGED_MOST: f64 = 0.25;

/// How many of the connections that had rested for so long were reset at their next request. Some networks
/// forget a quiet connection and tell nobody, long before the backends' own limit.
#[derive(Default)]
pub(crate) struct ConnectionAges([Cell<f64>; AGES]);

impl ConnectionAges {
    fn class(rest: Nanos) -> usize {
        let doublings = (rest / 16_000_000)
            .checked_ilog2()
            .map_or(0, |log| log as usize + 1);
        doublings.min(AGES - 1)
    }

    /// Records a request on a connection that had rested for this long; whether it was reset.
    pub(crate) fn used(&self, rest: Nanos, reset: bool) {
        let share = &self.0[Self::class(rest)];
        share.set(share.get() + (f64::from(u8::from(reset)) - share.get()) * AGED_SMOOTHING);
    }

    /// Whether connections that have rested for this long may be used again.
    pub(crate) fn is_fit(&self, rest: Nanos) -> bool {
        self.0[Self::class(rest)].get() < AGED_MOST
    }

    /// What is not used is forgotten, so that it is tried again.
    pub(crate) fn fade(&self) {
        self.0
            .iter()
            .for_each(|share| share.set(share.get() * (1.0 - AGED_SMOOTHING / 4.0)));
    }
}

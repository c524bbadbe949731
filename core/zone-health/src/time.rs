//! Units of time.

/// Nanoseconds, for instants and durations alike: the names of instants end in `_at`, `since`, `until` or `now`, those
/// of durations in `_duration`, `_period`, `_interval`, `_age` and the like.
///
/// Instants are on one of two clocks. Public instants are on the caller's clock. Instants named `awake_..`, and all
/// instants inside a zone's state and evidence, are on the awake clock, which stands still while this process is
/// suspended.
pub type Nanos = u64;

/// One millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// One second.
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

/// A duration computed in floating point, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and the durations here are positive and far below 2^53 ns"
)]
pub(crate) fn nanos_from_f64(duration: f64) -> Nanos {
    duration as Nanos
}

//! The unit of time that all packages share, and conversions to it.

/// Nanoseconds, for instants and durations alike.
///
/// Names tell the two apart: those of instants end in `_at`, `since`, `until` or `now`, those of durations in
/// `_duration`, `_period`, `_interval`, `_timeout`, `_age` and the like. Instants count from the Unix epoch on the clock
/// of the node, unless their package says otherwise.
pub type Nanos = u64;

/// One microsecond.
pub const MICROSECOND: Nanos = 1000;

/// One millisecond.
pub const MILLISECOND: Nanos = 1000 * MICROSECOND;

/// One second.
pub const SECOND: Nanos = 1000 * MILLISECOND;

/// A number of nanoseconds computed in floating point, rounded down; saturates at 0 and `u64::MAX`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub fn nanos_from_f64(nanoseconds: f64) -> Nanos {
    nanoseconds as Nanos
}

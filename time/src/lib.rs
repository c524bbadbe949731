//! The unit of time that all packages use, and conversions to that unit.

/// A number of nanoseconds: an instant or a duration.
///
/// Names of instants end in `_at`, `since`, `until` or `now`; names of durations end in `_duration`, `_period`,
/// `_interval`, `_timeout`, `_age` or a similar word. Instants count from the Unix epoch on the node's clock, unless a
/// package documents another origin.
pub type Nanos = u64;

/// One microsecond, in nanoseconds.
pub const MICROSECOND: Nanos = 1000;

/// One millisecond, in nanoseconds.
pub const MILLISECOND: Nanos = 1000 * MICROSECOND;

/// One second, in nanoseconds.
pub const SECOND: Nanos = 1000 * MILLISECOND;

/// Converts a floating-point number of nanoseconds. Rounds down, and saturates at 0 and `u64::MAX`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
pub fn nanos_from_f64(nanoseconds: f64) -> Nanos {
    nanoseconds as Nanos
}

//! Units of time and the conversions between times and computed values.

use crate::api::Nanos;

/// One second in nanoseconds.
pub(crate) const SECOND: Nanos = 1_000_000_000;
/// One millisecond in nanoseconds.
pub(crate) const MILLISECOND: Nanos = SECOND / 1000;
/// Smallest divisor where a total may be 0.
pub(crate) const MIN_DIVISOR: f64 = 1e-9;

/// Converts a computed time to whole nanoseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates at 0 and u64::MAX"
)]
pub(crate) fn to_nanos(nanoseconds: f64) -> Nanos {
    nanoseconds as Nanos
}

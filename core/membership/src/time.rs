//! Times and durations of this core.

/// A Unix time or a duration, in nanoseconds.
pub type Nanos = u64;

/// One millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;
/// One second.
pub(crate) const SECOND: Nanos = 1000 * MILLISECOND;

//! Figures of the decisions by which a node also measures: time constants, weights and bounds of what it
//! learns. Those that only decide stand in `choice.rs`.

use crate::api::Nanos;

pub(crate) const SECOND: Nanos = 1_000_000_000;
pub(crate) const MS: Nanos = SECOND / 1000;

/// Time constant of a backend's smoothed utilisation: some report periods.
pub(crate) const UTIL_SMOOTHING: Nanos = 400 * MS;
/// A utilisation older than this says nothing; a zone with no younger one counts as unseen.
pub(crate) const UTIL_TRUST: Nanos = 4 * SECOND;
/// No backend has more than all of its cores in use; what its noise may add, and no more, is believed.
pub(crate) const UTIL_MOST: f64 = 1.5;
/// Time constant of a backend's slowness: tens of answers, yet within a neighbour's seconds on and off.
pub(crate) const SLOW_SMOOTHING: Nanos = SECOND;
/// Samples over which a class's base time is learned; slow against a day's troubles.
pub(crate) const BASE_SAMPLES: f64 = 400.0;
/// Samples from which on a class's base time is good enough to compare backends by.
pub(crate) const BASE_FIRST: f64 = 30.0;
/// Weight of a sample above the base time against one below it.
pub(crate) const BASE_RISE: f64 = 0.4;
/// One observation counts at most this many times the expectation: single expensive requests are chance.
pub(crate) const SLOW_CLAMP: f64 = 6.0;
/// Parts by which the measured capacity rises and falls in a refresh: in about 2 s, and in a minute.
pub(crate) const CAPACITY_RISE: f64 = 0.05;
pub(crate) const CAPACITY_FALL: f64 = 0.002;

//! Deterministic pseudo-random numbers and hashes; every draw depends on the seed or on ids only.

/// Spreads the bits of a number; drives random draws and lots.
pub(crate) fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A lot from 0 to 1 that always falls alike for one number.
pub(crate) fn lot(z: u64) -> f64 {
    mix(z) as f64 / u64::MAX as f64
}

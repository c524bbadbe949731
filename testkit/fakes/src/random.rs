//! The test kit's seeded random number generator: equal seeds give equal draws on every machine.

// Constants of FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The increment of SplitMix64's state.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// The number of equally spaced values from which an `f64` in [0, 1) is drawn.
const MANTISSA_VALUES: u64 = 1 << 53;

/// A SplitMix64 generator (Steele, Lea and Flood, 2014). The numbers of a seed must not change: recorded seeds depend
/// on them.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates the generator for one purpose. Each purpose has its own generator, so that additional draws for one
    /// purpose do not change the draws for others.
    pub fn new(seed: u64, purpose: &str) -> Self {
        let purpose_hash = purpose.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
        let mut random = Self(seed ^ purpose_hash);
        random.next_u64();
        random
    }

    /// Draws 64 uniformly distributed bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(GOLDEN_GAMMA);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Draws from the uniform distribution over [0, 1).
    pub fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / MANTISSA_VALUES as f64
    }

    /// Draws uniformly from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        let span = high.saturating_sub(low).saturating_add(1).max(1);
        low + ((u128::from(self.next_u64()) * u128::from(span)) >> 64) as u64
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// Draws from the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}

#[cfg(test)]
mod tests;

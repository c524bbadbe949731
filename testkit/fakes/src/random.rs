//! Seeded randomness: equal seeds give equal draws, on every machine.

/// A SplitMix64 generator (Steele, Lea and Flood, 2014): small, fast, and good enough for stand-ins.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator of its own for each purpose, so that one more draw for one changes no other.
    pub fn new(seed: u64, purpose: &str) -> Self {
        // FNV-1a over the purpose's name.
        let name = purpose
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
        let mut random = Self(seed ^ name);
        random.bits();
        random
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// From 0 up to, not including, 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// From `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        let span = high.saturating_sub(low).saturating_add(1).max(1);
        low + ((u128::from(self.bits()) * u128::from(span)) >> 64) as u64
    }

    /// True with this probability.
    pub fn chance(&mut self, share: f64) -> bool {
        self.unit() < share
    }

    /// Exponentially distributed, with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

#[cfg(test)]
mod tests;

//! A deterministic random number generator: equal seeds yield equal sequences.

/// Combined with the seed by XOR, so that small seeds do not lead to small initial states.
const SEED_MASK: u64 = 0x2545_f491_4f6c_dd1d;
/// Multiplier of the generator, from Knuth's MMIX.
const MULTIPLIER: u64 = 0x5851_f42d_4c95_7f2d;
/// Increment of the generator, from Knuth's MMIX.
const INCREMENT: u64 = 0x1405_7b7e_f767_814f;
/// Bits of precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A 64-bit linear congruential generator, not suitable for cryptography.
#[derive(Debug)]
pub(crate) struct LinearCongruentialGenerator {
    state: u64,
}

impl LinearCongruentialGenerator {
    /// Creates a generator whose sequence is determined by the seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            state: seed ^ SEED_MASK,
        }
    }

    /// The next number, uniformly distributed from 0 (included) to 1 (excluded).
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.state >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }
}

#[cfg(test)]
mod tests;

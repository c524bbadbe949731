//! Deterministic pseudo-random numbers and hashes. Every draw depends only on the seed, earlier draws and ids.

use crate::api::{BackendId, RequestId};

/// 2^64 divided by the golden ratio: the increment of SplitMix64, also used to spread consecutive ids.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// Odd multiplier that spreads consecutive ids independently of [`GOLDEN_GAMMA`].
const ID_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;
/// Multiplier of Knuth's 64-bit linear congruential generator (MMIX).
const LCG_MULTIPLIER: u64 = 0x5851_f42d_4c95_7f2d;
/// Increment of the same generator.
const LCG_INCREMENT: u64 = 0x1405_7b7e_f767_814f;

/// Finalizer of SplitMix64.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hashes a number to a value from 0 to 1.
fn unit_hash(bits: u64) -> f64 {
    mix(bits) as f64 / u64::MAX as f64
}

/// Score of a backend for a key in rendezvous hashing; the same at every node.
pub(crate) fn rendezvous_score(name_hash: u64, key: u64) -> u64 {
    mix(name_hash ^ key)
}

/// A pseudo-random value from 0 to 1, fixed for one backend (given by its subset rank) and epoch.
pub(crate) fn epoch_draw(subset_rank: u64, epoch: u64) -> f64 {
    unit_hash(subset_rank ^ epoch.wrapping_mul(GOLDEN_GAMMA))
}

/// Random numbers of one node: a SplitMix64 stream, and values fixed per request or backend.
pub(crate) struct Random {
    seed: u64,
    state: u64,
}

impl Random {
    /// Starts the stream with the given seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            state: seed ^ GOLDEN_GAMMA,
        }
    }

    /// The next number of the stream, at least 0 and below 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        (mix(self.state) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A pseudo-random value from 0 to 1, fixed for one request and salt.
    pub(crate) fn request_draw(&self, request: RequestId, salt: u64) -> f64 {
        unit_hash(self.seed ^ request.0.wrapping_mul(GOLDEN_GAMMA) ^ salt)
    }

    /// A pseudo-random index below `len`, fixed for one request and salt. Equals `len` if the underlying draw is
    /// exactly 1.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a draw is from 0 to 1"
    )]
    pub(crate) fn request_index(&self, request: RequestId, salt: u64, len: usize) -> usize {
        (self.request_draw(request, salt) * len as f64) as usize
    }

    /// This node's rank for a backend. The backends with the lowest ranks of a zone form the node's subset.
    pub(crate) fn subset_rank(&self, backend: BackendId) -> u64 {
        mix(self.seed ^ u64::from(backend.0).wrapping_mul(ID_MULTIPLIER))
    }

    /// Starts the jitter sequence of one pick, without advancing the stream.
    pub(crate) fn jitter(&self, request: RequestId) -> JitterSequence {
        JitterSequence {
            state: self.state ^ request.0.wrapping_mul(ID_MULTIPLIER),
        }
    }
}

/// A linear congruential sequence that yields the jitter of each candidate of one pick.
pub(crate) struct JitterSequence {
    state: u64,
}

impl JitterSequence {
    /// The next number of the sequence, at least 0 and below 1.
    pub(crate) fn draw(&mut self) -> f64 {
        self.state = self
            .state
            .wrapping_mul(LCG_MULTIPLIER)
            .wrapping_add(LCG_INCREMENT);
        (self.state >> 40) as f64 / (1u64 << 24) as f64
    }
}

//! Pseudo-random numbers that depend only on the seed and on how many were generated before.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of hash bits that fit the significand of an `f64`.
const SIGNIFICAND_BITS: u32 = 53;

/// A sequence of pseudo-random fractions: the same seed gives the same sequence.
pub(crate) struct Random {
    seed: u64,
    generated: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random { seed, generated: 0 }
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.generated += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.generated).hash(&mut hasher);
        (hasher.finish() >> (u64::BITS - SIGNIFICAND_BITS)) as f64
            / (1u64 << SIGNIFICAND_BITS) as f64
    }
}

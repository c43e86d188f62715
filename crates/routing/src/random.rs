//! Random numbers that depend on nothing but the seed and how many were drawn before.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Bits of a hash that fill the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// A sequence of random fractions: the same seed gives the same sequence.
pub(crate) struct Random {
    seed: u64,
    drawn: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random { seed, drawn: 0 }
    }

    /// A number from 0 up to, but not including, 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
    }
}

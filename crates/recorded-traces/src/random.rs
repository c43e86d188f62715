//! Pseudo-random numbers that are the same on every machine and with every version of the standard library.

/// A sequence of numbers that depends only on its seed (SplitMix64, Steele et al. 2014).
pub struct Random(u64);

impl Random {
    /// Starts the sequence of a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 (inclusive) to `end` (exclusive).
    ///
    /// # Panics
    ///
    /// Panics if `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end
    }

    /// A number from `start` (inclusive) to `end` (exclusive).
    ///
    /// # Panics
    ///
    /// Panics if the range is empty.
    pub fn between(&mut self, start: i64, end: i64) -> i64 {
        start + self.below((end - start) as u64) as i64
    }

    /// True with a probability of `probability` in a thousand.
    pub fn per_mille(&mut self, probability: u64) -> bool {
        self.below(1000) < probability
    }
}

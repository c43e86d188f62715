//! Draws that are the same on every machine and with every version of the standard library.

/// A sequence of numbers that depends on its seed alone (SplitMix64, Steele et al. 2014).
pub struct Random(u64);

impl Random {
    /// Starts a sequence.
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

    /// From 0 up to, but not including, `end`.
    ///
    /// # Panics
    ///
    /// Where `end` is 0.
    pub fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end
    }

    /// From `least` up to, but not including, `end`.
    ///
    /// # Panics
    ///
    /// Where the range is empty.
    pub fn between(&mut self, least: i64, end: i64) -> i64 {
        least + self.below((end - least) as u64) as i64
    }

    /// Whether something happens that happens so many times in a thousand.
    pub fn per_mille(&mut self, share: u64) -> bool {
        self.below(1000) < share
    }
}

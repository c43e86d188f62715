//! Draws that are the same on every machine and with every version of the standard library (SplitMix64).

pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    pub(crate) fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// From 0 up to, but not including, `end`.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.next_u64() % end
    }

    /// Whether one of so many in a thousand happens.
    pub(crate) fn per_mille(&mut self, share: u64) -> bool {
        self.below(1000) < share
    }
}

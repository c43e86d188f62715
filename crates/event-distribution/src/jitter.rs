//! Random spans, so that members that start or fail together do not act together. The same seed draws the same ones.

use crate::time::Micros;

/// Added to the seed for each draw; odd, so that no two draws of a seed are alike (SplitMix64).
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Jitter {
    seed: u64,
    draws: u64,
}

impl Jitter {
    pub(crate) fn new(seed: u64) -> Jitter {
        Jitter { seed, draws: 0 }
    }

    /// From `least` to `most`, both included.
    pub(crate) fn draw(&mut self, least: Micros, most: Micros) -> Micros {
        self.draws += 1;
        let mixed = self.seed.wrapping_add(self.draws.wrapping_mul(SEED_STEP));
        fastrand::Rng::with_seed(mixed).i64(least..=most)
    }
}

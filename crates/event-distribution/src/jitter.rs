//! Random durations, so that members that start or fail together do not act at the same time. Equal seeds give equal
//! durations.

use crate::time::Micros;

/// Increment of the seed per draw. It is odd, so that all draws of a seed differ (SplitMix64).
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

    /// A random duration between `min` and `max`, both inclusive.
    pub(crate) fn draw(&mut self, min: Micros, max: Micros) -> Micros {
        self.draws += 1;
        let mixed = self.seed.wrapping_add(self.draws.wrapping_mul(SEED_STEP));
        fastrand::Rng::with_seed(mixed).i64(min..=max)
    }
}

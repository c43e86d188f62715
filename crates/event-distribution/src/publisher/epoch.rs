//! Epoch numbers: taken from the clock, and larger than any known epoch of other members.

use crate::event::{Epoch, LogPosition};
use crate::time::Micros;

/// Maximum of the random step from a known epoch to the one that follows it.
const MAX_STEP: u64 = 1 << 32;

/// The first epoch of a start, if other members have reached `continues_from`.
pub(super) fn first(now: Micros, continues_from: Option<LogPosition>, seed: u64) -> Epoch {
    let by_clock = Epoch(now.max(0) as u64).min(Epoch::MAX);
    continues_from.map_or(by_clock, |end| by_clock.max(beyond(end.epoch, seed)))
}

/// A random later epoch. It is random because, if the clock has stepped back, an earlier start may have continued from
/// the same epoch.
pub(super) fn beyond(known: Epoch, seed: u64) -> Epoch {
    let step = fastrand::Rng::with_seed(seed ^ known.0).u64(1..=MAX_STEP);
    Epoch(known.0 + step)
}

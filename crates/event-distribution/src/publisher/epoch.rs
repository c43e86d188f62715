//! The numbers of epochs: by the clock, and beyond any epoch that others are in.

use crate::event::{Epoch, LogPosition};
use crate::time::Micros;

/// Largest step from an epoch that others are in to one that is drawn to follow it.
const MAX_STEP: u64 = 1 << 32;

/// The first epoch of a start, where others have come up to `continues_from`.
pub(super) fn first(now: Micros, continues_from: Option<LogPosition>, seed: u64) -> Epoch {
    let by_clock = Epoch(now.max(0) as u64).min(Epoch::MAX);
    continues_from.map_or(by_clock, |end| by_clock.max(beyond(end.epoch, seed)))
}

/// A later one, drawn: where the clock has stepped back, an earlier start may have gone on from the same epoch.
pub(super) fn beyond(known: Epoch, seed: u64) -> Epoch {
    let step = fastrand::Rng::with_seed(seed ^ known.0).u64(1..=MAX_STEP);
    Epoch(known.0 + step)
}

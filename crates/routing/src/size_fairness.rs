//! Size fairness: the largest requests of a class are answered at least in a set proportion to the others.
//!
//! In a lasting overload the smaller requests would fill the limits, and the largest never get in. For each of the two
//! groups of large requests it is counted by how much the group has been answered less than its floor; while that is
//! positive, its requests are admitted as those with the most slack.

use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::interface::Micros;

/// Multiples of a class's mean work above which a request is in a group: about the largest tenth, and the next fifth.
const GROUP_BOUNDS: [f64; GROUPS] = [2.0, 1.0];
const GROUPS: usize = 2;
/// Floor of a group's answered fraction, as a fraction of the class's.
const FLOOR_FRACTION: f64 = 0.58;
/// The most requests that a group can be behind, or ahead.
const MAX_DEFICIT: f64 = 12.0;
/// Weight of a new sample in the answered fraction of a class.
const ANSWERED_WEIGHT: f64 = SAMPLE_WEIGHT / 10.0;

/// A group of large requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SizeGroup(usize);

impl SizeGroup {
    /// The group of a request that takes `work`, where the class's requests take `typical`.
    pub(crate) fn of(work: f64, typical: f64) -> Option<SizeGroup> {
        let multiple = work / typical.max(1.0);
        GROUP_BOUNDS
            .iter()
            .position(|bound| multiple > *bound)
            .map(SizeGroup)
    }
}

/// What a class has answered, and what its large requests are behind.
pub(crate) struct SizeFairness {
    answered: SmoothedValue,
    deficit: [f64; GROUPS],
}

impl Default for SizeFairness {
    fn default() -> SizeFairness {
        SizeFairness {
            answered: SmoothedValue::assumed(1.0),
            deficit: [0.0; GROUPS],
        }
    }
}

impl SizeFairness {
    /// A request has its final answer: served, or rejected.
    pub(crate) fn record(&mut self, now: Micros, group: Option<SizeGroup>, served: bool) {
        let served = f64::from(u8::from(served));
        self.answered.record(now, served, ANSWERED_WEIGHT);
        if let Some(SizeGroup(group)) = group {
            let floor = FLOOR_FRACTION * self.answered.decayed(now, 1.0, DECAY_TIME);
            let deficit = self.deficit[group] + floor - served;
            self.deficit[group] = deficit.clamp(-MAX_DEFICIT, MAX_DEFICIT);
        }
    }

    /// Whether a group is behind its floor.
    pub(crate) fn is_behind(&self, group: SizeGroup) -> bool {
        self.deficit[group.0] > 0.0
    }
}

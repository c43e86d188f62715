//! Size fairness: the largest requests of a class are served at least in a fixed proportion to all requests of the
//! class.
//!
//! In a lasting overload the smaller requests would use up the limits, and the largest would never be admitted. Each
//! of the two groups of large requests has a deficit: the amount by which it was served less than its floor. While
//! the deficit is positive, the group's requests are admitted with the maximum slack.

use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::interface::Micros;

/// Multiples of a class's mean work above which a request belongs to a group: about the largest tenth, and the next
/// fifth.
const GROUP_BOUNDS: [f64; GROUPS] = [2.0, 1.0];
const GROUPS: usize = 2;
/// Floor of a group's served fraction, as a fraction of the class's served fraction.
const FLOOR_FRACTION: f64 = 0.58;
/// Maximum deficit or surplus of a group, in requests.
const MAX_DEFICIT: f64 = 12.0;
/// Weight of a new sample in the served fraction of a class.
const SERVED_FRACTION_WEIGHT: f64 = SAMPLE_WEIGHT / 10.0;

/// Index of a group of large requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SizeGroup(usize);

impl SizeGroup {
    /// The group of a request with `work`, where the mean work of the class is `typical`.
    pub(crate) fn of(work: f64, typical: f64) -> Option<SizeGroup> {
        let multiple = work / typical.max(1.0);
        GROUP_BOUNDS
            .iter()
            .position(|bound| multiple > *bound)
            .map(SizeGroup)
    }
}

/// The served fraction of a class, and the deficits of its groups of large requests.
pub(crate) struct SizeFairness {
    served_fraction: SmoothedValue,
    deficit: [f64; GROUPS],
}

impl Default for SizeFairness {
    fn default() -> SizeFairness {
        SizeFairness {
            served_fraction: SmoothedValue::assumed(1.0),
            deficit: [0.0; GROUPS],
        }
    }
}

impl SizeFairness {
    /// Records the final answer of a request: served, or not.
    pub(crate) fn record(&mut self, now: Micros, group: Option<SizeGroup>, served: bool) {
        let served = f64::from(u8::from(served));
        self.served_fraction
            .record(now, served, SERVED_FRACTION_WEIGHT);
        if let Some(SizeGroup(group)) = group {
            let floor = FLOOR_FRACTION * self.served_fraction.decayed(now, 1.0, DECAY_TIME);
            let deficit = self.deficit[group] + floor - served;
            self.deficit[group] = deficit.clamp(-MAX_DEFICIT, MAX_DEFICIT);
        }
    }

    /// Whether a group is below its floor.
    pub(crate) fn is_below_floor(&self, group: SizeGroup) -> bool {
        self.deficit[group.0] > 0.0
    }
}

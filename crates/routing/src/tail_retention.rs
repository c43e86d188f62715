//! Tail retention: which parts of an object a cache keeps.
//!
//! After the design's paper (docs/design.md): viewers abandon, so the tail of an object is asked for much less than its
//! head. The length of an object is estimated from the highest part index seen; a part at or past [`TAIL_FRACTION`] of
//! it is tail, and passes through uncached unless it was requested lately. All head parts have one rank.

use crate::expiring_map::ExpiringMap;
use crate::interface::{Micros, Request};
use crate::settings::RoutingSettings;
use crate::time::SECOND;

/// From this fraction of the estimated length on a part is tail.
const TAIL_FRACTION: f64 = 0.875;
/// How long the estimate of an object's length holds.
const LENGTH_LIFETIME: Micros = 300 * SECOND;
/// A part that is requested again within this time is cached, tail or not.
const REPEAT_WINDOW: Micros = 10 * SECOND;
/// Entries of each of the memories.
const CAPACITY: usize = 50_000;
/// Parts back that tell of a sequential scan, and proxies of a zone from which on scans matter.
const SCAN_PARTS: u32 = 3;
const SCAN_PROXIES: f64 = 3.0;
/// The retention rank of all that is cached.
const CACHED: u8 = 1;
/// The retention rank of what passes through.
pub(crate) const UNCACHED: u8 = 0;

/// How a part is to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Retention {
    /// Retention rank at the cache: 0 passes through.
    pub(crate) rank: u8,
    /// This proxy was asked for the same part within the repeat window.
    pub(crate) requested_recently: bool,
}

/// Lengths of objects, and the parts requested lately.
pub(crate) struct TailRetention {
    highest_part: ExpiringMap<u64, u32>,
    /// By object and part: whether it was itself a repeat.
    recent_parts: ExpiringMap<(u64, u32), bool>,
}

impl TailRetention {
    pub(crate) fn new() -> TailRetention {
        TailRetention {
            highest_part: ExpiringMap::new(LENGTH_LIFETIME, CAPACITY),
            recent_parts: ExpiringMap::new(REPEAT_WINDOW, CAPACITY),
        }
    }

    /// Other proxies have seen a part of an object requested.
    pub(crate) fn record_length(&mut self, now: Micros, object: u64, highest_part: u32) {
        let known = self.highest_part.get(now, object).unwrap_or(0);
        self.highest_part
            .insert(now, object, known.max(highest_part));
    }

    /// Records a request, and says how its part is to be kept.
    pub(crate) fn classify(
        &mut self,
        now: Micros,
        request: &Request,
        settings: &RoutingSettings,
    ) -> Retention {
        let Request { object, part, .. } = *request;
        let known = self.highest_part.get(now, object).unwrap_or(0);
        let highest = known.max(part);
        self.highest_part.insert(now, object, highest);
        let requested_recently = self.recent_parts.get(now, (object, part)).is_some();
        self.recent_parts
            .insert(now, (object, part), requested_recently);
        let is_tail = f64::from(part) >= TAIL_FRACTION * f64::from(highest + 1);
        let cacheable = !is_tail
            || requested_recently
            || (part > known && self.is_shared_scan(now, request, settings));
        let rank = if cacheable { CACHED } else { UNCACHED };
        Retention {
            rank,
            requested_recently,
        }
    }

    /// Many proxies scan a new object at once: each next part is the highest yet, and each proxy would pass it through.
    /// Where caches join fills one fill serves them all, cached or not.
    fn is_shared_scan(&self, now: Micros, request: &Request, settings: &RoutingSettings) -> bool {
        let repeated = |back: u32| {
            let part = request.part.wrapping_sub(back);
            self.recent_parts.get(now, (request.object, part)) == Some(true)
        };
        (1..=SCAN_PARTS).any(repeated)
            && !settings.joins_fills
            && settings.proxies_in_own_zone >= SCAN_PROXIES
    }
}

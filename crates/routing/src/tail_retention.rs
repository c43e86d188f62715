//! Tail retention: which parts of an object a cache keeps.
//!
//! Follows the design's paper (docs/design.md): viewers stop early, so the tail of an object is requested far less
//! often than its head. The length of an object is estimated from the highest part index seen. A part at or beyond
//! [`TAIL_FRACTION`] of that length belongs to the tail and passes through uncached unless it was requested recently.
//! All head parts have the same rank.

use crate::expiring_map::ExpiringMap;
use crate::interface::{Micros, Request};
use crate::settings::RoutingSettings;
use crate::time::SECOND;

/// Fraction of the estimated length at which the tail begins.
const TAIL_FRACTION: f64 = 0.875;
/// Lifetime of the estimate of an object's length.
const LENGTH_LIFETIME: Micros = 300 * SECOND;
/// A part that is requested again within this time is cached, even if it belongs to the tail.
const REPEAT_WINDOW: Micros = 10 * SECOND;
/// Maximum number of entries in each map.
const MAX_ENTRIES: usize = 50_000;
/// Number of preceding parts that are checked for a sequential scan, and the minimum number of proxies in the zone
/// for scans to matter.
const SCAN_PARTS: u32 = 3;
const SCAN_PROXIES: f64 = 3.0;
/// Retention rank of all cached parts.
const CACHED_RANK: u8 = 1;
/// Retention rank of parts that pass through uncached.
pub(crate) const UNCACHED_RANK: u8 = 0;

/// How a cache retains a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Retention {
    /// Retention rank at the cache; 0 passes through uncached.
    pub(crate) rank: u8,
    /// This proxy received a request for the same part within the repeat window.
    pub(crate) requested_recently: bool,
}

/// Estimated lengths of objects, and recently requested parts.
pub(crate) struct TailRetention {
    highest_part: ExpiringMap<u64, u32>,
    /// By object and part: whether the latest request was itself a repeat.
    recent_parts: ExpiringMap<(u64, u32), bool>,
}

impl TailRetention {
    pub(crate) fn new() -> TailRetention {
        TailRetention {
            highest_part: ExpiringMap::new(LENGTH_LIFETIME, MAX_ENTRIES),
            recent_parts: ExpiringMap::new(REPEAT_WINDOW, MAX_ENTRIES),
        }
    }

    /// Records the highest part of an object that other proxies have seen requested.
    pub(crate) fn record_length(&mut self, now: Micros, object: u64, highest_part: u32) {
        let known = self.highest_part.get(now, object).unwrap_or(0);
        self.highest_part
            .insert(now, object, known.max(highest_part));
    }

    /// Records a request and returns how its part is retained.
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
        let rank = if cacheable {
            CACHED_RANK
        } else {
            UNCACHED_RANK
        };
        Retention {
            rank,
            requested_recently,
        }
    }

    /// Whether several proxies scan a new object at the same time. Each next part is then the highest index so far,
    /// so each proxy would pass it through uncached. If caches join fills, one fill serves all of them, cached or
    /// not.
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

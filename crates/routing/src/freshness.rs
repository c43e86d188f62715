//! Freshness: the age of the oldest copy that a request may be served.
//!
//! Rule 5: no copy older than a known invalidation is served. If discovery lags, or if invalidations were missed or
//! evicted because the map was full, any object may have been invalidated in the meantime, so the bound covers all
//! objects.

use crate::expiring_map::ExpiringMap;
use crate::interface::{Micros, Request};
use crate::settings::ClassSettings;
use crate::time::SECOND;

/// Maximum number of invalidations that are remembered.
const MAX_INVALIDATIONS: usize = 50_000;
/// After this time updates from discovery count as received, whether or not they were (the platform's protocol).
const MAX_DISCOVERY_DELAY: Micros = 7 * SECOND;
/// Added to the settle time: a fill that began before an invalidation may still store an old copy.
const FILL_MARGIN: Micros = SECOND;
/// The age bound that selects the freshness lifetime of the class.
const CLASS_DEFAULT: Micros = 0;

/// Key of an invalidation: one object, or none and a group.
type InvalidationKey = (Option<u64>, u32);

/// A bound on the age of all copies, set by the host.
#[derive(Clone, Copy, Default)]
struct CopyBound {
    not_before: Option<Micros>,
    max_age: Option<Micros>,
    received_at: Micros,
}

impl CopyBound {
    /// Copies issued before this moment are not served.
    fn oldest_allowed_copy(&self, now: Micros) -> Option<Micros> {
        self.not_before.max(self.max_age.map(|age| now - age))
    }

    /// Attempts planned before this moment did not take the bound into account.
    fn effective_from(&self) -> Option<Micros> {
        self.not_before.max(self.max_age.map(|_| self.received_at))
    }
}

/// Known invalidations, and the period in which others may have been missed.
pub(crate) struct Freshness {
    invalidated_at: ExpiringMap<InvalidationKey, Micros>,
    /// Whether any invalidation was received or missed. Until then, discovery lag does not reduce hits.
    has_invalidations: bool,
    discovery_lag_since: Option<Micros>,
    copy_bound: CopyBound,
    /// Invalidations up to this moment may be unknown. It is the latest one that was evicted because the map was
    /// full, or the moment at which some were found to be missing.
    unknown_until: ExpiringMap<(), Micros>,
}

impl Freshness {
    /// `settle_time`: how long copies from before an invalidation may still be cached.
    pub(crate) fn new(settle_time: Micros) -> Freshness {
        let lifetime = settle_time + FILL_MARGIN;
        Freshness {
            invalidated_at: ExpiringMap::new(lifetime, MAX_INVALIDATIONS),
            has_invalidations: false,
            discovery_lag_since: None,
            copy_bound: CopyBound::default(),
            unknown_until: ExpiringMap::new(lifetime, 1),
        }
    }

    /// Records that an object or a group was invalidated `age` ago.
    pub(crate) fn invalidate(&mut self, now: Micros, object: Option<u64>, group: u32, age: Micros) {
        let key = (object, if object.is_some() { 0 } else { group });
        let known = self.invalidated_at.get(now, key).unwrap_or(Micros::MIN);
        let evicted = self.invalidated_at.insert(now, key, known.max(now - age));
        if let Some(at) = evicted {
            self.record_unknown(now, at);
        }
        self.has_invalidations = true;
    }

    /// Records that invalidations were permanently missed: any object may have been invalidated up to now.
    pub(crate) fn record_missed(&mut self, now: Micros) {
        self.record_unknown(now, now);
        self.has_invalidations = true;
    }

    /// Records that any object may have been invalidated at this moment. This expires once no older copies can
    /// remain.
    fn record_unknown(&mut self, now: Micros, at: Micros) {
        let known = self.unknown_until.get(now, ());
        self.unknown_until
            .insert(now, (), known.unwrap_or(at).max(at));
    }

    /// Sets the moment since which discovery may be delaying updates.
    pub(crate) fn set_discovery_lag(&mut self, since: Option<Micros>) {
        self.discovery_lag_since = since;
    }

    /// Sets a bound on the age of all copies.
    pub(crate) fn set_copy_bound(
        &mut self,
        now: Micros,
        not_before: Option<Micros>,
        max_age: Option<Micros>,
    ) {
        self.copy_bound = CopyBound {
            not_before,
            max_age,
            received_at: now,
        };
    }

    /// Maximum age of a copy that may be served, with a grace period past the freshness lifetime of its class; 0 for
    /// any age that the class allows.
    pub(crate) fn max_age(
        &self,
        now: Micros,
        request: &Request,
        class: &ClassSettings,
        grace: Micros,
    ) -> Micros {
        let lifetime = class.freshness_lifetime;
        let by_class = (lifetime > 0).then_some(lifetime + grace);
        let oldest_allowed_copy = self
            .latest_invalidation(now, request)
            .max(self.bound_on_all_objects(now));
        // At least 1, because 0 would mean the class's default.
        let by_invalidation = oldest_allowed_copy.map(|at| (now - at).max(1));
        by_invalidation
            .into_iter()
            .chain(by_class)
            .min()
            .unwrap_or(CLASS_DEFAULT)
    }

    /// The latest invalidation or bound that an attempt written now must have taken into account.
    pub(crate) fn latest_bound(&self, now: Micros, request: &Request) -> Option<Micros> {
        let invalidation = self.latest_invalidation(now, request);
        invalidation
            .max(self.copy_bound.effective_from())
            .max(self.unknown_until.get(now, ()))
    }

    /// The latest invalidation of the object or its group, while older copies may remain.
    fn latest_invalidation(&self, now: Micros, request: &Request) -> Option<Micros> {
        let object_invalidation = self.invalidated_at.get(now, (Some(request.object), 0));
        object_invalidation.max(self.invalidated_at.get(now, (None, request.group)))
    }

    /// Copies issued before this moment are not served, whatever their object.
    fn bound_on_all_objects(&self, now: Micros) -> Option<Micros> {
        let is_lagging =
            |since: &Micros| self.has_invalidations && now > since + MAX_DISCOVERY_DELAY;
        let possibly_missed = self
            .discovery_lag_since
            .filter(is_lagging)
            .map(|_| now - MAX_DISCOVERY_DELAY);
        let by_host = self.copy_bound.oldest_allowed_copy(now);
        possibly_missed
            .max(by_host)
            .max(self.unknown_until.get(now, ()))
    }
}

//! Freshness: the oldest copy that a request may be served.
//!
//! Rule 5: nothing older than a known invalidation. Where discovery lags, or invalidations were missed or had to be
//! forgotten for want of capacity, any object may have been invalidated in between, and the bound covers all.

use crate::expiring_map::ExpiringMap;
use crate::interface::{Micros, Request};
use crate::settings::ClassSettings;
use crate::time::SECOND;

/// Invalidations that are remembered.
const CAPACITY: usize = 50_000;
/// After this time news of discovery counts as received, whether or not it was (the platform's protocol).
const DISCOVERY_BOUND: Micros = 7 * SECOND;
/// Beyond the settle time: a fill that began before an invalidation may still bring an old copy.
const FILL_MARGIN: Micros = SECOND;
/// The age bound that lets the freshness lifetime of the class stand.
const CLASS_DEFAULT: Micros = 0;

/// What an invalidation names: one object, or none and a group.
type InvalidationKey = (Option<u64>, u32);

/// A bound that the host sets on all copies.
#[derive(Clone, Copy, Default)]
struct CopyBound {
    not_before: Option<Micros>,
    max_age: Option<Micros>,
    received_at: Micros,
}

impl CopyBound {
    /// Copies issued before this moment are not served.
    fn oldest_copy(&self, now: Micros) -> Option<Micros> {
        self.not_before.max(self.max_age.map(|age| now - age))
    }

    /// What was planned before this moment did not know of the bound.
    fn binds_from(&self) -> Option<Micros> {
        self.not_before.max(self.max_age.map(|_| self.received_at))
    }
}

/// Invalidations, and what may have been missed of them.
pub(crate) struct Freshness {
    invalidated_at: ExpiringMap<InvalidationKey, Micros>,
    /// An invalidation was ever received; without any a lag of discovery costs no hits.
    any_invalidation: bool,
    discovery_lags_since: Option<Micros>,
    copy_bound: CopyBound,
    /// Up to when invalidations may be unknown: the latest that was forgotten for want of capacity, or the moment at
    /// which some were found to be missing.
    unknown_until: ExpiringMap<(), Micros>,
}

impl Freshness {
    /// `settle_time`: how long copies from before an invalidation may lie about.
    pub(crate) fn new(settle_time: Micros) -> Freshness {
        let lifetime = settle_time + FILL_MARGIN;
        Freshness {
            invalidated_at: ExpiringMap::new(lifetime, CAPACITY),
            any_invalidation: false,
            discovery_lags_since: None,
            copy_bound: CopyBound::default(),
            unknown_until: ExpiringMap::new(lifetime, 1),
        }
    }

    /// An object, or a group, was invalidated a while ago.
    pub(crate) fn invalidate(&mut self, now: Micros, object: Option<u64>, group: u32, age: Micros) {
        let key = (object, if object.is_some() { 0 } else { group });
        let known = self.invalidated_at.get(now, key).unwrap_or(Micros::MIN);
        let evicted = self.invalidated_at.insert(now, key, known.max(now - age));
        if let Some(at) = evicted {
            self.bound_unknown(now, at);
        }
        self.any_invalidation = true;
    }

    /// Invalidations are missing for good: any object may have been invalidated up to now.
    pub(crate) fn bound_missed(&mut self, now: Micros) {
        self.bound_unknown(now, now);
        self.any_invalidation = true;
    }

    /// Any object may have been invalidated at this moment, while old copies may lie about.
    fn bound_unknown(&mut self, now: Micros, at: Micros) {
        let known = self.unknown_until.get(now, ());
        self.unknown_until
            .insert(now, (), known.unwrap_or(at).max(at));
    }

    /// Since when discovery may be holding news back.
    pub(crate) fn set_discovery_lag(&mut self, since: Option<Micros>) {
        self.discovery_lags_since = since;
    }

    /// A bound that the host sets on all copies.
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

    /// The age up to which a copy may be served, with some grace past the freshness lifetime of its class; 0 for any
    /// that the class allows.
    pub(crate) fn max_age(
        &self,
        now: Micros,
        request: &Request,
        class: &ClassSettings,
        grace: Micros,
    ) -> Micros {
        let lifetime = class.freshness_lifetime;
        let by_class = (lifetime > 0).then_some(lifetime + grace);
        let oldest_copy = self.invalidation(now, request).max(self.bound_on_all(now));
        // Never 0, which would mean the class's default.
        let by_invalidation = oldest_copy.map(|at| (now - at).max(1));
        by_invalidation
            .into_iter()
            .chain(by_class)
            .min()
            .unwrap_or(CLASS_DEFAULT)
    }

    /// The latest moment of which an attempt that is written now has to have known.
    pub(crate) fn binding_moment(&self, now: Micros, request: &Request) -> Option<Micros> {
        let invalidation = self.invalidation(now, request);
        invalidation
            .max(self.copy_bound.binds_from())
            .max(self.unknown_until.get(now, ()))
    }

    /// The latest invalidation of the object or its group, while old copies may lie about.
    fn invalidation(&self, now: Micros, request: &Request) -> Option<Micros> {
        let of_object = self.invalidated_at.get(now, (Some(request.object), 0));
        of_object.max(self.invalidated_at.get(now, (None, request.group)))
    }

    /// Copies issued before this moment are not served, whatever the object.
    fn bound_on_all(&self, now: Micros) -> Option<Micros> {
        let lags = |since: &Micros| self.any_invalidation && now > since + DISCOVERY_BOUND;
        let possibly_missed = self
            .discovery_lags_since
            .filter(lags)
            .map(|_| now - DISCOVERY_BOUND);
        let by_host = self.copy_bound.oldest_copy(now);
        possibly_missed
            .max(by_host)
            .max(self.unknown_until.get(now, ()))
    }
}

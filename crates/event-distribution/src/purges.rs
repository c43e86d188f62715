//! Purges that still bind, merged and bounded.

use crate::event::{Purge, PurgeKey};
use crate::wire::as_sent;
use crate::{mutant, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A place in the order of purges: by stamp, then by key.
pub type Cursor = (Micros, PurgeKey);

/// The latest purge of each object and group. When there are too many, those with the earliest stamps are dropped and
/// [`PurgeSet::floor`] rises: copies from before it have to be refused, whatever they are of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PurgeSet {
    stamps: BTreeMap<PurgeKey, Micros>,
    order: BTreeSet<Cursor>,
    most: usize,
    keep: Micros,
    floor: Option<Micros>,
    /// The latest stamp that was ever told.
    newest: Option<Micros>,
}

impl PurgeSet {
    pub fn new(most: usize, keep: Micros) -> PurgeSet {
        PurgeSet {
            stamps: BTreeMap::new(),
            order: BTreeSet::new(),
            most,
            keep,
            floor: None,
            newest: None,
        }
    }

    pub fn len(&self) -> usize {
        self.order.len()
    }

    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Copies from before this stamp are to be refused, as purges up to it were dropped for room.
    pub fn floor(&self) -> Option<Micros> {
        self.floor
    }

    /// Raises the floor to what another member had to drop. True if it rose.
    pub fn raise_floor(&mut self, floor: Micros) -> bool {
        let raised = self.floor.is_none_or(|known| floor > known);
        if raised {
            self.floor = Some(floor);
        }
        raised
    }

    /// The latest stamp of a purge of this key.
    pub fn stamp(&self, key: PurgeKey) -> Option<Micros> {
        self.stamps.get(&key).copied()
    }

    /// True if it says more than was known: a later stamp of its key.
    pub fn insert(&mut self, purge: Purge) -> bool {
        let Purge { key, stamp } = purge;
        let stamp = as_sent(stamp);
        self.newest = self.newest.max(Some(stamp));
        let known = self.stamps.get(&key).copied();
        if known.is_some_and(|known| known >= stamp) {
            return false;
        }
        if let Some(known) = known {
            self.order.remove(&(known, key));
        }
        self.stamps.insert(key, stamp);
        self.order.insert((stamp, key));
        self.keep_bound();
        true
    }

    fn keep_bound(&mut self) {
        while self.order.len() > self.most {
            let Some((stamp, key)) = self.order.pop_first() else {
                return;
            };
            self.stamps.remove(&key);
            if !mutant("silent-drop") {
                // A copy from the very moment of the stamp is not older than the purge.
                self.raise_floor(stamp);
            }
        }
    }

    /// Stamps before this one are no longer kept. `now` is Unix time, as stamps are; it is not believed beyond the latest
    /// stamp: where a clock runs ahead of that of the service, nothing is forgotten too early.
    pub fn kept_from(&self, now: Micros) -> Option<Micros> {
        self.newest.map(|newest| newest.min(now) - self.keep)
    }

    /// Forgets those older than what is kept.
    pub fn expire(&mut self, now: Micros) {
        let Some(kept_from) = self.kept_from(now) else {
            return;
        };
        self.floor = self.floor.filter(|floor| *floor >= kept_from);
        while let Some(&(stamp, key)) = self.order.first() {
            if stamp >= kept_from {
                return;
            }
            self.order.remove(&(stamp, key));
            self.stamps.remove(&key);
        }
    }

    /// Those behind a place, earliest stamps first. A purge that is raised while somebody reads on moves towards the end,
    /// so a reader that continues from its last place, here or at another member, misses none.
    pub fn after(&self, cursor: Option<Cursor>) -> impl Iterator<Item = Purge> + '_ {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        self.order
            .range((from, Bound::Unbounded))
            .map(|&(stamp, key)| Purge { key, stamp })
    }
}

//! Purges that still bind, merged and bounded.

use crate::event::{Purge, PurgeKey};
use crate::wire::as_sent;
use crate::{mutant, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// A place in the order of purges: by timestamp, then by key.
pub type Cursor = (Micros, PurgeKey);

/// The latest purge of each object and group. When there are too many, those with the earliest timestamps are dropped and
/// [`PurgeSet::floor`] rises: copies from before it have to be refused, whatever they are of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PurgeSet {
    timestamps: BTreeMap<PurgeKey, Micros>,
    order: BTreeSet<Cursor>,
    most: usize,
    keep: Micros,
    floor: Option<Micros>,
    /// The latest timestamp that was ever told.
    newest: Option<Micros>,
}

impl PurgeSet {
    pub fn new(most: usize, keep: Micros) -> PurgeSet {
        PurgeSet {
            timestamps: BTreeMap::new(),
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

    /// Copies from before this timestamp are to be refused, as purges up to it were dropped for room.
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

    /// The latest timestamp of a purge of this key.
    pub fn timestamp(&self, key: PurgeKey) -> Option<Micros> {
        self.timestamps.get(&key).copied()
    }

    /// True if it says more than was known: a later timestamp of its key.
    pub fn insert(&mut self, purge: Purge) -> bool {
        let Purge { key, timestamp } = purge;
        let timestamp = as_sent(timestamp);
        self.newest = self.newest.max(Some(timestamp));
        let known = self.timestamps.get(&key).copied();
        if known.is_some_and(|known| known >= timestamp) {
            return false;
        }
        if let Some(known) = known {
            self.order.remove(&(known, key));
        }
        self.timestamps.insert(key, timestamp);
        self.order.insert((timestamp, key));
        self.keep_bound();
        true
    }

    fn keep_bound(&mut self) {
        while self.order.len() > self.most {
            let Some((timestamp, key)) = self.order.pop_first() else {
                return;
            };
            self.timestamps.remove(&key);
            if !mutant("silent-drop") {
                // A copy from the very moment of the timestamp is not older than the purge.
                self.raise_floor(timestamp);
            }
        }
    }

    /// Stamps before this one are no longer kept. `now` is Unix time, as timestamps are; it is not believed beyond the latest
    /// timestamp: where a clock runs ahead of that of the service, nothing is forgotten too early.
    pub fn kept_from(&self, now: Micros) -> Option<Micros> {
        self.newest.map(|newest| newest.min(now) - self.keep)
    }

    /// Forgets those older than what is kept.
    pub fn expire(&mut self, now: Micros) {
        let Some(kept_from) = self.kept_from(now) else {
            return;
        };
        self.floor = self.floor.filter(|floor| *floor >= kept_from);
        while let Some(&(timestamp, key)) = self.order.first() {
            if timestamp >= kept_from {
                return;
            }
            self.order.remove(&(timestamp, key));
            self.timestamps.remove(&key);
        }
    }

    /// Those behind a place, earliest timestamps first. A purge that is raised while somebody reads on moves towards the end,
    /// so a reader that continues from its last place, here or at another member, misses none.
    pub fn after(&self, cursor: Option<Cursor>) -> impl Iterator<Item = Purge> + '_ {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        self.order
            .range((from, Bound::Unbounded))
            .map(|&(timestamp, key)| Purge { key, timestamp })
    }
}

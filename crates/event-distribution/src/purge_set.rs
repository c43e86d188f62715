//! Purges in force, merged by key and bounded.
//!
//! Invariants: `timestamps` and `order` hold the same purges, one for each key, the latest; there are `max_len` at most;
//! whatever was dropped for that bound is covered by `floor`.

use crate::event::{Purge, PurgeCursor, PurgeKey};
use crate::timestamp;
use crate::{mutant, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The latest purge of each object and group. When there are too many, those with the earliest timestamps are dropped and
/// [`PurgeSet::floor`] rises: copies from before it have to be refused, whatever they are of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PurgeSet {
    timestamps: BTreeMap<PurgeKey, Micros>,
    order: BTreeSet<PurgeCursor>,
    max_len: usize,
    retention: Micros,
    floor: Option<Micros>,
    /// The latest timestamp that ever came.
    newest: Option<Micros>,
}

impl PurgeSet {
    /// For at most so many purges, each stored for so long.
    pub fn new(max_len: usize, retention: Micros) -> PurgeSet {
        PurgeSet {
            timestamps: BTreeMap::new(),
            order: BTreeSet::new(),
            max_len,
            retention,
            floor: None,
            newest: None,
        }
    }

    /// Purges in force.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are none.
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

    /// True if it is new: a later timestamp of its key.
    pub fn insert(&mut self, purge: Purge) -> bool {
        let purge = Purge {
            timestamp: timestamp::as_sent(purge.timestamp),
            ..purge
        };
        self.newest = self.newest.max(Some(purge.timestamp));
        let known = self.timestamp(purge.key);
        if known.is_some_and(|known| known >= purge.timestamp) {
            return false;
        }
        if let Some(timestamp) = known {
            let former = Purge { timestamp, ..purge };
            self.order.remove(&former.cursor());
        }
        self.timestamps.insert(purge.key, purge.timestamp);
        self.order.insert(purge.cursor());
        self.enforce_bound();
        true
    }

    fn enforce_bound(&mut self) {
        while self.order.len() > self.max_len {
            let Some(dropped) = self.order.pop_first() else {
                return;
            };
            self.timestamps.remove(&dropped.key);
            if !mutant("silent-drop") {
                // A copy from the very moment of the timestamp is not older than the purge.
                self.raise_floor(dropped.timestamp);
            }
        }
    }

    /// Timestamps before this one are no longer stored. `now` is Unix time, as timestamps are, and counts up to the latest
    /// timestamp only: where a clock runs ahead of that of the service, nothing is removed too early.
    pub fn retained_from(&self, now: Micros) -> Option<Micros> {
        self.newest.map(|newest| newest.min(now) - self.retention)
    }

    /// Removes purges older than what is retained.
    pub fn expire(&mut self, now: Micros) {
        let Some(retained_from) = self.retained_from(now) else {
            return;
        };
        self.floor = self.floor.filter(|floor| *floor >= retained_from);
        while let Some(&oldest) = self.order.first() {
            if oldest.timestamp >= retained_from {
                return;
            }
            self.order.remove(&oldest);
            self.timestamps.remove(&oldest.key);
        }
    }

    /// Those behind a place, earliest timestamps first. A purge that is raised while somebody reads on moves towards the
    /// end, so a reader that continues from its last place, here or at another member, misses none.
    pub fn after(&self, cursor: Option<PurgeCursor>) -> impl Iterator<Item = Purge> + '_ {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        self.order
            .range((from, Bound::Unbounded))
            .map(|&PurgeCursor { timestamp, key }| Purge { key, timestamp })
    }
}

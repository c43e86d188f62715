//! The purges in force, merged by key and bounded.
//!
//! Invariants: `timestamps` and `order` contain the same purges, the latest one of each key; there are at most
//! `max_len`; `floor` covers all purges that were dropped to stay within that bound.

use crate::event::{Purge, PurgeCursor, PurgeKey};
use crate::timestamp;
use crate::{mutant, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// The latest purge of each object and group. If there are too many, those with the earliest timestamps are dropped and
/// [`PurgeSet::floor`] rises. All copies from before the floor have to be refused, whatever their key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PurgeSet {
    timestamps: BTreeMap<PurgeKey, Micros>,
    order: BTreeSet<PurgeCursor>,
    max_len: usize,
    retention: Micros,
    floor: Option<Micros>,
    /// The latest timestamp of all purges that were inserted.
    newest: Option<Micros>,
}

impl PurgeSet {
    /// Creates an empty set for at most `max_len` purges, each of which is stored for the `retention` period.
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

    /// Number of purges in force.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the set has no purges.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Copies from before this timestamp have to be refused, because purges up to it may be missing: they were dropped
    /// to stay within the bound, or the publisher never received them.
    pub fn floor(&self) -> Option<Micros> {
        self.floor
    }

    /// Raises the floor to at least this timestamp, for example that of another member. Returns whether it rose.
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

    /// Inserts a purge. Returns whether its timestamp is later than the known one of its key.
    pub fn insert(&mut self, purge: Purge) -> bool {
        let purge = Purge {
            timestamp: timestamp::round_to_wire(purge.timestamp),
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
                // A copy from exactly this timestamp is not older than the purge and stays valid.
                self.raise_floor(dropped.timestamp);
            }
        }
    }

    /// Purges with timestamps before the returned one are no longer stored. `now` is Unix time, like the timestamps,
    /// and is capped at the latest timestamp: if the local clock is ahead of the clock of the service that issues
    /// purges, no purge is removed too early.
    pub fn retained_from(&self, now: Micros) -> Option<Micros> {
        self.newest.map(|newest| newest.min(now) - self.retention)
    }

    /// Removes purges, and the floor, once they are older than the retention period.
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

    /// The purges after a position, in the order of their timestamps. A purge that gets a later timestamp during
    /// iteration moves towards the end, so a reader that continues from its last position, at this member or at another
    /// one, misses none.
    pub fn after(&self, cursor: Option<PurgeCursor>) -> impl Iterator<Item = Purge> + '_ {
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        self.order
            .range((from, Bound::Unbounded))
            .map(|&PurgeCursor { timestamp, key }| Purge { key, timestamp })
    }
}

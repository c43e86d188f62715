//! Tombstones of forgotten members. They store the start of each forgotten process, so that old messages do not add the
//! process to the view again.
//!
//! Invariants: no name has both a member and a tombstone; a tombstone covers its start and all earlier starts; the
//! number of tombstones is bounded, and the oldest are dropped first.

use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of tombstones, as a multiple of the maximum number of members.
const CAPACITY_FACTOR: usize = 2;

#[derive(Clone, Debug)]
struct Tombstone {
    start: u64,
    forgotten_at: Micros,
}

/// The tombstones of forgotten members, by name.
#[derive(Clone, Debug)]
pub(super) struct Tombstones {
    tombstones: BTreeMap<String, Tombstone>,
    capacity: usize,
}

impl Tombstones {
    pub(super) fn new(max_members: usize) -> Tombstones {
        Tombstones {
            tombstones: BTreeMap::new(),
            capacity: CAPACITY_FACTOR * max_members,
        }
    }

    /// The start of the forgotten process with this name.
    pub(super) fn start_of(&self, name: &str) -> Option<u64> {
        self.tombstones.get(name).map(|tombstone| tombstone.start)
    }

    /// Whether this process, or a later one with its name, was forgotten.
    pub(super) fn covers(&self, name: &str, start: u64) -> bool {
        self.start_of(name)
            .is_some_and(|forgotten| start <= forgotten)
    }

    pub(super) fn insert(&mut self, name: &str, start: u64, now: Micros) {
        self.tombstones.insert(
            name.into(),
            Tombstone {
                start,
                forgotten_at: now,
            },
        );
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.tombstones.remove(name);
    }

    /// Drops the oldest tombstones in excess of the capacity.
    pub(super) fn drop_oldest(&mut self) {
        while self.tombstones.len() > self.capacity {
            let oldest = self
                .tombstones
                .iter()
                .min_by_key(|(_, tombstone)| tombstone.forgotten_at);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                return;
            };
            self.tombstones.remove(&name);
        }
    }
}

//! Tombstones of forgotten members: the start of each, so that no old message brings that process back.
//!
//! Invariants: a name is either a member or has a tombstone; a tombstone covers its start and all earlier ones; their
//! number is bounded, and the oldest are dropped first.

use crate::Micros;
use std::collections::BTreeMap;

/// Most tombstones, as a multiple of the members that there may be.
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

    /// The start of the process that was forgotten under this name.
    pub(super) fn start_of(&self, name: &str) -> Option<u64> {
        self.tombstones.get(name).map(|tombstone| tombstone.start)
    }

    /// Whether this process, or a later one of its name, was forgotten.
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

    /// Drops the oldest ones above the capacity.
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

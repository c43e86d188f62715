//! A map whose entries are bounded by age and by number.

use crate::interface::Micros;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Entries expire after a lifetime; beyond the capacity the oldest insertions are evicted first.
///
/// Invariants: `order` has one element for each insertion that is neither expired nor evicted, oldest first, and at
/// most `capacity` elements. An entry is removed from `entries` together with the element of its latest insertion,
/// and with no other. A number identifies each insertion, because several may have the same time.
pub(crate) struct ExpiringMap<K, V> {
    entries: HashMap<K, Entry<V>>,
    order: VecDeque<Insertion<K>>,
    next_number: u64,
    lifetime: Micros,
    capacity: usize,
}

/// The value of a key, from its latest insertion.
struct Entry<V> {
    number: u64,
    inserted_at: Micros,
    value: V,
}

/// One insertion of a key.
struct Insertion<K> {
    number: u64,
    at: Micros,
    key: K,
}

impl<K: Copy + Eq + Hash, V: Copy> ExpiringMap<K, V> {
    pub(crate) fn new(lifetime: Micros, capacity: usize) -> Self {
        ExpiringMap {
            entries: HashMap::new(),
            order: VecDeque::new(),
            next_number: 0,
            lifetime,
            capacity,
        }
    }

    /// Inserts or renews an entry. Returns the value that was evicted before the end of its lifetime, if any: an
    /// insertion evicts at most one such entry, and never its own.
    pub(crate) fn insert(&mut self, now: Micros, key: K, value: V) -> Option<V> {
        let number = self.next_number;
        self.next_number += 1;
        let entry = Entry {
            number,
            inserted_at: now,
            value,
        };
        self.entries.insert(key, entry);
        self.order.push_back(Insertion {
            number,
            at: now,
            key,
        });
        self.remove_expired(now);
        if self.order.len() > self.capacity {
            self.remove_oldest()
        } else {
            None
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        let lifetime = self.lifetime;
        let expired = |insertion: &Insertion<K>| insertion.at + lifetime < now;
        while self.order.front().is_some_and(expired) {
            self.remove_oldest();
        }
    }

    /// Removes the oldest insertion, and its entry if it was not renewed since. Returns the value of a removed entry.
    fn remove_oldest(&mut self) -> Option<V> {
        let oldest = self.order.pop_front()?;
        let renewed = self
            .entries
            .get(&oldest.key)
            .is_some_and(|entry| entry.number != oldest.number);
        if renewed {
            return None;
        }
        self.entries.remove(&oldest.key).map(|entry| entry.value)
    }

    /// The value of an entry whose lifetime has not ended.
    pub(crate) fn get(&self, now: Micros, key: K) -> Option<V> {
        let entry = self.entries.get(&key)?;
        (entry.inserted_at + self.lifetime >= now).then_some(entry.value)
    }
}

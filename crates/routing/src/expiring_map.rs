//! A map that is bounded by age and by number of entries.

use crate::interface::Micros;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Entries expire after a lifetime; beyond the capacity the oldest go first.
///
/// Invariant: `order` holds one element for each insertion that is neither expired nor evicted, oldest first; an entry
/// is removed from `entries` with the element of its latest insertion.
pub(crate) struct ExpiringMap<K, V> {
    entries: HashMap<K, (Micros, V)>,
    order: VecDeque<(Micros, K)>,
    lifetime: Micros,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, V: Copy> ExpiringMap<K, V> {
    pub(crate) fn new(lifetime: Micros, capacity: usize) -> Self {
        ExpiringMap {
            entries: HashMap::new(),
            order: VecDeque::new(),
            lifetime,
            capacity,
        }
    }

    /// Inserts or renews an entry. Returns the value of the first entry that had to go before its lifetime was over; an
    /// insertion evicts more than one only where expired ones go with it.
    ///
    /// With a capacity of one, a second insertion at the same moment evicts the entry itself (KNOWN-RED.txt).
    pub(crate) fn insert(&mut self, now: Micros, key: K, value: V) -> Option<V> {
        self.entries.insert(key, (now, value));
        self.order.push_back((now, key));
        let mut evicted = None;
        while self.expired(now) || self.order.len() > self.capacity {
            let Some((inserted_at, oldest)) = self.order.pop_front() else {
                break;
            };
            let current = self.entries.get(&oldest).copied();
            if let Some((_, value)) = current.filter(|(at, _)| *at == inserted_at) {
                self.entries.remove(&oldest);
                let early = inserted_at + self.lifetime >= now;
                evicted = evicted.or(Some(value).filter(|_| early));
            }
        }
        evicted
    }

    fn expired(&self, now: Micros) -> bool {
        self.order
            .front()
            .is_some_and(|(at, _)| at + self.lifetime < now)
    }

    /// The value of an entry whose lifetime is not over.
    pub(crate) fn get(&self, now: Micros, key: K) -> Option<V> {
        let (inserted_at, value) = self.entries.get(&key)?;
        (inserted_at + self.lifetime >= now).then_some(*value)
    }
}

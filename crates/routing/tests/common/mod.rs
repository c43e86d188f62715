//! Shared by the closed-loop models of fleets: settings, pseudo-random numbers, and a queue of scheduled events.

mod settings;

pub(crate) use settings::settings;

use meadowrill_routing::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A sequence of pseudo-random numbers; the same seed gives the same sequence.
pub(crate) struct Random {
    pub seed: u64,
    pub generated: u64,
}

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random { seed, generated: 0 }
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub(crate) fn fraction(&mut self) -> f64 {
        self.generated += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.generated).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A queue of events in order of time; events of the same time keep their order of insertion.
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    sequence: u64,
}

impl<T: Ord> EventQueue<T> {
    pub(crate) fn new() -> EventQueue<T> {
        EventQueue {
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Micros, event: T) {
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, event)));
    }

    /// Removes the next event that is due before `end`.
    pub(crate) fn pop_before(&mut self, end: Micros) -> Option<(Micros, T)> {
        let due = self.heap.peek().is_some_and(|Reverse((at, ..))| *at < end);
        let event = due.then(|| self.heap.pop()).flatten();
        event.map(|Reverse((at, _, event))| (at, event))
    }
}

//! What the closed models of fleets share: settings, draws, and a queue of what comes next.

mod settings;

pub(crate) use settings::settings;

use meadowrill_routing::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The same from the same seed.
pub(crate) struct Draws {
    pub seed: u64,
    pub drawn: u64,
}

impl Draws {
    pub(crate) fn new(seed: u64) -> Draws {
        Draws { seed, drawn: 0 }
    }

    /// From 0 up to, but not 1.
    pub(crate) fn next(&mut self) -> f64 {
        self.drawn += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// In order of time, and of coming where that is the same.
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    serial: u64,
}

impl<T: Ord> Queue<T> {
    pub(crate) fn new() -> Queue<T> {
        Queue {
            heap: BinaryHeap::new(),
            serial: 0,
        }
    }

    pub(crate) fn put(&mut self, at: Micros, next: T) {
        self.serial += 1;
        self.heap.push(Reverse((at, self.serial, next)));
    }

    /// The next that is due before `end`.
    pub(crate) fn take(&mut self, end: Micros) -> Option<(Micros, T)> {
        let due = self.heap.peek().is_some_and(|Reverse((at, ..))| *at < end);
        let next = due.then(|| self.heap.pop()).flatten();
        next.map(|Reverse((at, _, next))| (at, next))
    }
}

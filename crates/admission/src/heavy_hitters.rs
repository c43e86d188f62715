//! Finds the heavy hitters among any number of keys with a fixed number of counters. The algorithm is Space-Saving
//! (Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams", 2005).
//!
//! Invariants: a count is never too low, and is too high by at most `error`; a key with more than one in [`COUNTERS`]
//! of all occurrences has a counter.

use meadowrill_routing::interface::Micros;

/// Number of keys that are counted at the same time.
pub const COUNTERS: usize = 32;
/// Interval at which counts are halved, so that former heavy hitters age out.
const HALVING_INTERVAL: Micros = 2_000_000;
/// Upper bound of the halvings applied at once: the largest valid shift of a `u32`. More halvings would reduce every
/// count to zero.
const MAX_HALVINGS: Micros = 31;

/// The counter of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// The key that is counted.
    pub key: u64,
    /// Upper bound of the number of occurrences of the key.
    pub count: u32,
    /// Maximum amount by which the count is too high.
    pub error: u32,
}

impl Counter {
    /// Returns a lower bound of the number of occurrences of the key.
    pub fn guaranteed(&self) -> u32 {
        self.count - self.error
    }
}

/// Space-Saving counters whose counts decay.
#[derive(Clone)]
pub struct HeavyHitters {
    counters: [Counter; COUNTERS],
    total: u32,
    last_halved: Micros,
}

impl HeavyHitters {
    /// Creates counters without any occurrences.
    pub fn new(now: Micros) -> HeavyHitters {
        HeavyHitters {
            counters: [Counter::default(); COUNTERS],
            total: 0,
            last_halved: now,
        }
    }

    /// Counts an occurrence of `key`, and returns the guaranteed count of the key.
    pub fn record(&mut self, now: Micros, key: u64) -> u32 {
        if now - self.last_halved >= HALVING_INTERVAL {
            self.halve(now);
        }
        self.total = self.total.saturating_add(1);
        let mut smallest = 0;
        for index in 0..COUNTERS {
            let counter = &mut self.counters[index];
            if counter.key == key && counter.count > 0 {
                counter.count = counter.count.saturating_add(1);
                return counter.guaranteed();
            }
            if self.counters[index].count < self.counters[smallest].count {
                smallest = index;
            }
        }
        let replaced_count = self.counters[smallest].count;
        self.counters[smallest] = Counter {
            key,
            count: replaced_count.saturating_add(1),
            error: replaced_count,
        };
        self.counters[smallest].guaranteed()
    }

    fn halve(&mut self, now: Micros) {
        let halvings = ((now - self.last_halved) / HALVING_INTERVAL).min(MAX_HALVINGS) as u32;
        self.last_halved = now;
        self.total >>= halvings;
        for counter in &mut self.counters {
            // The guaranteed count is rounded down, so that it stays a lower bound.
            let guaranteed = counter.guaranteed() >> halvings;
            counter.count >>= halvings;
            counter.error = counter.count - guaranteed.min(counter.count);
        }
    }

    /// Returns a lower bound of the number of occurrences of `key`, which is 0 if `key` has no counter.
    pub fn guaranteed(&self, key: u64) -> u32 {
        let counter = self
            .counters
            .iter()
            .find(|counter| counter.key == key && counter.count > 0);
        counter.map_or(0, Counter::guaranteed)
    }

    /// Returns the number of occurrences of all keys, which is halved together with the counts.
    pub fn total(&self) -> u32 {
        self.total
    }
}

#[cfg(test)]
mod tests;

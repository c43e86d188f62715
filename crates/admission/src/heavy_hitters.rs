//! The heavy hitters among any number of keys, in a fixed number of counters: Space-Saving (Metwally, Agrawal, El Abbadi,
//! "Efficient Computation of Frequent and Top-k Elements in Data Streams", 2005).
//!
//! Invariants: a count is never too low, and too high by no more than `error`; a key with more than one in [`COUNTERS`] of
//! all records has a counter.

use meadowrill_routing::interface::Micros;

/// Number of keys that are counted at a time.
pub const COUNTERS: usize = 32;
/// Counts are halved this often, so that a former heavy hitter ages out.
const HALVING_INTERVAL: Micros = 2_000_000;
/// More halvings than this leave nothing of any count.
const MAX_HALVINGS: Micros = 31;

/// The counter of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counter {
    /// The key that is counted.
    pub key: u64,
    /// Upper bound of how often it was recorded.
    pub count: u32,
    /// By how much the count may be too high.
    pub error: u32,
}

impl Counter {
    /// How often the key was recorded at least.
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
    /// Counters of nothing yet.
    pub fn new(now: Micros) -> HeavyHitters {
        HeavyHitters {
            counters: [Counter::default(); COUNTERS],
            total: 0,
            last_halved: now,
        }
    }

    /// Counts one occurrence of `key`, and returns its guaranteed count.
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
        let former = self.counters[smallest].count;
        self.counters[smallest] = Counter {
            key,
            count: former.saturating_add(1),
            error: former,
        };
        self.counters[smallest].guaranteed()
    }

    fn halve(&mut self, now: Micros) {
        let halvings = ((now - self.last_halved) / HALVING_INTERVAL).min(MAX_HALVINGS) as u32;
        self.last_halved = now;
        self.total >>= halvings;
        for counter in &mut self.counters {
            // Rounded down, so that what is guaranteed stays so.
            let guaranteed = counter.guaranteed() >> halvings;
            counter.count >>= halvings;
            counter.error = counter.count - guaranteed.min(counter.count);
        }
    }

    /// How often `key` was recorded at least; 0 where it has no counter.
    pub fn guaranteed(&self, key: u64) -> u32 {
        let counter = self
            .counters
            .iter()
            .find(|counter| counter.key == key && counter.count > 0);
        counter.map_or(0, Counter::guaranteed)
    }

    /// Records of all keys, halved with the counts.
    pub fn total(&self) -> u32 {
        self.total
    }
}

#[cfg(test)]
mod tests;

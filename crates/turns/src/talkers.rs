//! The heaviest talkers among any number of names, held in a fixed number of counters (Metwally, Agrawal, El Abbadi,
//! "Efficient Computation of Frequent and Top-k Elements in Data Streams": Space-Saving). A name's count is never too
//! low, and too high by no more than `error`; whoever asks more than one in [`COUNTERS`] is among them for certain.

use meadowrill_core::interface::Micros;

pub const COUNTERS: usize = 32;
/// Counts are halved this often: who was loud once is not for ever.
const HALVED: Micros = 2_000_000;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub key: u64,
    pub count: u32,
    pub error: u32,
}

impl Count {
    pub fn sure(&self) -> u32 {
        self.count - self.error
    }
}

#[derive(Clone)]
pub struct Talkers {
    counts: [Count; COUNTERS],
    total: u32,
    halved_at: Micros,
}

impl Talkers {
    pub fn new(now: Micros) -> Talkers {
        Talkers { counts: [Count::default(); COUNTERS], total: 0, halved_at: now }
    }

    /// Counts one of `key`, and tells how often it came for certain.
    pub fn heard(&mut self, now: Micros, key: u64) -> u32 {
        if now - self.halved_at >= HALVED {
            self.halve(now);
        }
        self.total = self.total.saturating_add(1);
        let mut least = 0;
        for at in 0..COUNTERS {
            if self.counts[at].key == key && self.counts[at].count > 0 {
                let count = &mut self.counts[at];
                count.count = count.count.saturating_add(1);
                return count.sure();
            }
            if self.counts[at].count < self.counts[least].count {
                least = at;
            }
        }
        let former = self.counts[least].count;
        self.counts[least] = Count { key, count: former.saturating_add(1), error: former };
        self.counts[least].sure()
    }

    fn halve(&mut self, now: Micros) {
        // After a long silence nothing is left to halve.
        let times = ((now - self.halved_at) / HALVED).min(31) as u32;
        self.halved_at = now;
        self.total >>= times;
        for c in &mut self.counts {
            // Sure counts are halved downwards, so they stay sure.
            let sure = c.sure() >> times;
            c.count >>= times;
            c.error = c.count - sure.min(c.count);
        }
    }

    pub fn sure(&self, key: u64) -> u32 {
        self.counts.iter().find(|c| c.key == key && c.count > 0).map_or(0, Count::sure)
    }

    /// How often anybody was heard, halved with the counts.
    pub fn total(&self) -> u32 {
        self.total
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_loud_one_is_found_among_a_hundred_thousand_names() {
        let mut talkers = Talkers::new(0);
        for n in 0..100_000u64 {
            talkers.heard(0, 1_000_000 + n);
            if n % 9 == 0 {
                talkers.heard(0, 7);
            }
        }
        // A tenth of all: counted, and never too high.
        assert!((1..=11_112).contains(&talkers.sure(7)), "{}", talkers.sure(7));
        assert!(talkers.sure(7) > 11_112 / 2);
        assert!(talkers.sure(1_000_000) == 0);
    }

    #[test]
    fn who_falls_silent_is_forgotten() {
        let mut talkers = Talkers::new(0);
        assert_eq!((0..1000).map(|_| talkers.heard(0, 7)).last(), Some(1000));
        talkers.heard(HALVED * 40, 8);
        assert_eq!((talkers.sure(7), talkers.sure(8)), (0, 1));
    }
}

//! What was told, who knows it, and since when it is said to be in force.

use meadowrill_event_distribution::event::{Purge, PurgeKey};
use meadowrill_event_distribution::Micros;
use std::collections::HashMap;

/// A purge that was told to the service, and when the publisher said that it is in force everywhere.
pub(crate) struct Told {
    pub purge: Purge,
    pub at: Micros,
    pub done: Option<Micros>,
    /// The publisher has run and heard the service all the while since then.
    pub is_timed: bool,
}

/// All purges of a run, in the order in which they were told.
#[derive(Default)]
pub(crate) struct History {
    pub told: Vec<Told>,
    of_key: HashMap<PurgeKey, Vec<usize>>,
    /// No earlier one is timed and not done.
    timed_from: usize,
}

impl History {
    pub(crate) fn push(&mut self, purge: Purge, at: Micros, is_timed: bool) {
        self.of_key
            .entry(purge.key)
            .or_default()
            .push(self.told.len());
        self.told.push(Told {
            purge,
            at,
            done: None,
            is_timed,
        });
    }

    /// Those that a purge with this timestamp covers.
    pub(crate) fn covered_by(&self, purge: Purge) -> impl Iterator<Item = usize> + '_ {
        let of_key = self.of_key.get(&purge.key).into_iter().flatten().copied();
        of_key.filter(move |at| self.told[*at].purge.timestamp <= purge.timestamp)
    }

    /// Those that are done with this one, and were not before.
    pub(crate) fn finish(&mut self, purge: Purge, now: Micros) -> Vec<usize> {
        let same = self.of_key.get(&purge.key).into_iter().flatten().copied();
        let open = same.filter(|at| self.told[*at].purge == purge && self.told[*at].done.is_none());
        let finished: Vec<usize> = open.collect();
        finished
            .iter()
            .for_each(|at| self.told[*at].done = Some(now));
        finished
    }

    /// The publisher or the service failed: what is not done yet may take longer.
    pub(crate) fn stop_timing(&mut self) {
        for told in self.told[self.timed_from..]
            .iter_mut()
            .filter(|told| told.done.is_none())
        {
            told.is_timed = false;
        }
    }

    /// The first one that is timed and not done.
    pub(crate) fn first_open(&mut self) -> Option<&Told> {
        while self
            .told
            .get(self.timed_from)
            .is_some_and(|told| told.done.is_some() || !told.is_timed)
        {
            self.timed_from += 1;
        }
        self.told.get(self.timed_from)
    }

    /// How long each took that was timed.
    pub(crate) fn spans(&self) -> impl Iterator<Item = Micros> + '_ {
        self.told
            .iter()
            .filter(|told| told.is_timed)
            .filter_map(|told| Some(told.done? - told.at))
    }
}

/// Which purges of the history one member has applied.
#[derive(Default)]
pub(crate) struct Known {
    bits: Vec<u64>,
    /// Done, but neither known nor covered by what this member refuses: it may not serve copies from before them.
    pub lacking: Vec<usize>,
    /// It knows all before this one, or refuses what they are about.
    pub prefix: usize,
}

impl Known {
    pub(crate) fn insert(&mut self, at: usize) {
        if self.bits.len() <= at / 64 {
            self.bits.resize(at / 64 + 1, 0);
        }
        self.bits[at / 64] |= 1 << (at % 64);
    }

    pub(crate) fn contains(&self, at: usize) -> bool {
        self.bits
            .get(at / 64)
            .is_some_and(|word| word & 1 << (at % 64) != 0)
    }
}

//! Purges published, which members know them, and when each was announced as in force.

use meadowrill_event_distribution::event::{Purge, PurgeKey};
use meadowrill_event_distribution::Micros;
use std::collections::HashMap;

/// A purge that was published, and when the publisher announced it as in force everywhere.
pub(crate) struct PublishedPurge {
    pub purge: Purge,
    pub at: Micros,
    pub done: Option<Micros>,
    /// The publisher has run and been in touch with the service all the while since then.
    pub is_timed: bool,
}

/// All purges of a run, in the order of publication.
#[derive(Default)]
pub(crate) struct History {
    pub published: Vec<PublishedPurge>,
    of_key: HashMap<PurgeKey, Vec<usize>>,
    /// No earlier one is timed and not done.
    timed_from: usize,
}

impl History {
    pub(crate) fn push(&mut self, purge: Purge, at: Micros, is_timed: bool) {
        self.of_key
            .entry(purge.key)
            .or_default()
            .push(self.published.len());
        self.published.push(PublishedPurge {
            purge,
            at,
            done: None,
            is_timed,
        });
    }

    /// Those that a purge with this timestamp covers.
    pub(crate) fn covered_by(&self, purge: Purge) -> impl Iterator<Item = usize> + '_ {
        let of_key = self.of_key.get(&purge.key).into_iter().flatten().copied();
        of_key.filter(move |at| self.published[*at].purge.timestamp <= purge.timestamp)
    }

    /// Those that are done with this one, and were not before.
    pub(crate) fn finish(&mut self, purge: Purge, now: Micros) -> Vec<usize> {
        let same = self.of_key.get(&purge.key).into_iter().flatten().copied();
        let open = same
            .filter(|at| self.published[*at].purge == purge && self.published[*at].done.is_none());
        let finished: Vec<usize> = open.collect();
        finished
            .iter()
            .for_each(|at| self.published[*at].done = Some(now));
        finished
    }

    /// The publisher or the service failed: what is not done yet may take longer.
    pub(crate) fn stop_timing(&mut self) {
        for published in self.published[self.timed_from..]
            .iter_mut()
            .filter(|published| published.done.is_none())
        {
            published.is_timed = false;
        }
    }

    /// The first one that is timed and not done.
    pub(crate) fn first_open(&mut self) -> Option<&PublishedPurge> {
        while self
            .published
            .get(self.timed_from)
            .is_some_and(|published| published.done.is_some() || !published.is_timed)
        {
            self.timed_from += 1;
        }
        self.published.get(self.timed_from)
    }

    /// How long each took that was timed.
    pub(crate) fn spans(&self) -> impl Iterator<Item = Micros> + '_ {
        self.published
            .iter()
            .filter(|published| published.is_timed)
            .filter_map(|published| Some(published.done? - published.at))
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

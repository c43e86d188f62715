//! The purges that were published, the members that know them, and when each was announced as in force.

use meadowrill_event_distribution::event::{Purge, PurgeKey};
use meadowrill_event_distribution::Micros;
use std::collections::HashMap;

/// A purge that was published.
pub(crate) struct PublishedPurge {
    pub purge: Purge,
    pub published_at: Micros,
    /// When the publisher announced the purge as in force everywhere.
    pub in_force_at: Option<Micros>,
    /// Whether the publisher was running, connected to the event source and in the same epoch from the publication
    /// until the purge was in force.
    pub is_timed: bool,
}

/// All purges of a run, in the order of publication.
#[derive(Default)]
pub(crate) struct History {
    pub published: Vec<PublishedPurge>,
    by_key: HashMap<PurgeKey, Vec<usize>>,
    /// Every timed purge before this index is in force.
    first_open: usize,
}

impl History {
    pub(crate) fn push(&mut self, purge: Purge, published_at: Micros, is_timed: bool) {
        self.by_key
            .entry(purge.key)
            .or_default()
            .push(self.published.len());
        self.published.push(PublishedPurge {
            purge,
            published_at,
            in_force_at: None,
            is_timed,
        });
    }

    /// Indexes of the purges of the same key that a purge with this timestamp covers.
    pub(crate) fn covered_by(&self, purge: Purge) -> impl Iterator<Item = usize> + '_ {
        let same_key = self.by_key.get(&purge.key).into_iter().flatten().copied();
        same_key.filter(move |index| self.published[*index].purge.timestamp <= purge.timestamp)
    }

    /// Marks a purge as in force. Returns the indexes of the purges that were not in force before.
    pub(crate) fn mark_in_force(&mut self, purge: Purge, now: Micros) -> Vec<usize> {
        let same_key = self.by_key.get(&purge.key).into_iter().flatten().copied();
        let open = same_key.filter(|index| {
            self.published[*index].purge == purge && self.published[*index].in_force_at.is_none()
        });
        let finished: Vec<usize> = open.collect();
        finished
            .iter()
            .for_each(|index| self.published[*index].in_force_at = Some(now));
        finished
    }

    /// Stops timing purges that are not in force yet. They may take longer, because the publisher or the event source
    /// has failed, or an epoch has started.
    pub(crate) fn stop_timing(&mut self) {
        for published in self.published[self.first_open..]
            .iter_mut()
            .filter(|published| published.in_force_at.is_none())
        {
            published.is_timed = false;
        }
    }

    /// The first timed purge that is not in force.
    pub(crate) fn first_open_purge(&mut self) -> Option<&PublishedPurge> {
        while self
            .published
            .get(self.first_open)
            .is_some_and(|published| published.in_force_at.is_some() || !published.is_timed)
        {
            self.first_open += 1;
        }
        self.published.get(self.first_open)
    }

    /// The time from publication until in force everywhere, of each timed purge.
    pub(crate) fn times_to_in_force(&self) -> impl Iterator<Item = Micros> + '_ {
        self.published
            .iter()
            .filter(|published| published.is_timed)
            .filter_map(|published| Some(published.in_force_at? - published.published_at))
    }
}

/// The purges of the history that one member has applied.
#[derive(Default)]
pub(crate) struct Known {
    bits: Vec<u64>,
    /// Purges in force that this member may not have applied: it must not serve copies from before them.
    pub missing: Vec<usize>,
    /// For each purge before this index, the member has applied it or refuses the copies that it invalidates.
    pub covered_prefix: usize,
}

impl Known {
    pub(crate) fn insert(&mut self, index: usize) {
        if self.bits.len() <= index / 64 {
            self.bits.resize(index / 64 + 1, 0);
        }
        self.bits[index / 64] |= 1 << (index % 64);
    }

    pub(crate) fn contains(&self, index: usize) -> bool {
        self.bits
            .get(index / 64)
            .is_some_and(|word| word & 1 << (index % 64) != 0)
    }
}

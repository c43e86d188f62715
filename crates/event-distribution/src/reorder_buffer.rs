//! Batches that came before those that they follow: stored until those are here, so that reordering on the way costs nothing.
//!
//! All batches are of one epoch, none is empty, and there are [`MAX_BATCHES`] at most.

use crate::event::{Event, Position};
use crate::time::Micros;
use std::collections::BTreeMap;

/// What comes beyond is dropped and sent again.
const MAX_BATCHES: usize = 32;

/// A batch as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedBatch {
    /// The number of its first event.
    pub(crate) first: Position,
    pub(crate) events: Vec<Event>,
    /// The same events as they came.
    pub(crate) encoded: Vec<u8>,
    /// When they were published, as far as can be known.
    pub(crate) published_at: Micros,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReorderBuffer {
    by_first: BTreeMap<Position, ReceivedBatch>,
}

impl ReorderBuffer {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_first.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.by_first.clear();
    }

    /// Of too many, the last in order goes: the first ones are of use first.
    pub(crate) fn insert(&mut self, batch: ReceivedBatch) {
        if batch.events.is_empty() {
            return;
        }
        self.by_first.insert(batch.first, batch);
        if self.by_first.len() > MAX_BATCHES {
            self.by_first.pop_last();
        }
    }

    /// The one that goes on at this position, if it is here.
    pub(crate) fn take(&mut self, position: Position) -> Option<ReceivedBatch> {
        let first = self.by_first.first_entry()?;
        (*first.key() <= position).then(|| first.remove())
    }
}

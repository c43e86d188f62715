//! Batches that arrived before their predecessors. They are stored until the predecessors arrive, so that reordering in
//! the network requires no resend.
//!
//! All batches are of one epoch, none is empty, and there are at most [`MAX_BATCHES`].

use crate::event::{Event, Position};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Further batches are dropped and have to be sent again.
const MAX_BATCHES: usize = 32;

/// A batch as it was received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReceivedBatch {
    /// Number of the first event.
    pub(crate) first: Position,
    pub(crate) events: Vec<Event>,
    /// The same events in encoded form.
    pub(crate) encoded: Vec<u8>,
    /// Estimated time of publication.
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

    /// Stores a batch. If there are too many, the last one in order is dropped, because the first ones are needed
    /// first.
    pub(crate) fn insert(&mut self, batch: ReceivedBatch) {
        if batch.events.is_empty() {
            return;
        }
        self.by_first.insert(batch.first, batch);
        if self.by_first.len() > MAX_BATCHES {
            self.by_first.pop_last();
        }
    }

    /// Removes and returns the batch that continues at this position, if it has arrived.
    pub(crate) fn take(&mut self, position: Position) -> Option<ReceivedBatch> {
        let first = self.by_first.first_entry()?;
        (*first.key() <= position).then(|| first.remove())
    }
}

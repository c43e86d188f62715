//! Batches that came before those that they follow: kept for a while, so that a change of order on the way costs nothing.

use crate::event::{Event, Position};
use crate::Micros;
use std::collections::BTreeMap;

/// Batches that are kept at most; what comes beyond is dropped and sent again.
const BATCHES_MOST: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EarlyBatch {
    pub first: Position,
    pub events: Vec<Event>,
    pub packed: Vec<u8>,
    pub published: Micros,
}

/// Of one epoch, by their first positions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct EarlyBatches {
    batches: BTreeMap<Position, EarlyBatch>,
}

impl EarlyBatches {
    pub(crate) fn is_empty(&self) -> bool {
        self.batches.is_empty()
    }

    pub(crate) fn clear(&mut self) {
        self.batches.clear();
    }

    /// Of too many, the last in order goes: the first ones are of use first.
    pub(crate) fn insert(&mut self, batch: EarlyBatch) {
        if batch.events.is_empty() {
            return;
        }
        self.batches.insert(batch.first, batch);
        if self.batches.len() > BATCHES_MOST {
            self.batches.pop_last();
        }
    }

    /// The one that goes on at this position, if it is here.
    pub(crate) fn take(&mut self, at: Position) -> Option<EarlyBatch> {
        if self
            .batches
            .first_key_value()
            .is_some_and(|(first, _)| *first <= at)
        {
            return self.batches.pop_first().map(|(_, batch)| batch);
        }
        None
    }
}

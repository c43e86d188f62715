//! A snapshot that is being fetched. Its parts may arrive in any order. Each part is applied when it arrives, and
//! missing earlier parts are requested again.
//!
//! Invariants: everything up to `cursor` has arrived; parts in `ahead` begin after `cursor`, and there are at most
//! [`MAX_PARTS_AHEAD`] of them.

use crate::event::{LogPosition, PurgeCursor};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Maximum number of parts that are stored ahead of a missing one.
const MAX_PARTS_AHEAD: usize = 32;

/// The end of one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PartEnd {
    /// The position after which the next part begins; `None` for the last part.
    pub(crate) next: Option<PurgeCursor>,
    /// The sender waits for a request before it sends the next part.
    pub(crate) is_paused: bool,
}

/// The effect of a received part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchProgress {
    /// The part is a duplicate or too far ahead.
    Unusable,
    /// The part is applied, and counts once its predecessors have arrived.
    Ahead,
    /// The next parts are in flight.
    MoreInFlight,
    /// The next parts have to be requested.
    Paused,
    /// All parts have arrived.
    Complete,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotFetch {
    pub(crate) started_at: Micros,
    /// Everything up to here has arrived.
    pub(crate) cursor: Option<PurgeCursor>,
    /// The minimum position of the members that wrote the parts. The log continues from there.
    pub(crate) min_writer_position: LogPosition,
    /// The maximum position of the members that wrote the parts. The parts may contain events up to there.
    pub(crate) max_writer_position: LogPosition,
    /// Number of purges received.
    pub(crate) purges: u64,
    /// Parts that arrived before their predecessors, by the position after which they begin.
    ahead: BTreeMap<PurgeCursor, PartEnd>,
}

impl SnapshotFetch {
    /// Starts a fetch whose first part was written at this position.
    pub(crate) fn new(started_at: Micros, writer: LogPosition) -> SnapshotFetch {
        SnapshotFetch {
            started_at,
            cursor: None,
            min_writer_position: writer,
            max_writer_position: writer,
            purges: 0,
            ahead: BTreeMap::new(),
        }
    }

    /// Records a part that begins after `after`. Its content has to be applied unless the part is unusable.
    pub(crate) fn add_part(&mut self, after: Option<PurgeCursor>, end: PartEnd) -> FetchProgress {
        if after == self.cursor {
            return self.advance(end);
        }
        match after {
            Some(after) if Some(after) > self.cursor => self.insert_ahead(after, end),
            _ => FetchProgress::Unusable,
        }
    }

    /// Records that the purges of a part written at this position were applied.
    pub(crate) fn record_applied(&mut self, writer: LogPosition, purges: u64) {
        self.min_writer_position = self.min_writer_position.min(writer);
        self.max_writer_position = self.max_writer_position.max(writer);
        self.purges += purges;
    }

    fn insert_ahead(&mut self, after: PurgeCursor, end: PartEnd) -> FetchProgress {
        if self.ahead.contains_key(&after) || self.ahead.len() >= MAX_PARTS_AHEAD {
            return FetchProgress::Unusable;
        }
        self.ahead.insert(after, end);
        FetchProgress::Ahead
    }

    /// Advances the cursor over all parts that have already arrived.
    fn advance(&mut self, mut end: PartEnd) -> FetchProgress {
        while let Some(next) = end.next {
            self.cursor = Some(next);
            match self.ahead.remove(&next) {
                Some(following) => end = following,
                None => break,
            }
        }
        // Another relay may split the snapshot into parts at other positions.
        let cursor = self.cursor;
        self.ahead.retain(|after, _| Some(*after) > cursor);
        match end {
            PartEnd { next: None, .. } => FetchProgress::Complete,
            PartEnd {
                is_paused: true, ..
            } => FetchProgress::Paused,
            PartEnd { .. } => FetchProgress::MoreInFlight,
        }
    }
}

//! A snapshot being fetched. Its parts may come in any order: each is applied as it comes, and what is still missing
//! before it is requested again.
//!
//! Invariants: everything up to `cursor` has come; parts ahead of it begin behind it, and there are
//! [`MAX_PARTS_AHEAD`] of them at most.

use crate::event::{LogPosition, PurgeCursor};
use crate::time::Micros;
use std::collections::BTreeMap;

/// Parts that may be ahead of one that is missing.
const MAX_PARTS_AHEAD: usize = 32;

/// How far one part reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PartEnd {
    /// Where the next part goes on; none after the last one.
    pub(crate) next: Option<PurgeCursor>,
    /// The sender waits for a request before it sends that.
    pub(crate) is_paused: bool,
}

/// What one more part changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchProgress {
    /// It was known, or is too far ahead to be of use.
    Useless,
    /// It is of use once those before it are here.
    Ahead,
    /// The next parts are under way.
    MoreUnderWay,
    /// The next parts have to be requested.
    Paused,
    /// That was the last missing one.
    Complete,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SnapshotFetch {
    pub(crate) started_at: Micros,
    /// Everything up to here has come.
    pub(crate) cursor: Option<PurgeCursor>,
    /// The least position of those who wrote the parts: the log goes on from there.
    pub(crate) least_writer: LogPosition,
    /// The largest position of those: the parts may hold events up to here.
    pub(crate) largest_writer: LogPosition,
    /// Purges received.
    pub(crate) purges: u64,
    /// Parts that came before those that they go on from, by where they begin.
    ahead: BTreeMap<PurgeCursor, PartEnd>,
}

impl SnapshotFetch {
    /// Nothing has come yet; the first part was written at this position.
    pub(crate) fn new(started_at: Micros, writer: LogPosition) -> SnapshotFetch {
        SnapshotFetch {
            started_at,
            cursor: None,
            least_writer: writer,
            largest_writer: writer,
            purges: 0,
            ahead: BTreeMap::new(),
        }
    }

    /// A part that begins behind `after`. Unless it is useless, what it holds is to be applied.
    pub(crate) fn add_part(&mut self, after: Option<PurgeCursor>, end: PartEnd) -> FetchProgress {
        if after == self.cursor {
            return self.advance(end);
        }
        match after {
            Some(after) if Some(after) > self.cursor => self.insert_ahead(after, end),
            _ => FetchProgress::Useless,
        }
    }

    /// So many purges of a part written at this position are applied.
    pub(crate) fn record_applied(&mut self, writer: LogPosition, purges: u64) {
        self.least_writer = self.least_writer.min(writer);
        self.largest_writer = self.largest_writer.max(writer);
        self.purges += purges;
    }

    fn insert_ahead(&mut self, after: PurgeCursor, end: PartEnd) -> FetchProgress {
        if self.ahead.contains_key(&after) || self.ahead.len() >= MAX_PARTS_AHEAD {
            return FetchProgress::Useless;
        }
        self.ahead.insert(after, end);
        FetchProgress::Ahead
    }

    /// Goes on over all that is here already.
    fn advance(&mut self, mut end: PartEnd) -> FetchProgress {
        while let Some(next) = end.next {
            self.cursor = Some(next);
            match self.ahead.remove(&next) {
                Some(following) => end = following,
                None => break,
            }
        }
        // Another relay may cut the parts in other places.
        let cursor = self.cursor;
        self.ahead.retain(|after, _| Some(*after) > cursor);
        match end {
            PartEnd { next: None, .. } => FetchProgress::Complete,
            PartEnd {
                is_paused: true, ..
            } => FetchProgress::Paused,
            PartEnd { .. } => FetchProgress::MoreUnderWay,
        }
    }
}

//! The log of numbered events: a window of encoded batches, and the purges in force behind it.
//!
//! Invariants: batches of a segment are contiguous and end at its head; there are [`MAX_SEGMENTS`] segments at most, the
//! last one being the current epoch; the batches of all segments are of `window_bytes`, within the bound after each append.

use crate::event::{Epoch, Event, LogPosition, Position};
use crate::event_codec::EventEncoder;
use crate::purge_set::PurgeSet;
use crate::time::Micros;
use std::collections::VecDeque;

/// Epochs whose batches are stored: the current one, and the former one for subscribers that are still in it.
const MAX_SEGMENTS: usize = 2;

/// Encoded events in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredBatch {
    /// The number of the first event.
    pub first: Position,
    /// Events in it.
    pub count: u64,
    /// When it was published, as far as this member can know; not earlier.
    pub published_at: Micros,
    /// The events.
    pub bytes: Vec<u8>,
}

impl StoredBatch {
    /// The position behind it.
    pub fn end(&self) -> Position {
        self.first + self.count
    }
}

/// What is stored of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Segment {
    epoch: Epoch,
    /// A subscriber that has applied this much of the former epoch may continue with this one.
    continues_from: Option<LogPosition>,
    /// Events up to here are no longer in the window.
    window_start: Position,
    head: Position,
    batches: VecDeque<StoredBatch>,
}

impl Segment {
    /// Its start, for a subscriber that has applied enough of the former epoch.
    fn start_after(&self, from: LogPosition) -> NextInLog<'_> {
        let reached = self
            .continues_from
            .filter(|end| end.epoch == from.epoch && from.position >= end.position);
        match reached {
            Some(continues_from) => NextInLog::EpochStart {
                epoch: self.epoch,
                continues_from,
            },
            None => NextInLog::Missing,
        }
    }

    /// The batch that holds the event at a position, while it is in the window.
    fn batch_at(&self, position: Position) -> Option<&StoredBatch> {
        if !(self.window_start..self.head).contains(&position) {
            return None;
        }
        let index = self
            .batches
            .partition_point(|batch| batch.end() <= position);
        self.batches.get(index)
    }
}

/// What comes behind a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextInLog<'a> {
    /// These events; the first ones may be known already.
    Batch {
        /// Of the events.
        epoch: Epoch,
        /// A subscriber that has applied this much of the former epoch may continue with this one.
        continues_from: Option<LogPosition>,
        /// The events.
        batch: &'a StoredBatch,
    },
    /// The former epoch ends here: on with the start of this one.
    EpochStart {
        /// The one that starts.
        epoch: Epoch,
        /// The end of the former one.
        continues_from: LogPosition,
    },
    /// Nothing yet.
    UpToDate,
    /// What comes next is no longer stored, or of an epoch that is not known.
    Missing,
    /// The position has not been reached here.
    Ahead,
}

/// The window of batches, and the purges in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EventLog {
    segments: VecDeque<Segment>,
    max_window_bytes: usize,
    window_bytes: usize,
    /// Purges in force.
    pub purges: PurgeSet,
}

impl EventLog {
    /// An empty log with a bound on its window.
    pub fn new(max_window_bytes: usize, purges: PurgeSet) -> EventLog {
        EventLog {
            segments: VecDeque::new(),
            max_window_bytes,
            window_bytes: 0,
            purges,
        }
    }

    /// Everything up to here has been applied; none before the first.
    pub fn position(&self) -> Option<LogPosition> {
        self.segments.back().map(|segment| LogPosition {
            epoch: segment.epoch,
            position: segment.head,
        })
    }

    /// Bytes of the batches stored.
    pub fn window_bytes(&self) -> usize {
        self.window_bytes
    }

    /// A new epoch begins, with nothing in it yet.
    pub fn begin_epoch(&mut self, epoch: Epoch, continues_from: Option<LogPosition>) {
        self.push_segment(Segment {
            epoch,
            continues_from,
            window_start: 0,
            head: 0,
            batches: VecDeque::new(),
        });
    }

    /// Everything up to here is known by a snapshot: the window starts anew.
    pub fn reset(&mut self, at: LogPosition) {
        self.segments.clear();
        self.window_bytes = 0;
        self.push_segment(Segment {
            epoch: at.epoch,
            continues_from: None,
            window_start: at.position,
            head: at.position,
            batches: VecDeque::new(),
        });
    }

    fn push_segment(&mut self, segment: Segment) {
        self.segments.push_back(segment);
        while self.segments.len() > MAX_SEGMENTS {
            let Some(old) = self.segments.pop_front() else {
                return;
            };
            let bytes: usize = old.batches.iter().map(|batch| batch.bytes.len()).sum();
            self.window_bytes -= bytes;
        }
    }

    /// Adds events behind the last one of the current epoch; returns those that are new.
    pub fn append(
        &mut self,
        published_at: Micros,
        events: &[Event],
        encoded: Vec<u8>,
    ) -> Vec<Event> {
        let Some(segment) = self.segments.back_mut() else {
            return Vec::new();
        };
        let count = events.len() as u64;
        self.window_bytes += encoded.len();
        segment.batches.push_back(StoredBatch {
            first: segment.head,
            count,
            published_at,
            bytes: encoded,
        });
        segment.head += count;
        self.trim();
        let new = events.iter().filter(|event| {
            let Event::Purge(purge) = event;
            self.purges.insert(*purge)
        });
        new.copied().collect()
    }

    /// Adds only what is behind the first `skip` events of a batch.
    pub fn append_rest(
        &mut self,
        published_at: Micros,
        skip: usize,
        events: &[Event],
        encoded: Vec<u8>,
    ) -> Vec<Event> {
        if skip == 0 {
            return self.append(published_at, events, encoded);
        }
        let rest = &events[skip.min(events.len())..];
        let mut encoder = EventEncoder::default();
        // All of them: they fitted with more before them, and the rest of a batch takes no more room than the whole, as the
        // number of a sum is no longer than those of its parts together.
        let fitting = rest.iter().take_while(|event| encoder.push(event)).count();
        self.append(published_at, &rest[..fitting], encoder.finish())
    }

    fn trim(&mut self) {
        while self.window_bytes > self.max_window_bytes {
            let mut segments = self.segments.iter_mut();
            let Some(oldest) = segments.find(|segment| !segment.batches.is_empty()) else {
                return;
            };
            let Some(batch) = oldest.batches.pop_front() else {
                return;
            };
            oldest.window_start = batch.end();
            self.window_bytes -= batch.bytes.len();
        }
    }

    /// What a subscriber that has applied everything up to `from` gets next.
    pub fn next_after(&self, from: LogPosition) -> NextInLog<'_> {
        let mut segments = self.segments.iter();
        let Some(segment) = segments.find(|segment| segment.epoch == from.epoch) else {
            return match self.segments.back() {
                Some(last) if from.epoch > last.epoch => NextInLog::Ahead,
                _ => NextInLog::Missing,
            };
        };
        // What is stored of a former epoch goes first, even where the next epoch does not require it.
        if let Some(batch) = segment.batch_at(from.position) {
            return NextInLog::Batch {
                epoch: segment.epoch,
                continues_from: segment.continues_from,
                batch,
            };
        }
        match segments.next() {
            Some(next) => next.start_after(from),
            None if from.position == segment.head => NextInLog::UpToDate,
            None if from.position > segment.head => NextInLog::Ahead,
            None => NextInLog::Missing,
        }
    }

    /// The position of the current epoch that was reached by then.
    pub fn reached_by(&self, moment: Micros) -> Option<LogPosition> {
        let segment = self.segments.back()?;
        let first_later = segment
            .batches
            .iter()
            .rev()
            .take_while(|batch| batch.published_at > moment)
            .last();
        let position = first_later.map_or(segment.head, |batch| batch.first);
        Some(LogPosition {
            epoch: segment.epoch,
            position,
        })
    }
}

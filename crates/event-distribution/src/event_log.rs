//! The log of numbered events: a window of encoded batches, and the purges in force.
//!
//! Invariants: the batches of a segment are contiguous and end at its head; there are at most [`MAX_SEGMENTS`]
//! segments, and the last one is the current epoch; `window_bytes` is the size of the batches of all segments and is
//! within the bound after each append.

use crate::event::{Epoch, Event, LogPosition, Position};
use crate::event_codec::EventEncoder;
use crate::purge_set::PurgeSet;
use crate::time::Micros;
use std::collections::VecDeque;

/// Number of epochs whose batches are stored: the current one, and the previous one for subscribers that are still in
/// it.
const MAX_SEGMENTS: usize = 2;

/// A batch of encoded events in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredBatch {
    /// Number of the first event.
    pub first: Position,
    /// Number of events in the batch.
    pub count: u64,
    /// Estimated time of publication. The estimate is never earlier than the actual time.
    pub published_at: Micros,
    /// The encoded events.
    pub bytes: Vec<u8>,
}

impl StoredBatch {
    /// The position after the last event.
    pub fn end(&self) -> Position {
        self.first + self.count
    }
}

/// The stored batches of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Segment {
    epoch: Epoch,
    /// A subscriber that has applied the previous epoch up to this position may continue with this epoch.
    continues_from: Option<LogPosition>,
    /// Events before this position are no longer in the window.
    window_start: Position,
    head: Position,
    batches: VecDeque<StoredBatch>,
}

impl Segment {
    /// The start of this epoch, if the subscriber has applied enough of the previous one.
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

    /// The batch with the event at a position, or `None` if the event is not in the window.
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

/// The part of the log that follows a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextInLog<'a> {
    /// A batch of events. The subscriber may already have the first ones.
    Batch {
        /// Epoch of the events.
        epoch: Epoch,
        /// A subscriber that has applied the previous epoch up to this position may continue with this epoch.
        continues_from: Option<LogPosition>,
        /// The batch.
        batch: &'a StoredBatch,
    },
    /// The previous epoch ends here, and the subscriber continues at the start of the next one.
    EpochStart {
        /// The epoch that starts.
        epoch: Epoch,
        /// The end of the previous epoch.
        continues_from: LogPosition,
    },
    /// There are no further events yet.
    UpToDate,
    /// The following events are no longer stored, or belong to an unknown epoch.
    Missing,
    /// The position is beyond the end of this log.
    Ahead,
}

/// A log of events: the window of batches, and the purges in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EventLog {
    segments: VecDeque<Segment>,
    max_window_bytes: usize,
    window_bytes: usize,
    /// The purges in force.
    pub purges: PurgeSet,
}

impl EventLog {
    /// Creates an empty log whose window is bounded.
    pub fn new(max_window_bytes: usize, purges: PurgeSet) -> EventLog {
        EventLog {
            segments: VecDeque::new(),
            max_window_bytes,
            window_bytes: 0,
            purges,
        }
    }

    /// The position up to which all events have been applied, or `None` before the first epoch.
    pub fn position(&self) -> Option<LogPosition> {
        self.segments.back().map(|segment| LogPosition {
            epoch: segment.epoch,
            position: segment.head,
        })
    }

    /// Size of the stored batches, in bytes.
    pub fn window_bytes(&self) -> usize {
        self.window_bytes
    }

    /// Begins a new epoch without events.
    pub fn begin_epoch(&mut self, epoch: Epoch, continues_from: Option<LogPosition>) {
        self.push_segment(Segment {
            epoch,
            continues_from,
            window_start: 0,
            head: 0,
            batches: VecDeque::new(),
        });
    }

    /// Restarts the window at a position up to which all events are known from a snapshot.
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

    /// Appends events to the current epoch and returns those that are new.
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

    /// Appends the events of a batch after the first `skip` ones, and returns those that are new.
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
        // All of them fit: they fitted after the skipped events, and the encoding of the rest is no longer than that of
        // the complete batch, because the varint of a sum is no longer than the varints of its summands together.
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

    /// The part of the log that follows for a subscriber that has applied everything up to `from`.
    pub fn next_after(&self, from: LogPosition) -> NextInLog<'_> {
        let mut segments = self.segments.iter();
        let Some(segment) = segments.find(|segment| segment.epoch == from.epoch) else {
            return match self.segments.back() {
                Some(last) if from.epoch > last.epoch => NextInLog::Ahead,
                _ => NextInLog::Missing,
            };
        };
        // Stored events of a previous epoch come first, even if the next epoch does not require them.
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

    /// The position of the current epoch that the log had reached at a time.
    pub fn position_at(&self, time: Micros) -> Option<LogPosition> {
        let segment = self.segments.back()?;
        let first_later = segment
            .batches
            .iter()
            .rev()
            .take_while(|batch| batch.published_at > time)
            .last();
        let position = first_later.map_or(segment.head, |batch| batch.first);
        Some(LogPosition {
            epoch: segment.epoch,
            position,
        })
    }
}

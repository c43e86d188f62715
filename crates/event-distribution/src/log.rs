//! The log of numbered events: a window of packed batches, and the purges that still bind.

use crate::event::{Epoch, Event, LogPosition, Position};
use crate::purges::PurgeSet;
use crate::wire::Packer;
use crate::Micros;
use std::collections::VecDeque;

/// Epochs whose batches are kept: the current one and the one before, for those who have not come so far.
const SEGMENTS: usize = 2;

/// Packed events in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredBatch {
    pub first: Position,
    pub count: u64,
    /// When it was published, as far as this member can tell; not earlier.
    pub at: Micros,
    pub bytes: Vec<u8>,
}

impl StoredBatch {
    pub fn end(&self) -> Position {
        self.first + self.count
    }
}

/// What is kept of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Segment {
    epoch: Epoch,
    /// Whoever has applied this much of the former epoch may go on with this one.
    follows: Option<LogPosition>,
    /// Events up to here are no longer in the window.
    base: Position,
    head: Position,
    batches: VecDeque<StoredBatch>,
}

impl Segment {
    /// Its start, for whoever has applied enough of the former epoch.
    fn start_after(&self, from: LogPosition) -> Next<'_> {
        match self
            .follows
            .filter(|f| f.epoch == from.epoch && from.position >= f.position)
        {
            Some(follows) => Next::Epoch {
                epoch: self.epoch,
                follows,
            },
            None => Next::Missing,
        }
    }
}

/// What comes behind a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// These events; the first ones may be known already.
    Batch {
        epoch: Epoch,
        follows: Option<LogPosition>,
        batch: &'a StoredBatch,
    },
    /// The former epoch ends here: on with the start of this one.
    Epoch { epoch: Epoch, follows: LogPosition },
    /// Nothing yet.
    UpToDate,
    /// What comes next is no longer kept, or of an epoch that is not known.
    Missing,
    /// The position has not been reached here.
    Ahead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EventLog {
    segments: VecDeque<Segment>,
    window_most: usize,
    window_bytes: usize,
    pub purges: PurgeSet,
}

impl EventLog {
    pub fn new(window_most: usize, purges: PurgeSet) -> EventLog {
        EventLog {
            segments: VecDeque::new(),
            window_most,
            window_bytes: 0,
            purges,
        }
    }

    /// Everything up to here has been applied; none before the first.
    pub fn position(&self) -> Option<LogPosition> {
        self.segments.back().map(|s| LogPosition {
            epoch: s.epoch,
            position: s.head,
        })
    }

    pub fn window_bytes(&self) -> usize {
        self.window_bytes
    }

    /// A new epoch begins, with nothing in it yet.
    pub fn begin(&mut self, epoch: Epoch, follows: Option<LogPosition>) {
        self.push_segment(Segment {
            epoch,
            follows,
            base: 0,
            head: 0,
            batches: VecDeque::new(),
        });
    }

    /// All up to here is known by a snapshot: the window starts anew.
    pub fn reset(&mut self, at: LogPosition) {
        self.segments.clear();
        self.window_bytes = 0;
        let LogPosition { epoch, position } = at;
        self.push_segment(Segment {
            epoch,
            follows: None,
            base: position,
            head: position,
            batches: VecDeque::new(),
        });
    }

    fn push_segment(&mut self, segment: Segment) {
        self.segments.push_back(segment);
        while self.segments.len() > SEGMENTS {
            let Some(old) = self.segments.pop_front() else {
                return;
            };
            self.window_bytes -= old.batches.iter().map(|b| b.bytes.len()).sum::<usize>();
        }
    }

    /// Adds events behind the last one of the current epoch; those that say something new.
    pub fn append(&mut self, now: Micros, events: &[Event], packed: Vec<u8>) -> Vec<Event> {
        let Some(segment) = self.segments.back_mut() else {
            return Vec::new();
        };
        let count = events.len() as u64;
        self.window_bytes += packed.len();
        segment.batches.push_back(StoredBatch {
            first: segment.head,
            count,
            at: now,
            bytes: packed,
        });
        segment.head += count;
        self.trim();
        let fresh = events.iter().filter(|event| {
            let Event::Purge(purge) = event;
            self.purges.insert(*purge)
        });
        fresh.copied().collect()
    }

    /// Adds only what is behind the last event, of a batch that begins before it.
    pub fn append_rest(
        &mut self,
        now: Micros,
        skip: usize,
        events: &[Event],
        packed: Vec<u8>,
    ) -> Vec<Event> {
        if skip == 0 {
            return self.append(now, events, packed);
        }
        let rest = &events[skip.min(events.len())..];
        let mut packer = Packer::default();
        // They fitted with more before them; differences to the first timestamp may take a few bytes more than the limit
        // of one datagram, so what does not fit waits for the next batch.
        let fitted = rest.iter().take_while(|event| packer.push(event)).count();
        self.append(now, &rest[..fitted], packer.finish())
    }

    fn trim(&mut self) {
        while self.window_bytes > self.window_most {
            let Some(segment) = self.segments.iter_mut().find(|s| !s.batches.is_empty()) else {
                return;
            };
            let Some(old) = segment.batches.pop_front() else {
                return;
            };
            segment.base = old.end();
            self.window_bytes -= old.bytes.len();
        }
    }

    pub fn next_after(&self, from: LogPosition) -> Next<'_> {
        let Some(at) = self.segments.iter().position(|s| s.epoch == from.epoch) else {
            return match self.segments.back() {
                Some(last) if from.epoch > last.epoch => Next::Ahead,
                _ => Next::Missing,
            };
        };
        let segment = &self.segments[at];
        // What is held of a former epoch goes first, also where the next one may do without it.
        if (segment.base..segment.head).contains(&from.position) {
            let behind = segment
                .batches
                .partition_point(|batch| batch.end() <= from.position);
            if let Some(batch) = segment.batches.get(behind) {
                return Next::Batch {
                    epoch: segment.epoch,
                    follows: segment.follows,
                    batch,
                };
            }
        }
        match self.segments.get(at + 1) {
            Some(next) => next.start_after(from),
            None if from.position == segment.head => Next::UpToDate,
            None if from.position > segment.head => Next::Ahead,
            None => Next::Missing,
        }
    }

    /// The position of the current epoch that was reached by then.
    pub fn reached_by(&self, moment: Micros) -> Option<LogPosition> {
        let segment = self.segments.back()?;
        let later = segment
            .batches
            .iter()
            .rev()
            .take_while(|batch| batch.at > moment)
            .last();
        let position = later.map_or(segment.head, |batch| batch.first);
        Some(LogPosition {
            epoch: segment.epoch,
            position,
        })
    }
}

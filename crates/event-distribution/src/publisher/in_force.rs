//! The position up to which events are in force everywhere.
//!
//! Invariants: the position only grows, except at a new start of the log; `heads` are ordered by time, and the first
//! one is the latest that is old enough, if any is.

use crate::event::{Epoch, Event, LogPosition};
use crate::output::Output;
use crate::time::Micros;
use std::collections::VecDeque;

/// Maximum number of events that are tracked until they are in force everywhere. Beyond it, the earliest events are no
/// longer announced.
const MAX_TRACKED: usize = 200_000;

/// An event that may not be in force everywhere yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TrackedEvent {
    event: Event,
    published_at: Micros,
    /// A subscriber at this position has applied the event.
    end: LogPosition,
}

/// The end of the log at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeadAt {
    at: Micros,
    head: LogPosition,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct InForceTracker {
    /// Events that are in a batch but not in force everywhere.
    tracked: VecDeque<TrackedEvent>,
    /// The end of the log after each of the latest batches.
    heads: VecDeque<HeadAt>,
    position: LogPosition,
}

impl InForceTracker {
    /// Everything up to here is in force everywhere.
    pub(super) fn position(&self) -> LogPosition {
        self.position
    }

    /// Begins the first epoch of a start, in which nothing is in force yet.
    pub(super) fn begin_epoch(&mut self, epoch: Epoch) {
        self.position = LogPosition { epoch, position: 0 };
    }

    /// Tracks an event. A subscriber at `end` has applied it.
    pub(super) fn track(&mut self, event: Event, published_at: Micros, end: LogPosition) {
        self.tracked.push_back(TrackedEvent {
            event,
            published_at,
            end,
        });
        if self.tracked.len() > MAX_TRACKED {
            self.tracked.pop_front();
        }
    }

    /// Records the current end of the log. Of the recorded ends up to `needed_at`, only the latest is retained.
    pub(super) fn record_head(&mut self, now: Micros, head: LogPosition, needed_at: Micros) {
        self.heads.push_back(HeadAt { at: now, head });
        while self
            .heads
            .get(1)
            .is_some_and(|second| second.at <= needed_at)
        {
            self.heads.pop_front();
        }
    }

    /// The end of the log at a time, which has to be the `needed_at` of the last [`InForceTracker::record_head`].
    pub(super) fn head_at(&self, time: Micros) -> Option<LogPosition> {
        self.heads
            .front()
            .filter(|first| first.at <= time)
            .map(|first| first.head)
    }

    /// Advances the position that is in force everywhere, and announces the events up to it.
    pub(super) fn advance(&mut self, now: Micros, to: LogPosition, out: &mut Vec<Output>) {
        self.position = self.position.max(to);
        while let Some(first) = self.tracked.front() {
            if first.end > self.position {
                return;
            }
            out.push(Output::InForce {
                event: first.event,
                took: now - first.published_at,
            });
            self.tracked.pop_front();
        }
    }
}

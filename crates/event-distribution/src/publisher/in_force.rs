//! Up to where events are in force everywhere.
//!
//! Invariants: the position only grows, but for a new start of the log; `heads` are in order of time, the first one the
//! latest that is old enough, if any is.

use crate::event::{Epoch, Event, LogPosition};
use crate::output::Output;
use crate::time::Micros;
use std::collections::VecDeque;

/// Events that are followed until they are in force everywhere. Beyond, the earliest are no longer announced.
const MAX_TRACKED: usize = 200_000;

/// An event that is not known to be in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TrackedEvent {
    event: Event,
    published_at: Micros,
    /// A subscriber at this position has applied it.
    end: LogPosition,
}

/// How far the log reached at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeadAt {
    at: Micros,
    head: LogPosition,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct InForceTracker {
    /// In a batch, but not in force everywhere.
    tracked: VecDeque<TrackedEvent>,
    /// Up to where the log reached after each of the latest batches.
    heads: VecDeque<HeadAt>,
    position: LogPosition,
}

impl InForceTracker {
    /// Everything up to here is in force everywhere.
    pub(super) fn position(&self) -> LogPosition {
        self.position
    }

    /// The first epoch of a start: nothing of it is in force.
    pub(super) fn begin_epoch(&mut self, epoch: Epoch) {
        self.position = LogPosition { epoch, position: 0 };
    }

    /// A subscriber at `end` has applied this event.
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

    /// The log reaches so far now. Of the heads up to `needed_at` only the latest is retained.
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

    /// How far the log reached by then, the moment of the last [`InForceTracker::record_head`].
    pub(super) fn reached_by(&self, moment: Micros) -> Option<LogPosition> {
        self.heads
            .front()
            .filter(|first| first.at <= moment)
            .map(|first| first.head)
    }

    /// Everything up to here is in force everywhere: announces the events.
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

//! A publisher's progress: up to which position (`done`) its events are in force everywhere, and how long each event
//! took.

use crate::clock::seconds;
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_routing::interface::Micros;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// The progress of a publisher.
pub(super) struct Progress {
    /// All events up to this position are in force everywhere.
    done: Option<LogPosition>,
    /// When `done` last advanced or covered all published events.
    advanced_at: Micros,
    /// Number of events that are in force everywhere.
    in_force: u64,
    /// Time until each event was in force everywhere, in seconds.
    durations: Histogram,
}

impl Progress {
    pub(super) fn new(now: Micros) -> Progress {
        // From five milliseconds to several minutes.
        let durations = Histogram::new(exponential_buckets(0.005, 2.0, 17));
        Progress {
            done: None,
            advanced_at: now,
            in_force: 0,
            durations,
        }
    }

    /// Number of events that are in force everywhere so far.
    pub(super) fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Time until each event was in force everywhere.
    pub(super) fn durations(&self) -> Histogram {
        self.durations.clone()
    }

    /// Records that an event came into force everywhere after `took`.
    pub(super) fn record_in_force(&mut self, took: Micros) {
        self.in_force += 1;
        self.durations.observe(seconds(took));
    }

    /// Records the current position of `done`.
    pub(super) fn update(
        &mut self,
        now: Micros,
        done: Option<LogPosition>,
        published: Option<LogPosition>,
    ) {
        if done != self.done || done == published {
            self.done = done;
            self.advanced_at = now;
        }
    }

    /// How long `done` has not advanced while a published event is not in force everywhere. Returns `None` if this
    /// process is not a publisher.
    pub(super) fn stalled_for(
        &self,
        now: Micros,
        done: Option<LogPosition>,
        published: Option<LogPosition>,
    ) -> Option<Micros> {
        let done = done?;
        let covers_all = Some(done) == published;
        Some(if covers_all || Some(done) != self.done {
            0
        } else {
            now - self.advanced_at
        })
    }
}

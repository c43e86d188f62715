//! How a publisher's events get into force everywhere: how far `done` has come, and how long each event took.

use crate::clock::seconds;
use meadowrill_event_distribution::event::LogPosition;
use meadowrill_routing::interface::Micros;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};

/// The state of a publisher's progress.
pub(super) struct Progress {
    done: Option<LogPosition>,
    /// When it advanced last, or covered all that was published.
    advanced_at: Micros,
    /// Events that were put in force everywhere.
    in_force: u64,
    /// How long that took, in seconds.
    durations: Histogram,
}

impl Progress {
    pub(super) fn new(now: Micros) -> Progress {
        // From five milliseconds to some minutes.
        let durations = Histogram::new(exponential_buckets(0.005, 2.0, 17));
        Progress {
            done: None,
            advanced_at: now,
            in_force: 0,
            durations,
        }
    }

    /// Events that were put in force everywhere so far.
    pub(super) fn in_force(&self) -> u64 {
        self.in_force
    }

    /// How long that took.
    pub(super) fn durations(&self) -> Histogram {
        self.durations.clone()
    }

    /// An event has been put in force everywhere.
    pub(super) fn record_in_force(&mut self, took: Micros) {
        self.in_force += 1;
        self.durations.observe(seconds(took));
    }

    /// Takes note of how far `done` has come.
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

    /// For how long `done` has not advanced while something published is not in force everywhere; none where nothing is
    /// published here.
    pub(super) fn stalled_for(
        &self,
        now: Micros,
        done: Option<LogPosition>,
        published: Option<LogPosition>,
    ) -> Option<Micros> {
        let done = done?;
        let all = Some(done) == published;
        Some(if all || Some(done) != self.done {
            0
        } else {
            now - self.advanced_at
        })
    }
}

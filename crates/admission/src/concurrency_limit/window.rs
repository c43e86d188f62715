//! Measurement windows: sums over the hits of a short time, from which the queue in the caches is estimated.
//!
//! A window is open until it has enough samples and time, and sparse where it has the time for that but not the samples.

use super::baseline::ExpectedDuration;
use meadowrill_routing::interface::Micros;

/// Fewest samples of a complete window.
const WINDOW_SAMPLES: u32 = 24;
/// Shortest time of a complete window.
const WINDOW_TIME: Micros = 40_000;
/// A window with too few samples ends after this time.
const SPARSE_WINDOW_TIME: Micros = 250_000;

/// How far a window has come.
pub(super) enum WindowState {
    /// It goes on.
    Open,
    /// It has enough samples.
    Complete,
    /// Its time is over, with too few samples.
    Sparse,
}

/// What was measured since a window was opened.
pub(super) struct Window {
    opened_at: Micros,
    samples: u32,
    /// Sum of what answers took, in microseconds.
    duration: f64,
    /// Sum of what they would have taken at low load.
    baseline: f64,
    /// Sum of what they may have waited.
    target_wait: f64,
    /// Sum of the concurrency at their ends.
    concurrency: f64,
    /// A request had to wait.
    pub(super) limited: bool,
}

impl Window {
    pub(super) fn new(now: Micros) -> Window {
        Window {
            opened_at: now,
            samples: 0,
            duration: 0.0,
            baseline: 0.0,
            target_wait: 0.0,
            concurrency: 0.0,
            limited: false,
        }
    }

    pub(super) fn add_sample(
        &mut self,
        duration: f64,
        expected: ExpectedDuration,
        concurrency: f64,
    ) {
        self.duration += duration;
        self.baseline += expected.at_low_load;
        self.target_wait += expected.target_wait;
        self.concurrency += concurrency;
        self.samples += 1;
    }

    pub(super) fn state(&self, now: Micros) -> WindowState {
        let age = now - self.opened_at;
        if age < WINDOW_TIME {
            WindowState::Open
        } else if self.samples >= WINDOW_SAMPLES {
            WindowState::Complete
        } else if age < SPARSE_WINDOW_TIME {
            WindowState::Open
        } else {
            WindowState::Sparse
        }
    }

    /// What answers would take at low load over what they took: below 1 where there is a queue.
    pub(super) fn speed(&self) -> f64 {
        self.baseline / self.duration
    }

    pub(super) fn mean_concurrency(&self) -> f64 {
        self.concurrency / f64::from(self.samples)
    }

    /// The queue in which answers wait as long as they may.
    pub(super) fn target_queue(&self) -> f64 {
        self.mean_concurrency() * self.target_wait / (self.baseline + self.target_wait)
    }
}

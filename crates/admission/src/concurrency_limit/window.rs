//! Measurement windows: sums over the cache hits of a short time, from which the queue in the caches is estimated.
//!
//! A window is complete when it has lasted long enough and has enough samples. It is sparse if it does not have enough
//! samples by the time-out. Otherwise it is open.

use super::baseline::ExpectedDuration;
use meadowrill_routing::interface::Micros;

/// Minimum number of samples of a complete window.
const MIN_WINDOW_SAMPLES: u32 = 24;
/// Minimum duration of a complete window.
const MIN_WINDOW_TIME: Micros = 40_000;
/// Time-out after which a window with too few samples ends.
const SPARSE_WINDOW_TIME: Micros = 250_000;

/// The state of a measurement window.
pub(super) enum WindowState {
    /// The window continues.
    Open,
    /// The window has enough samples and has lasted long enough.
    Complete,
    /// The window has timed out with too few samples.
    Sparse,
}

/// The measurements since a window was opened.
pub(super) struct Window {
    opened_at: Micros,
    samples: u32,
    /// Sum of the durations of answers, in microseconds.
    duration_sum: f64,
    /// Sum of the durations that the answers would have had at low load.
    baseline_sum: f64,
    /// Sum of the targets for the waits of the answers.
    target_wait_sum: f64,
    /// Sum of the concurrency at the end of each answer.
    concurrency_sum: f64,
    /// Whether a request had to wait.
    pub(super) limited: bool,
}

impl Window {
    pub(super) fn new(now: Micros) -> Window {
        Window {
            opened_at: now,
            samples: 0,
            duration_sum: 0.0,
            baseline_sum: 0.0,
            target_wait_sum: 0.0,
            concurrency_sum: 0.0,
            limited: false,
        }
    }

    pub(super) fn add_sample(
        &mut self,
        duration: f64,
        expected: ExpectedDuration,
        concurrency: f64,
    ) {
        self.duration_sum += duration;
        self.baseline_sum += expected.at_low_load;
        self.target_wait_sum += expected.target_wait;
        self.concurrency_sum += concurrency;
        self.samples += 1;
    }

    pub(super) fn state(&self, now: Micros) -> WindowState {
        let age = now - self.opened_at;
        if age < MIN_WINDOW_TIME {
            WindowState::Open
        } else if self.samples >= MIN_WINDOW_SAMPLES {
            WindowState::Complete
        } else if age < SPARSE_WINDOW_TIME {
            WindowState::Open
        } else {
            WindowState::Sparse
        }
    }

    /// Returns the duration of answers at low load divided by their measured duration. It is below 1 if there is a
    /// queue.
    pub(super) fn relative_speed(&self) -> f64 {
        self.baseline_sum / self.duration_sum
    }

    pub(super) fn mean_concurrency(&self) -> f64 {
        self.concurrency_sum / f64::from(self.samples)
    }

    /// Returns the length of the queue in which the wait of answers equals its target.
    pub(super) fn target_queue(&self) -> f64 {
        self.mean_concurrency() * self.target_wait_sum / (self.baseline_sum + self.target_wait_sum)
    }
}

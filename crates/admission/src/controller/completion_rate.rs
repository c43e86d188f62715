//! The rate at which requests end: an estimate of when permits become free.

use meadowrill_routing::interface::Micros;

/// Time over which completions are counted.
const WINDOW: Micros = 200_000;
/// Weight of a new window in the mean.
const LEARNING_RATE: f64 = 0.3;
/// Least estimate, so that it can be divided by.
const MIN_RATE: f64 = 1e-9;

/// An exponentially weighted mean of completions per microsecond.
pub(super) struct CompletionRate {
    window_start: Micros,
    count: f64,
    mean: f64,
}

impl CompletionRate {
    pub(super) fn new(now: Micros) -> CompletionRate {
        CompletionRate {
            window_start: now,
            count: 0.0,
            mean: 0.0,
        }
    }

    /// Counts a completion.
    pub(super) fn record(&mut self, now: Micros) {
        self.count += 1.0;
        let age = now - self.window_start;
        if age >= WINDOW {
            let rate = self.count / age as f64;
            self.mean += LEARNING_RATE * (rate - self.mean);
            self.window_start = now;
            self.count = 0.0;
        }
    }

    /// Completions per microsecond.
    pub(super) fn estimate(&self, now: Micros) -> f64 {
        let current = self.count / (now - self.window_start).max(WINDOW) as f64;
        self.mean.max(current).max(MIN_RATE)
    }
}

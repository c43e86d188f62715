//! The rate at which requests end, used to estimate when permits become free.

use meadowrill_routing::interface::Micros;

/// Shortest time over which completions are counted.
const WINDOW_TIME: Micros = 200_000;
/// Weight of a new window in the exponentially weighted mean.
const LEARNING_RATE: f64 = 0.3;
/// Lower bound of the estimate, which is used as a divisor.
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

    /// Records a completion.
    pub(super) fn record(&mut self, now: Micros) {
        self.count += 1.0;
        let age = now - self.window_start;
        if age >= WINDOW_TIME {
            let rate = self.count / age as f64;
            self.mean += LEARNING_RATE * (rate - self.mean);
            self.window_start = now;
            self.count = 0.0;
        }
    }

    /// Returns the estimated number of completions per microsecond.
    pub(super) fn estimate(&self, now: Micros) -> f64 {
        let current = self.count / (now - self.window_start).max(WINDOW_TIME) as f64;
        self.mean.max(current).max(MIN_RATE)
    }
}

//! An adaptive limit on the number of requests in flight. It makes the queue form at the proxy instead of in the
//! caches.
//!
//! The limit uses the queue estimate of TCP Vegas (Brakmo, O'Malley, Peterson, 1994). Answers from a cache's memory
//! show how long a cache takes at low load (`baseline`) and how long it takes now (`window`); the difference between
//! the two corresponds to a queue in the caches. A short queue keeps the caches busy, and a longer one only adds
//! latency. Fills are not measured: they wait for parents, the origin and links, which the routing crate limits itself.
//!
//! States: normal, in which the limit follows the measurement windows, and probing (`probe`), in which concurrency is
//! reduced to low load for a short time to measure the baselines. Invariants: the limit stays within its bounds;
//! measurements change it only at the end of a window, and never during a probe; the total number of requests in flight
//! is bounded by twice the limit (`in_flight`).

mod baseline;
mod in_flight;
mod probe;
mod window;

use baseline::Baselines;
use in_flight::InFlight;
use meadowrill_routing::interface::Micros;
use probe::BaselineProbe;
use window::{Window, WindowState};

/// Initial limit, unless the configured bounds exclude it.
const INITIAL_LIMIT: f64 = 32.0;
/// The limit does not change while the queue is within these multiples of the target.
const QUEUE_TOLERANCE: Thresholds = Thresholds {
    low: 0.75,
    high: 1.25,
};
/// Lower bounds of the allowed queue, in requests. Without any queue, a cache would idle between an answer and the next
/// request.
const MIN_QUEUE: Thresholds = Thresholds {
    low: 1.5,
    high: 3.0,
};
/// Factor by which the limit grows while the queue is much shorter than allowed.
const FAST_GROWTH_FACTOR: f64 = 1.25;
/// Factor by which the limit grows while the queue is slightly shorter than allowed.
const SLOW_GROWTH_FACTOR: f64 = 1.02;
/// Smallest factor by which one window may lower the limit.
const MIN_DECREASE_FACTOR: f64 = 0.8;
/// If less than this fraction of the limit is used, the limit is not the reason that requests wait.
const MIN_UTILIZATION: f64 = 0.7;
/// Number of consecutive windows that must show a queue before the limit is lowered.
const WINDOWS_TO_DECREASE: u32 = 2;
/// Load is low up to this fraction of the limit. With a larger fraction, measurements that include a queue would be
/// taken for low load.
const LOW_LOAD_FRACTION: f64 = 0.5;
/// Weight of a new sample in the smoothed concurrency.
const CONCURRENCY_LEARNING_RATE: f64 = 0.02;
/// A request is overdue after this multiple of the mean duration and no longer counts against the limit. Otherwise a
/// cache that stalls would block all requests.
const OVERDUE_FACTOR: f64 = 4.0;
/// Shortest time after which a request is overdue, in microseconds.
const MIN_OVERDUE_MICROS: f64 = 50_000.0;

/// Two thresholds between which the limit does not change.
#[derive(Clone, Copy)]
struct Thresholds {
    low: f64,
    high: f64,
}

/// An adaptive limit on the number of requests in flight.
pub struct ConcurrencyLimiter {
    limit: f64,
    min: f64,
    max: f64,
    in_flight: InFlight,
    /// Exponentially weighted mean of the concurrency at each admission.
    smoothed_concurrency: f64,
    /// Number of consecutive windows that showed a queue.
    consecutive_queue_windows: u32,
    baselines: Baselines,
    window: Window,
    probe: BaselineProbe,
}

impl ConcurrencyLimiter {
    /// Creates a limiter whose limit stays between `min` and `max`. `latency_budgets` holds the budget of each class.
    pub fn new(
        min: usize,
        max: usize,
        latency_budgets: &[Micros],
        now: Micros,
    ) -> ConcurrencyLimiter {
        let (min, max) = (min as f64, max as f64);
        let limit = INITIAL_LIMIT.clamp(min, max);
        ConcurrencyLimiter {
            limit,
            min,
            max,
            in_flight: InFlight::default(),
            smoothed_concurrency: limit,
            consecutive_queue_windows: 0,
            baselines: Baselines::new(latency_budgets, now),
            window: Window::new(now),
            probe: BaselineProbe::new(now, limit),
        }
    }

    /// Changes the bounds of the limit.
    pub fn reconfigure(&mut self, min: usize, max: usize) {
        (self.min, self.max) = (min as f64, max as f64);
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of requests in flight that count against the limit.
    pub fn in_flight(&self) -> usize {
        self.in_flight.counted
    }

    /// Returns the number of requests in flight that are overdue and no longer count against the limit.
    pub fn overdue(&self) -> usize {
        self.in_flight.overdue
    }

    /// Returns the number of permits that are still occupied by requests that failed early.
    pub fn lingering(&self) -> usize {
        self.in_flight.lingering
    }

    /// Returns the highest concurrency that counts as low load. The smoothed concurrency is taken into account as well
    /// as the limit: where limits of the routing crate make requests wait, the limit of this crate does not reflect the
    /// load.
    fn low_load(&self) -> f64 {
        (self.limit.min(self.smoothed_concurrency) * LOW_LOAD_FRACTION).max(1.0)
    }

    /// Returns whether one more request may be in flight.
    pub fn has_capacity(&self) -> bool {
        let limit = if self.probe.is_active() {
            self.low_load()
        } else {
            self.limit
        };
        self.in_flight.occupied() < limit.floor().max(1.0)
    }

    /// Counts a new request in flight. Returns whether load is low, so that the request's duration is a baseline
    /// sample.
    pub fn acquire(&mut self) -> bool {
        self.in_flight.start();
        let concurrency = self.in_flight.concurrency();
        self.smoothed_concurrency +=
            CONCURRENCY_LEARNING_RATE * (concurrency - self.smoothed_concurrency);
        concurrency <= self.low_load()
    }

    /// Stops counting a request that is no longer in flight.
    pub fn release(&mut self, overdue: bool) {
        self.in_flight.end(overdue);
    }

    /// Returns how long a request of a class with this mean duration may be in flight before it is overdue.
    pub fn overdue_after(&self, mean_duration: f64) -> Micros {
        (mean_duration * OVERDUE_FACTOR).max(MIN_OVERDUE_MICROS) as Micros
    }

    /// Stops counting an overdue request against the limit. Returns false if too many requests are overdue.
    pub fn mark_overdue(&mut self) -> bool {
        self.in_flight.mark_overdue(self.limit)
    }

    /// Keeps the permit of a request that failed early occupied until the request would have been answered. Otherwise
    /// the whole queue would pass through this permit and fail too, and the queue would protect no request.
    pub fn linger(&mut self) {
        self.in_flight.lingering += 1;
    }

    /// Frees the permit of a request that failed early.
    pub fn end_linger(&mut self) {
        self.in_flight.lingering -= 1;
    }

    /// Records that a request has to wait. Starts a probe if the baselines are stale and a probe is due.
    pub fn record_wait(&mut self, now: Micros) {
        self.window.limited = true;
        if self.probe.is_due(now) && self.baselines.are_stale(now) {
            self.probe.start(now, self.limit);
        }
    }

    /// Records the duration of an answer from a cache's memory. `low_load` is what `acquire` returned for the request.
    pub fn record_hit(&mut self, now: Micros, class: usize, duration: Micros, low_load: bool) {
        let duration = (duration as f64).max(1.0);
        let Some(baseline) = self.baselines.get_mut(class) else {
            return;
        };
        if low_load {
            baseline.record(now, duration, self.probe.learning_rate());
            self.probe.record_sample();
        }
        if let Some(expected) = baseline.expected() {
            // The request itself has been released already.
            let concurrency = (self.in_flight.counted + self.in_flight.overdue + 1) as f64;
            self.window.add_sample(duration, expected, concurrency);
        }
        self.update(now);
    }

    /// Ends the probe and the window if they are complete, and adjusts the limit.
    pub fn update(&mut self, now: Micros) {
        if self.probe.end_if_complete(now) {
            // Samples from the time of the probe do not reflect the limit.
            self.window = Window::new(now);
        }
        if self.probe.is_active() {
            return;
        }
        match self.window.state(now) {
            WindowState::Open => return,
            WindowState::Complete => self.adjust_limit(now),
            // There are too few hits to estimate a queue, so the limit grows instead of rejecting requests on a guess.
            WindowState::Sparse if self.window.limited => {
                self.limit = (self.limit * FAST_GROWTH_FACTOR).min(self.max);
            }
            WindowState::Sparse => {}
        }
        self.window = Window::new(now);
    }

    fn adjust_limit(&mut self, now: Micros) {
        let relative_speed = self.window.relative_speed();
        if relative_speed > 1.0 {
            self.baselines.shorten(relative_speed);
        }
        let concurrency = self.window.mean_concurrency();
        let queue = concurrency * (1.0 - relative_speed.min(1.0));
        let target = self.window.target_queue();
        let allowed = Thresholds {
            low: MIN_QUEUE.low.max(QUEUE_TOLERANCE.low * target),
            high: MIN_QUEUE.high.max(QUEUE_TOLERANCE.high * target),
        };
        let previous_limit = self.limit;
        self.adjust_to_queue(concurrency, queue, allowed);
        if self.limit < previous_limit && self.probe.is_limit_much_lower(self.limit) {
            // A cache that has become slow looks like a queue. Only a measurement at low load can distinguish the two.
            self.probe.start(now, self.limit);
        }
    }

    /// Lowers the limit if the queue is longer than allowed, and raises it if the queue is shorter.
    fn adjust_to_queue(&mut self, concurrency: f64, queue: f64, allowed: Thresholds) {
        self.consecutive_queue_windows = if queue > allowed.high {
            self.consecutive_queue_windows + 1
        } else {
            0
        };
        let used = concurrency + self.in_flight.lingering as f64;
        let is_limiting = self.window.limited && used > MIN_UTILIZATION * self.limit;
        if self.consecutive_queue_windows >= WINDOWS_TO_DECREASE {
            // The queue would be in the middle of the allowed range at this limit.
            let desired_limit = used - (queue - (allowed.low + allowed.high) / 2.0);
            self.limit = desired_limit
                .min(self.limit)
                .max(self.limit * MIN_DECREASE_FACTOR);
        } else if is_limiting && queue < allowed.low / 2.0 {
            self.limit *= FAST_GROWTH_FACTOR;
        } else if is_limiting && queue < allowed.low {
            self.limit = self.limit * SLOW_GROWTH_FACTOR + 1.0;
        }
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// Returns when the active probe ends at the latest, or `None` if no probe is active.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.probe.end()
    }
}

#[cfg(test)]
mod tests;

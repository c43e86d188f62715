//! An adaptive concurrency limit: how many requests may be in flight at once, so that the queue forms here and not in
//! the caches.
//!
//! The queue estimate of TCP Vegas (Brakmo, O'Malley, Peterson, 1994), as services use it: answers from a cache's memory
//! show how long a cache takes at low load ([`baseline`]) and now ([`window`]); the part of the concurrency that the
//! difference accounts for is a queue in the caches. A short one keeps caches busy, a longer one only adds latency.
//! Fills are left out: they wait for parents, the origin and links, which the routing crate limits itself.
//!
//! States: normal, where the limit follows the windows; and probing ([`probe`]), where concurrency is brought down to low
//! load for a moment to measure the baselines. Invariants: the limit stays within its bounds; it moves only at the end of
//! a window, and never during a probe; all that is in flight is bounded by twice the limit ([`in_flight`]).

mod baseline;
mod in_flight;
mod probe;
mod window;

use baseline::Baselines;
use in_flight::InFlight;
use meadowrill_routing::interface::Micros;
use probe::BaselineProbe;
use window::{Window, WindowState};

/// The limit at the start, where the bounds allow it.
const INITIAL_LIMIT: f64 = 32.0;
/// The limit stays as it is while the queue is within these multiples of the target.
const TOLERANCE: Thresholds = Thresholds {
    low: 0.75,
    high: 1.25,
};
/// A queue of so many requests is always allowed: without any, a cache would idle between an answer and the next
/// request.
const MIN_QUEUE: Thresholds = Thresholds {
    low: 1.5,
    high: 3.0,
};
/// Growth of the limit where the queue is far shorter than allowed.
const FAST_GROWTH: f64 = 1.25;
/// Growth of the limit where the queue is somewhat shorter than allowed.
const SLOW_GROWTH: f64 = 1.02;
/// The most that one window lowers the limit to, as a fraction of it.
const MAX_DECREASE: f64 = 0.8;
/// A limit of which less than this fraction is used is not what makes requests wait.
const MIN_UTILIZATION: f64 = 0.7;
/// Windows in a row that must show a queue before the limit is lowered.
const WINDOWS_TO_DECREASE: u32 = 2;
/// Low load is up to this fraction of the limit. A larger one would take measurements within a queue for low load.
const LOW_LOAD_FRACTION: f64 = 0.5;
/// Weight of a new sample of the usual concurrency.
const CONCURRENCY_LEARNING_RATE: f64 = 0.02;
/// A request in flight for so many times its usual duration no longer counts against the limit: a cache that stalls
/// would block all requests otherwise.
const OVERDUE_FACTOR: f64 = 4.0;
/// Shortest time after which a request is overdue, in microseconds.
const MIN_OVERDUE_MICROS: f64 = 50_000.0;

/// Two thresholds with nothing to do between them.
#[derive(Clone, Copy)]
struct Thresholds {
    low: f64,
    high: f64,
}

/// An adaptive limit of the requests in flight.
pub struct ConcurrencyLimiter {
    limit: f64,
    min: f64,
    max: f64,
    in_flight: InFlight,
    /// Smoothed concurrency, as of the last admissions.
    usual_concurrency: f64,
    /// Windows in a row that showed a queue.
    queue_windows: u32,
    baselines: Baselines,
    window: Window,
    probe: BaselineProbe,
}

impl ConcurrencyLimiter {
    /// A limiter between `min` and `max`, with the latency budget of each class.
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
            usual_concurrency: limit,
            queue_windows: 0,
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

    /// The current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Requests in flight that count against the limit.
    pub fn in_flight(&self) -> usize {
        self.in_flight.counted
    }

    /// Requests in flight that are overdue and no longer count.
    pub fn overdue(&self) -> usize {
        self.in_flight.overdue
    }

    /// Permits that are still occupied by requests that failed early.
    pub fn lingering(&self) -> usize {
        self.in_flight.lingering
    }

    /// The most requests that are low load, against the usual concurrency: where the limits of the routing crate make
    /// requests wait, this limit shows nothing.
    fn low_load(&self) -> f64 {
        (self.limit.min(self.usual_concurrency) * LOW_LOAD_FRACTION).max(1.0)
    }

    /// Whether one more request may be in flight.
    pub fn has_capacity(&self) -> bool {
        let limit = if self.probe.is_active() {
            self.low_load()
        } else {
            self.limit
        };
        self.in_flight.occupied() < limit.floor().max(1.0)
    }

    /// A request is now in flight. Returns whether load is low, so that its duration is a baseline sample.
    pub fn acquire(&mut self) -> bool {
        self.in_flight.start();
        let concurrency = self.in_flight.concurrency();
        self.usual_concurrency +=
            CONCURRENCY_LEARNING_RATE * (concurrency - self.usual_concurrency);
        concurrency <= self.low_load()
    }

    /// A request is no longer in flight.
    pub fn release(&mut self, overdue: bool) {
        self.in_flight.end(overdue);
    }

    /// How long a request of this usual duration may be in flight before it is overdue.
    pub fn overdue_after(&self, usual_duration: f64) -> Micros {
        (usual_duration * OVERDUE_FACTOR).max(MIN_OVERDUE_MICROS) as Micros
    }

    /// Stops counting a request that is overdue; false where there are too many of them.
    pub fn mark_overdue(&mut self) -> bool {
        self.in_flight.mark_overdue(self.limit)
    }

    /// A request failed sooner than it would have been answered: its permit stays occupied until then. Otherwise the
    /// whole queue would pass through that permit to fail too, and the queue would protect nobody.
    pub fn linger(&mut self) {
        self.in_flight.lingering += 1;
    }

    /// The permit of a request that failed early is free now.
    pub fn end_linger(&mut self) {
        self.in_flight.lingering -= 1;
    }

    /// A request has to wait. Starts a probe where the baselines are stale.
    pub fn record_wait(&mut self, now: Micros) {
        self.window.limited = true;
        if self.probe.is_due(now) && self.baselines.are_stale(now) {
            self.probe.start(now, self.limit);
        }
    }

    /// An answer from a cache's memory: how long it took, and whether `acquire` had reported low load.
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
            // The request itself has left already.
            let concurrency = (self.in_flight.counted + self.in_flight.overdue + 1) as f64;
            self.window.add_sample(duration, expected, concurrency);
        }
        self.update(now);
    }

    /// Ends the probe and the window whose time has come, and adjusts the limit.
    pub fn update(&mut self, now: Micros) {
        if self.probe.end_if_complete(now) {
            // What was measured meanwhile says nothing about the limit.
            self.window = Window::new(now);
        }
        if self.probe.is_active() {
            return;
        }
        match self.window.state(now) {
            WindowState::Open => return,
            WindowState::Complete => self.adjust_limit(now),
            // Too few hits to estimate a queue: nothing is limited on a guess.
            WindowState::Sparse if self.window.limited => {
                self.limit = (self.limit * FAST_GROWTH).min(self.max);
            }
            WindowState::Sparse => {}
        }
        self.window = Window::new(now);
    }

    fn adjust_limit(&mut self, now: Micros) {
        let speed = self.window.speed();
        if speed > 1.0 {
            self.baselines.shorten(speed);
        }
        let concurrency = self.window.mean_concurrency();
        let queue = concurrency * (1.0 - speed.min(1.0));
        let target = self.window.target_queue();
        let allowed = Thresholds {
            low: MIN_QUEUE.low.max(TOLERANCE.low * target),
            high: MIN_QUEUE.high.max(TOLERANCE.high * target),
        };
        let former = self.limit;
        self.move_limit(concurrency, queue, allowed);
        if self.limit < former && self.probe.is_limit_much_lower(self.limit) {
            // A cache that has become slow looks like a queue; only low load tells them apart.
            self.probe.start(now, self.limit);
        }
    }

    /// Lowers the limit where the queue is longer than allowed, and raises it where it is shorter.
    fn move_limit(&mut self, concurrency: f64, queue: f64, allowed: Thresholds) {
        self.queue_windows = if queue > allowed.high {
            self.queue_windows + 1
        } else {
            0
        };
        let used = concurrency + self.in_flight.lingering as f64;
        let is_limiting = self.window.limited && used > MIN_UTILIZATION * self.limit;
        if self.queue_windows >= WINDOWS_TO_DECREASE {
            // To where the queue would be in the middle of what is allowed.
            let aim = used - (queue - (allowed.low + allowed.high) / 2.0);
            self.limit = aim.min(self.limit).max(self.limit * MAX_DECREASE);
        } else if is_limiting && queue < allowed.low / 2.0 {
            self.limit *= FAST_GROWTH;
        } else if is_limiting && queue < allowed.low {
            self.limit = self.limit * SLOW_GROWTH + 1.0;
        }
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// When the probe ends, while there is one.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.probe.end()
    }
}

#[cfg(test)]
mod tests;

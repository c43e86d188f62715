//! An adaptive concurrency limit: how many lookups may be in flight at once, so that the queue forms here and not in
//! the caches. Answers from a cache's memory show how long a cache takes at low load and now; the difference is a
//! queue in the caches. A short one keeps caches busy, a longer one only adds latency.
//!
//! Fills are not looked at: they wait for parents, the origin and links, which the decision module limits itself.

use meadowrill_routing::interface::Micros;

/// Target for the wait in the caches, as a part of the latency budget. Lookups are spread over caches by hash, so some
/// caches have a queue while others idle: a shorter target lost a tenth and more of what three caches can do.
const TARGET_WAIT_PART: f64 = 0.08;
/// The target is at least this part of the duration at low load: sizes differ, so a short wait on top of a long
/// duration cannot be told from chance.
const MIN_TARGET_PART: f64 = 0.6;
/// The limit stays as it is while the queue is within these multiples of the target.
const TOLERANCE: Range = Range {
    low: 0.75,
    high: 1.25,
};
/// A queue of so many lookups is always allowed: without any, a cache would idle between an answer and the next lookup.
const MIN_QUEUE: Range = Range {
    low: 1.5,
    high: 3.0,
};
/// Fewest samples, and the shortest time, after which a window is evaluated.
const WINDOW_SAMPLES: u32 = 24;
const WINDOW_TIME: Micros = 40_000;
/// A window with too few samples ends after this time.
const SPARSE_WINDOW_TIME: Micros = 250_000;
/// The limit at the start, where the bounds allow it.
const INITIAL_LIMIT: f64 = 32.0;
/// Growth of the limit where the queue is far shorter than allowed, and where it is somewhat shorter.
const FAST_GROWTH: f64 = 1.25;
const SLOW_GROWTH: f64 = 1.02;
/// The most that one window lowers the limit to.
const MAX_DECREASE: f64 = 0.8;
/// A limit of which less than this part is used is not what holds lookups back.
const UTILIZATION: f64 = 0.7;
/// Windows in a row that must show a queue before the limit is lowered.
const WINDOWS_TO_DECREASE: u32 = 2;
/// How long a baseline is believed after its last sample.
const BASELINE_LIFETIME: Micros = 4_000_000;
/// A probe follows at once where the limit has come down to this part of what it was at the last probe.
const PROBE_AGAIN_PART: f64 = 0.75;
/// Low load is up to this part of the limit. With a larger part, a limit that is far too high lasts longer: of two
/// measurements within a queue the shorter one is taken for low load.
const LOW_LOAD_PART: f64 = 0.5;
/// Weight of a new baseline sample, in ordinary operation and in a probe.
const BASELINE_RATE: f64 = 0.05;
const PROBE_BASELINE_RATE: f64 = 0.2;
/// Weight of a new sample of the usual concurrency.
const CONCURRENCY_RATE: f64 = 0.02;
/// A probe ends with so many samples, or after this time.
const PROBE_SAMPLES: u32 = 6;
const PROBE_TIME: Micros = 150_000;
/// A lookup in flight for so many times its usual duration, and at least so long, no longer counts against the limit:
/// a cache that hangs would block all lookups otherwise.
const OVERDUE_FACTOR: f64 = 4.0;
const MIN_OVERDUE_TIME: f64 = 50_000.0;

/// Two thresholds with nothing to do between them.
struct Range {
    low: f64,
    high: f64,
}

/// How long answers of a class take at low load.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    duration: Option<f64>,
    samples: u32,
    last_sample: Micros,
    /// Target for the wait of this class.
    target_wait: f64,
}

impl Baseline {
    fn new(latency_budget: Micros, now: Micros) -> Baseline {
        let target_wait = latency_budget as f64 * TARGET_WAIT_PART;
        Baseline {
            duration: None,
            samples: 0,
            last_sample: now,
            target_wait,
        }
    }

    fn record(&mut self, now: Micros, duration: f64, rate: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = rate.max(1.0 / f64::from(self.samples));
        self.duration = Some(
            self.duration
                .map_or(duration, |mean| mean + weight * (duration - mean)),
        );
        self.last_sample = now;
    }

    fn is_stale(&self, now: Micros) -> bool {
        self.duration.is_some() && self.last_sample + BASELINE_LIFETIME <= now
    }
}

/// What was measured since the window began; durations are sums over its samples.
struct Window {
    began: Micros,
    samples: u32,
    /// What answers took, would have taken at low load, and may have waited.
    duration: f64,
    baseline: f64,
    target_wait: f64,
    concurrency: f64,
    /// A lookup had to wait.
    limited: bool,
}

impl Window {
    fn new(began: Micros) -> Window {
        let (duration, baseline, target_wait, concurrency) = (0.0, 0.0, 0.0, 0.0);
        Window {
            began,
            samples: 0,
            duration,
            baseline,
            target_wait,
            concurrency,
            limited: false,
        }
    }
}

/// An adaptive limit of the lookups in flight.
pub struct ConcurrencyLimiter {
    limit: f64,
    min: f64,
    max: f64,
    /// Lookups in flight that count against the limit.
    in_flight: usize,
    /// Lookups in flight that no longer count.
    overdue: usize,
    /// Places of lookups that failed early, kept as long as an answer would have taken.
    lingering: usize,
    usual_concurrency: f64,
    /// Windows in a row that showed a queue.
    queue_windows: u32,
    /// By class.
    baselines: Vec<Baseline>,
    window: Window,
    /// When the probe ends, while there is one.
    probe_end: Option<Micros>,
    probe_samples: u32,
    last_probe: Micros,
    last_probe_limit: f64,
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
            in_flight: 0,
            overdue: 0,
            lingering: 0,
            usual_concurrency: limit,
            queue_windows: 0,
            baselines: latency_budgets
                .iter()
                .map(|budget| Baseline::new(*budget, now))
                .collect(),
            window: Window::new(now),
            probe_end: None,
            probe_samples: 0,
            last_probe: now,
            last_probe_limit: limit,
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

    /// Lookups in flight that count against the limit.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Lookups in flight that are overdue and no longer count.
    pub fn overdue(&self) -> usize {
        self.overdue
    }

    /// Places that are still occupied by lookups that failed early.
    pub fn lingering(&self) -> usize {
        self.lingering
    }

    fn concurrency(&self) -> f64 {
        // Overdue lookups may well be a queue.
        (self.in_flight + self.overdue) as f64
    }

    /// The most lookups that are low load, against the usual concurrency: where the decision module's own limits hold
    /// lookups back, this limit says nothing.
    fn low_load(&self) -> f64 {
        (self.limit.min(self.usual_concurrency) * LOW_LOAD_PART).max(1.0)
    }

    /// Whether one more lookup may be in flight.
    pub fn has_capacity(&self) -> bool {
        let limit = if self.probe_end.is_some() {
            self.low_load()
        } else {
            self.limit
        };
        ((self.in_flight + self.lingering) as f64) < limit.floor().max(1.0)
    }

    /// A lookup is now in flight. Returns whether load is low, so that its duration is a baseline sample.
    pub fn acquire(&mut self) -> bool {
        self.in_flight += 1;
        self.usual_concurrency += CONCURRENCY_RATE * (self.concurrency() - self.usual_concurrency);
        self.concurrency() <= self.low_load()
    }

    /// A lookup is no longer in flight.
    pub fn release(&mut self, overdue: bool) {
        if overdue {
            self.overdue -= 1;
        } else {
            self.in_flight -= 1;
        }
    }

    /// A lookup has to wait. Starts a probe where the baselines are stale.
    pub fn record_wait(&mut self, now: Micros) {
        self.window.limited = true;
        let unknown = self
            .baselines
            .iter()
            .all(|baseline| baseline.duration.is_none());
        let stale = unknown || self.baselines.iter().any(|baseline| baseline.is_stale(now));
        let due = self.last_probe + BASELINE_LIFETIME <= now;
        if self.probe_end.is_none() && due && stale {
            self.start_probe(now);
        }
    }

    /// Briefly reduces concurrency to low load to measure the baselines.
    fn start_probe(&mut self, now: Micros) {
        self.probe_end = Some(now + PROBE_TIME);
        self.probe_samples = 0;
        self.last_probe = now;
        self.last_probe_limit = self.limit;
    }

    /// How long a lookup of this usual duration may be in flight before it is overdue.
    pub fn overdue_after(&self, usual_duration: f64) -> Micros {
        (usual_duration * OVERDUE_FACTOR).max(MIN_OVERDUE_TIME) as Micros
    }

    /// Stops counting a lookup that is overdue; false where there are too many of them, which bounds all that is in
    /// flight to twice the limit.
    pub fn mark_overdue(&mut self) -> bool {
        let allowed = (self.overdue as f64) < self.limit && self.in_flight > 0;
        if allowed {
            self.in_flight -= 1;
            self.overdue += 1;
        }
        allowed
    }

    /// A lookup failed sooner than it would have been answered: its place stays occupied until then. Otherwise the
    /// whole queue would pass through that place to fail too, and the queue would protect nobody.
    pub fn linger(&mut self) {
        self.lingering += 1;
    }

    /// The place of a lookup that failed early is free now.
    pub fn end_linger(&mut self) {
        self.lingering -= 1;
    }

    /// An answer from a cache's memory: how long it took, and whether `acquire` had reported low load.
    pub fn record_hit(&mut self, now: Micros, class: usize, duration: Micros, low_load: bool) {
        let duration = (duration as f64).max(1.0);
        let rate = if self.probe_end.is_some() {
            PROBE_BASELINE_RATE
        } else {
            BASELINE_RATE
        };
        let Some(baseline) = self.baselines.get_mut(class) else {
            return;
        };
        if low_load {
            baseline.record(now, duration, rate);
            self.probe_samples += 1;
        }
        let baseline = *baseline;
        if let Some(expected) = baseline.duration {
            let target_wait = baseline.target_wait.max(MIN_TARGET_PART * expected);
            self.add_sample(duration, expected, target_wait);
        }
        self.update(now);
    }

    fn add_sample(&mut self, duration: f64, expected: f64, target_wait: f64) {
        // The lookup itself has left already.
        let concurrency = (self.in_flight + self.overdue + 1) as f64;
        self.window.duration += duration;
        self.window.baseline += expected;
        self.window.target_wait += target_wait;
        self.window.concurrency += concurrency;
        self.window.samples += 1;
    }

    /// Ends the probe and the window whose time has come, and adjusts the limit.
    pub fn update(&mut self, now: Micros) {
        let enough = self.probe_samples >= PROBE_SAMPLES;
        if self.probe_end.is_some_and(|end| end <= now || enough) {
            // What was measured meanwhile says nothing about the limit.
            self.probe_end = None;
            self.window = Window::new(now);
        }
        let age = now - self.window.began;
        if self.probe_end.is_some() || age < WINDOW_TIME {
            return;
        }
        if self.window.samples >= WINDOW_SAMPLES {
            self.adjust_limit(now);
        } else if age < SPARSE_WINDOW_TIME {
            return;
        } else if self.window.limited {
            // Too few hits to tell: nothing is held back on a guess.
            self.limit = (self.limit * FAST_GROWTH).min(self.max);
        }
        self.window = Window::new(now);
    }

    fn adjust_limit(&mut self, now: Micros) {
        let speed = self.window.baseline / self.window.duration;
        if speed > 1.0 {
            self.shorten_baselines(speed);
        }
        let concurrency = self.window.concurrency / f64::from(self.window.samples);
        let queue = concurrency * (1.0 - speed.min(1.0));
        let target_wait = self.window.target_wait;
        let target = concurrency * target_wait / (self.window.baseline + target_wait);
        let low = MIN_QUEUE.low.max(TOLERANCE.low * target);
        let high = MIN_QUEUE.high.max(TOLERANCE.high * target);
        let former = self.limit;
        self.move_limit(concurrency, queue, Range { low, high });
        if self.limit < former && self.limit < PROBE_AGAIN_PART * self.last_probe_limit {
            // A cache that has become slow looks like a queue; only low load tells them apart.
            self.start_probe(now);
        }
    }

    /// Answers come sooner now than the baselines say: those were measured behind a queue that is gone.
    fn shorten_baselines(&mut self, speed: f64) {
        for baseline in &mut self.baselines {
            baseline.duration = baseline.duration.map(|duration| duration / speed);
        }
    }

    /// Lowers the limit where the queue is longer than allowed, and raises it where it is shorter.
    fn move_limit(&mut self, concurrency: f64, queue: f64, allowed: Range) {
        self.queue_windows = if queue > allowed.high {
            self.queue_windows + 1
        } else {
            0
        };
        let used = concurrency + self.lingering as f64;
        if self.queue_windows >= WINDOWS_TO_DECREASE {
            // To where the queue would be in the middle of what is allowed.
            let aim = used - (queue - (allowed.low + allowed.high) / 2.0);
            self.limit = aim.min(self.limit).max(self.limit * MAX_DECREASE);
        } else if self.window.limited && queue < allowed.low && used > UTILIZATION * self.limit {
            let far_below = queue < allowed.low / 2.0;
            self.limit = if far_below {
                self.limit * FAST_GROWTH
            } else {
                self.limit * SLOW_GROWTH + 1.0
            };
        }
        self.limit = self.limit.clamp(self.min, self.max);
    }

    /// When the probe ends, while there is one.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.probe_end
    }
}

#[cfg(test)]
mod tests;

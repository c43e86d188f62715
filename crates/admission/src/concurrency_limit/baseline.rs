//! Baselines: the duration of answers of each class at low load, as an exponentially weighted mean.
//!
//! Invariant: a baseline is learned only from samples at low load. It is shortened if answers take less time than the
//! baseline, because the baseline was then measured behind a queue.

use meadowrill_routing::interface::Micros;

/// Target for the wait in the caches, as a fraction of the latency budget. Requests are distributed to caches by hash,
/// so some caches have a queue while others are idle: a much shorter target would leave capacity unused.
const TARGET_WAIT_FRACTION: f64 = 0.08;
/// The target is at least this fraction of the duration at low load. Sizes vary, so a short wait cannot be
/// distinguished from random variation of a long duration.
const MIN_TARGET_FRACTION: f64 = 0.6;
/// How long a baseline remains valid after its last sample.
pub(super) const BASELINE_LIFETIME: Micros = 4_000_000;

/// The duration of an answer at low load, and the target for its wait, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedDuration {
    pub(super) at_low_load: f64,
    pub(super) target_wait: f64,
}

/// The duration of answers of a class at low load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Baseline {
    duration: Option<f64>,
    samples: u32,
    last_sample: Micros,
    /// Target for the wait of this class, derived from its latency budget.
    target_wait: f64,
}

impl Baseline {
    fn new(latency_budget: Micros, now: Micros) -> Baseline {
        let target_wait = latency_budget as f64 * TARGET_WAIT_FRACTION;
        Baseline {
            duration: None,
            samples: 0,
            last_sample: now,
            target_wait,
        }
    }

    /// Adds a sample at low load to the mean. `learning_rate` is the minimum weight of the sample.
    pub(super) fn record(&mut self, now: Micros, duration: f64, learning_rate: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = learning_rate.max(1.0 / f64::from(self.samples));
        self.duration = Some(
            self.duration
                .map_or(duration, |mean| mean + weight * (duration - mean)),
        );
        self.last_sample = now;
    }

    /// Returns the expected duration of an answer, or `None` before the first sample.
    pub(super) fn expected(&self) -> Option<ExpectedDuration> {
        let at_low_load = self.duration?;
        let target_wait = self.target_wait.max(MIN_TARGET_FRACTION * at_low_load);
        Some(ExpectedDuration {
            at_low_load,
            target_wait,
        })
    }

    fn is_stale(&self, now: Micros) -> bool {
        self.duration.is_some() && self.last_sample + BASELINE_LIFETIME <= now
    }
}

/// The baselines of all classes.
pub(super) struct Baselines {
    by_class: Vec<Baseline>,
}

impl Baselines {
    pub(super) fn new(latency_budgets: &[Micros], now: Micros) -> Baselines {
        let baseline = |budget: &Micros| Baseline::new(*budget, now);
        Baselines {
            by_class: latency_budgets.iter().map(baseline).collect(),
        }
    }

    pub(super) fn get_mut(&mut self, class: usize) -> Option<&mut Baseline> {
        self.by_class.get_mut(class)
    }

    /// Returns whether no class has a baseline, or any baseline is too old.
    pub(super) fn are_stale(&self, now: Micros) -> bool {
        let mut baselines = self.by_class.iter();
        let are_unknown = baselines.all(|baseline| baseline.duration.is_none());
        are_unknown || self.by_class.iter().any(|baseline| baseline.is_stale(now))
    }

    /// Divides all baselines by `relative_speed`, the factor by which answers are faster than the baselines.
    pub(super) fn shorten(&mut self, relative_speed: f64) {
        for baseline in &mut self.by_class {
            baseline.duration = baseline.duration.map(|duration| duration / relative_speed);
        }
    }
}

//! The cost of a request: how long it occupies a permit of the concurrency limit, and its bytes.
//!
//! Expected costs are learned by class; actual costs are taken when a request has ended. Invariant: no cost is below
//! [`MIN_COST`], and bytes at most double it.

use meadowrill_routing::interface::Micros;

/// A class of requests as the configuration describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Weight of a request that succeeds within its latency budget, against other classes.
    pub priority_weight: f64,
    /// Latency that is still acceptable.
    pub latency_budget: Micros,
    /// The budget grows by this many times the usual duration.
    pub budget_stretch: f64,
}

/// Weight of a new sample in a mean.
const LEARNING_RATE: f64 = 0.05;
/// Duration that is assumed until one was measured, as a fraction of the latency budget.
const ASSUMED_BUDGET_FRACTION: f64 = 0.1;
/// How far a declared size may move the expected cost from the mean of its class: clients may declare any.
const SIZE_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.25..=8.0;
/// Fraction of the duration that grows with a declared size.
const SIZE_DEPENDENT_FRACTION: f64 = 0.5;
/// Least cost, in microseconds: a flood of requests that end at once would cost nothing otherwise.
const MIN_COST: f64 = 100.0;

/// What was learned of a class.
#[derive(Clone, Copy, Debug)]
struct ClassEstimate {
    class: RequestClass,
    duration: f64,
    size_kb: f64,
    samples: u32,
}

impl ClassEstimate {
    fn new(class: RequestClass) -> ClassEstimate {
        let duration = class.latency_budget as f64 * ASSUMED_BUDGET_FRACTION;
        ClassEstimate {
            class,
            duration,
            size_kb: 0.0,
            samples: 0,
        }
    }
}

/// Expected and actual costs, in microseconds of a permit of the concurrency limit.
pub struct CostModel {
    estimates: Vec<ClassEstimate>,
    cost_per_kb: f64,
}

impl CostModel {
    /// A model without samples of any class.
    pub fn new(classes: &[RequestClass], cost_per_kb: Micros) -> CostModel {
        let estimates = classes.iter().copied().map(ClassEstimate::new).collect();
        CostModel {
            estimates,
            cost_per_kb: cost_per_kb as f64,
        }
    }

    /// Changes the cost of a kilobyte and keeps what was learned.
    pub fn reconfigure(&mut self, cost_per_kb: Micros) {
        self.cost_per_kb = cost_per_kb as f64;
    }

    /// Expected cost of a request of this class; `size_kb` is 0 where none was declared.
    pub fn expected(&self, class: usize, size_kb: f64) -> f64 {
        let Some(estimate) = self.estimates.get(class) else {
            return MIN_COST;
        };
        let usable = size_kb > 0.0 && size_kb.is_finite() && estimate.size_kb > 0.0;
        if !usable {
            return self.total(estimate.duration, estimate.size_kb);
        }
        let (least, most) = (*SIZE_FACTOR_RANGE.start(), *SIZE_FACTOR_RANGE.end());
        let factor = (size_kb / estimate.size_kb).clamp(least, most);
        let duration =
            estimate.duration * (1.0 - SIZE_DEPENDENT_FRACTION + SIZE_DEPENDENT_FRACTION * factor);
        self.total(duration, estimate.size_kb * factor)
    }

    /// Actual cost of a request that took `duration` and transferred `size_kb`.
    pub fn actual(&self, duration: Micros, size_kb: f64) -> f64 {
        self.total(duration.max(0) as f64, size_kb.max(0.0))
    }

    /// Usual duration of a request of this class.
    pub fn usual_duration(&self, class: usize) -> f64 {
        self.estimates
            .get(class)
            .map_or(0.0, |estimate| estimate.duration)
    }

    /// Bytes at most double the cost: the configuration chooses the unit of sizes, and it may be any.
    fn total(&self, duration: f64, size_kb: f64) -> f64 {
        (duration + (size_kb * self.cost_per_kb).min(duration)).max(MIN_COST)
    }

    /// Learns from a request that succeeded.
    pub fn record(&mut self, class: usize, duration: Micros, size_kb: f64) {
        let Some(estimate) = self.estimates.get_mut(class) else {
            return;
        };
        estimate.samples = estimate.samples.saturating_add(1);
        // The plain mean of the first samples, an exponentially weighted one from then on.
        let weight = LEARNING_RATE.max(1.0 / f64::from(estimate.samples));
        estimate.duration += weight * (duration.max(0) as f64 - estimate.duration);
        estimate.size_kb += weight * (size_kb.max(0.0) - estimate.size_kb);
    }

    /// The latest time at which a request that was read at `now` may start and still end within its latency budget;
    /// never past `expires`, when its client times out.
    pub fn latest_start(&self, class: usize, now: Micros, expires: Micros) -> Micros {
        let Some(estimate) = self.estimates.get(class) else {
            return expires;
        };
        let duration = estimate.duration;
        let budget =
            estimate.class.latency_budget as f64 + estimate.class.budget_stretch * duration;
        // A class that usually exceeds its budget may still wait a little: the routing crate decides when such requests
        // fail.
        let slack = (budget - duration).max(budget * ASSUMED_BUDGET_FRACTION);
        let reserve = (duration as Micros).min((expires - now) / 2);
        (now + slack as Micros).min(expires - reserve)
    }

    /// The classes in the order of the configuration.
    pub fn classes(&self) -> impl Iterator<Item = &RequestClass> {
        self.estimates.iter().map(|estimate| &estimate.class)
    }
}

#[cfg(test)]
mod tests;

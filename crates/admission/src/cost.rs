//! The cost of a request: the time for which it occupies a permit of the concurrency limit, plus a cost for its bytes.
//!
//! Expected costs are learned per class; actual costs are computed when a request has ended. Invariants: no cost is
//! below `MIN_COST`, and the cost for bytes is at most the cost for time.

use meadowrill_routing::interface::Micros;

/// A request class as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestClass {
    /// Value of a request that succeeds within its latency budget, relative to the other classes.
    pub priority_weight: f64,
    /// Longest acceptable latency.
    pub latency_budget: Micros,
    /// Multiple of the mean duration that is added to the latency budget.
    pub budget_stretch: f64,
}

/// Weight of a new sample in a mean.
const LEARNING_RATE: f64 = 0.05;
/// Duration assumed before the first sample, as a fraction of the latency budget.
const ASSUMED_BUDGET_FRACTION: f64 = 0.1;
/// Range of the factor by which a declared size may scale the expected cost of its class. It is limited because clients
/// may declare any size.
const SIZE_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.25..=8.0;
/// Fraction of the duration that is proportional to the declared size.
const SIZE_DEPENDENT_FRACTION: f64 = 0.5;
/// Minimum cost, in microseconds. Otherwise a flood of requests that end immediately would cost nothing.
const MIN_COST: f64 = 100.0;

/// The estimates learned for a class.
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
    /// Creates a model without samples.
    pub fn new(classes: &[RequestClass], cost_per_kb: Micros) -> CostModel {
        let estimates = classes.iter().copied().map(ClassEstimate::new).collect();
        CostModel {
            estimates,
            cost_per_kb: cost_per_kb as f64,
        }
    }

    /// Changes the cost per kilobyte. The learned estimates are kept.
    pub fn reconfigure(&mut self, cost_per_kb: Micros) {
        self.cost_per_kb = cost_per_kb as f64;
    }

    /// Returns the expected cost of a request of this class. `size_kb` is the declared size, or 0 if none was declared.
    pub fn expected_cost(&self, class: usize, size_kb: f64) -> f64 {
        let Some(estimate) = self.estimates.get(class) else {
            return MIN_COST;
        };
        let size_usable = size_kb > 0.0 && size_kb.is_finite() && estimate.size_kb > 0.0;
        if !size_usable {
            return self.total_cost(estimate.duration, estimate.size_kb);
        }
        let (min, max) = (*SIZE_FACTOR_RANGE.start(), *SIZE_FACTOR_RANGE.end());
        let factor = (size_kb / estimate.size_kb).clamp(min, max);
        let duration =
            estimate.duration * (1.0 - SIZE_DEPENDENT_FRACTION + SIZE_DEPENDENT_FRACTION * factor);
        self.total_cost(duration, estimate.size_kb * factor)
    }

    /// Returns the actual cost of a request that took `duration` and transferred `size_kb`.
    pub fn actual_cost(&self, duration: Micros, size_kb: f64) -> f64 {
        self.total_cost(duration.max(0) as f64, size_kb.max(0.0))
    }

    /// Returns the mean duration of requests of this class, or the assumed one before the first sample.
    pub fn mean_duration(&self, class: usize) -> f64 {
        self.estimates
            .get(class)
            .map_or(0.0, |estimate| estimate.duration)
    }

    /// Returns the cost of a duration and a size. The size at most doubles the cost, because the unit of sizes depends
    /// on the configuration.
    fn total_cost(&self, duration: f64, size_kb: f64) -> f64 {
        (duration + (size_kb * self.cost_per_kb).min(duration)).max(MIN_COST)
    }

    /// Updates the estimates of a class with a request that succeeded.
    pub fn record(&mut self, class: usize, duration: Micros, size_kb: f64) {
        let Some(estimate) = self.estimates.get_mut(class) else {
            return;
        };
        estimate.samples = estimate.samples.saturating_add(1);
        // The arithmetic mean of the first samples, and an exponentially weighted mean of later ones.
        let weight = LEARNING_RATE.max(1.0 / f64::from(estimate.samples));
        estimate.duration += weight * (duration.max(0) as f64 - estimate.duration);
        estimate.size_kb += weight * (size_kb.max(0.0) - estimate.size_kb);
    }

    /// Returns the latest time at which a request that was read at `now` may start and still end within its latency
    /// budget. The result is at most `expires`, when the client times out; if the client has timed out already, the
    /// result is at most `now`.
    pub fn latest_start(&self, class: usize, now: Micros, expires: Micros) -> Micros {
        let Some(estimate) = self.estimates.get(class) else {
            return expires;
        };
        let duration = estimate.duration;
        let budget =
            estimate.class.latency_budget as f64 + estimate.class.budget_stretch * duration;
        // Requests of a class whose mean duration exceeds its budget may still wait a little: the routing crate decides
        // when such requests fail.
        let slack = (budget - duration).max(budget * ASSUMED_BUDGET_FRACTION);
        let time_to_answer = (duration as Micros).min((expires - now) / 2);
        (now + slack as Micros).min(expires - time_to_answer)
    }

    /// Returns the classes in the order of the configuration.
    pub fn classes(&self) -> impl Iterator<Item = &RequestClass> {
        self.estimates.iter().map(|estimate| &estimate.class)
    }
}

#[cfg(test)]
mod tests;

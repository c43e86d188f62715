//! Slow start: how much this proxy may send to an endpoint that started recently with an empty cache.
//!
//! The settings give the load that such an endpoint can take, as a fraction of its usual load that grows linearly
//! until the endpoint is warm. Each proxy uses its part of that load without coordination. If endpoints report their
//! capacity, the part is based on an equal share of it; otherwise on the larger of that share and the rate at which
//! this proxy sends to the tier's endpoints on average. A leaky bucket enforces the part: admitted work fills it, and
//! the allowed rate drains it.

use crate::interface::Micros;
use crate::random::Random;
use crate::settings::SlowStartTerms;
use crate::time::SECOND;

/// Fraction of the allowance that this proxy uses.
const ALLOWANCE_FRACTION: f64 = 0.7;
/// Fraction of the allowance of one window that may be used at once.
const BURST_FRACTION: f64 = 0.3;

/// Slow-start state of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStart {
    /// Start time, as listed by discovery or as inferred when the endpoint was unresponsive; 0 for long ago.
    started_at: Micros,
    /// Admitted work that has not drained yet, in microseconds; none before the first request since the start.
    level: Option<f64>,
    level_at: Micros,
}

/// The load that a request brings to an endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Work of the request, in microseconds.
    pub(crate) work: f64,
    /// Average work per second that this proxy sends to an endpoint of the tier, in microseconds.
    pub(crate) tier_rate: f64,
    /// The endpoint's reported capacity in concurrent transfers; 1 if none is reported.
    pub(crate) weight: f64,
}

impl SlowStart {
    /// Restarts slow start for a process that was listed or inferred.
    pub(crate) fn restart(&mut self, started_at: Micros, now: Micros) {
        *self = SlowStart {
            started_at,
            level: None,
            level_at: now,
        };
    }

    /// Moves the start time of an endpoint that is still unreachable. Admitted work stays counted.
    pub(crate) fn postpone(&mut self, started_at: Micros) {
        self.started_at = started_at;
    }

    /// Start time of the endpoint.
    pub(crate) fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Admits a request and counts its work, or refuses it.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        terms: &SlowStartTerms,
        demand: Demand,
        random: &mut Random,
    ) -> bool {
        let uptime = (now - self.started_at).max(0);
        if self.started_at <= 0 || uptime >= terms.duration {
            return true;
        }
        let rate = allowed_rate(terms, demand, uptime);
        let window_work = rate * terms.overload_window as f64;
        // Allows at least one request; a proxy with a smaller share waits longer for it.
        let capacity = demand.work.max(window_work * BURST_FRACTION);
        // The initial level is random, so that the first requests of many proxies do not arrive all at once.
        let level = self.level.unwrap_or_else(|| random.fraction() * capacity);
        let drained = rate * (now - self.level_at) as f64;
        let level = (level - drained).max(0.0);
        let fits = level + demand.work <= capacity;
        self.level = Some(if fits { level + demand.work } else { level });
        self.level_at = now;
        fits
    }
}

/// Rate at which this proxy may send work, in microseconds of work per microsecond.
fn allowed_rate(terms: &SlowStartTerms, demand: Demand, uptime: Micros) -> f64 {
    let remaining = 1.0 - terms.initial_fraction;
    let fraction = terms.initial_fraction + remaining * uptime as f64 / terms.duration as f64;
    let equal_share = demand.weight * SECOND as f64 / terms.proxies.max(1.0);
    let usual_rate = if terms.weights_reported {
        equal_share
    } else {
        demand.tier_rate.max(equal_share)
    };
    terms.overload_factor * fraction * usual_rate * ALLOWANCE_FRACTION / SECOND as f64
}

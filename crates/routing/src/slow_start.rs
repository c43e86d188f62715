//! Slow start: what this proxy may send to an endpoint that came up a short while ago with an empty cache.
//!
//! The deployment names the load that such an endpoint bears, as a fraction of its usual load that grows linearly until
//! it is warm. Each proxy takes a part of it without a word between them: what it sends to the others of the tier
//! anyway, or an equal share of the endpoint's told capacity. A leaky bucket bounds that part: work fills it, and the
//! allowed rate drains it.

use crate::interface::Micros;
use crate::random::Random;
use crate::settings::SlowStartTerms;
use crate::time::SECOND;

/// Fraction of the allowance that this proxy uses.
const ALLOWANCE_FRACTION: f64 = 0.7;
/// Fraction of the allowance of one window that may go out at once.
const BURST_FRACTION: f64 = 0.3;

/// The state of slow start of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStart {
    /// When it came up, as listed or as presumed from its silence; 0 for long ago.
    started_at: Micros,
    /// Work admitted that time has not drained yet, in microseconds; none before the first request since the start.
    level: Option<f64>,
    level_at: Micros,
}

/// What a request asks of an endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    /// Work that it brings, in microseconds.
    pub(crate) work: f64,
    /// Work per second that an endpoint of the tier gets from this proxy on average, in microseconds.
    pub(crate) tier_rate: f64,
    /// The endpoint's reported capacity in transfers at once; 1 where none is reported.
    pub(crate) weight: f64,
}

impl SlowStart {
    /// A new process was listed, or is presumed.
    pub(crate) fn restart(&mut self, started_at: Micros, now: Micros) {
        *self = SlowStart {
            started_at,
            level: None,
            level_at: now,
        };
    }

    /// The endpoint is still unreachable: what it admitted stays counted.
    pub(crate) fn postpone(&mut self, started_at: Micros) {
        self.started_at = started_at;
    }

    /// When it came up.
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
        // At least one request; a proxy with a smaller share waits the longer for it.
        let capacity = demand.work.max(window_work * BURST_FRACTION);
        // A random first level, so that the first requests of many proxies come one by one.
        let level = self.level.unwrap_or_else(|| random.fraction() * capacity);
        let drained = rate * (now - self.level_at) as f64;
        let level = (level - drained).max(0.0);
        let fits = level + demand.work <= capacity;
        self.level = Some(if fits { level + demand.work } else { level });
        self.level_at = now;
        fits
    }
}

/// Work that this proxy may send in each microsecond, in microseconds.
fn allowed_rate(terms: &SlowStartTerms, demand: Demand, uptime: Micros) -> f64 {
    let missing = 1.0 - terms.initial_fraction;
    let fraction = terms.initial_fraction + missing * uptime as f64 / terms.duration as f64;
    let equal_share = demand.weight * SECOND as f64 / terms.proxies.max(1.0);
    let usual_rate = if terms.weights_reported {
        equal_share
    } else {
        demand.tier_rate.max(equal_share)
    };
    terms.overload_factor * fraction * usual_rate * ALLOWANCE_FRACTION / SECOND as f64
}

//! The adaptive limit on what may be in flight at once: to an endpoint, of fills, and of fetches from the origin.
//!
//! The limit grows by a step with each outcome in time that used it, and shrinks by a step with each late one (additive
//! increase, additive decrease, so that no count of samples is needed: a proxy of little traffic steps as its share of
//! all). The ratio of the steps sets the share of late outcomes at which the limit stands still. Below one in flight
//! the limit is the fraction of the time in which one may be.

use crate::estimate::SAMPLE_WEIGHT;
use crate::interface::Micros;
use crate::time::SECOND;

/// In flight at once before anything was measured.
const INITIAL_LIMIT: f64 = 16.0;
/// Least limit: one that recovers has to be found out.
const MINIMUM_LIMIT: f64 = 0.1;
/// Least limit on fetches of all proxies together.
const MINIMUM_FETCHES_OF_ALL: f64 = 8.0;
/// Step down for each late outcome.
const DECREASE_STEP: f64 = 0.8;
/// Steps up for each outcome in time. A late fill still leaves a copy behind, a late fetch leaves one for all caches.
const ENDPOINT_INCREASE_STEP: f64 = 0.1;
const FILL_INCREASE_STEP: f64 = 0.4;
const FETCH_INCREASE_STEP: f64 = 0.8;
/// A late outcome first cuts the limit to this multiple of what has been in use.
const HEADROOM: f64 = 1.1;
/// Fraction of the limit from which on it is near.
const NEAR_FRACTION: f64 = 0.5;
/// Longest pause between two through a limit below one.
const MAX_PAUSE: Micros = 4 * SECOND;
/// Sums of fractional shares leave rounding errors of less than this.
const ROUNDING_ERROR: f64 = 1e-6;
/// Least time between two log lines about the same limit.
const LOG_INTERVAL: Micros = 5 * SECOND;

/// An adaptive concurrency limit. Shares are from 0 to 1: a request that may turn out to be a fill counts in part.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    in_flight: f64,
    /// Recent peak of what was in flight.
    recent_use: f64,
    limit: f64,
    minimum: f64,
    increase_step: f64,
    last_started_at: Micros,
    last_ended_at: Micros,
    last_logged_at: Micros,
}

impl ConcurrencyLimit {
    /// The limit of an endpoint.
    pub(crate) fn for_endpoint() -> ConcurrencyLimit {
        ConcurrencyLimit::new(ENDPOINT_INCREASE_STEP, 0.0)
    }

    /// The limit on fills of this proxy.
    pub(crate) fn for_fills() -> ConcurrencyLimit {
        ConcurrencyLimit::new(FILL_INCREASE_STEP, 0.0)
    }

    /// The limit on fetches from the origin; all proxies share its minimum.
    pub(crate) fn for_fetches(proxies: f64) -> ConcurrencyLimit {
        ConcurrencyLimit::new(
            FETCH_INCREASE_STEP,
            MINIMUM_FETCHES_OF_ALL / proxies.max(1.0),
        )
    }

    fn new(increase_step: f64, minimum: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            minimum: minimum.max(MINIMUM_LIMIT),
            increase_step,
            ..ConcurrencyLimit::default()
        }
    }

    /// What may be in flight now.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight < ROUNDING_ERROR
    }

    /// With this share more, a good part of the limit is in use.
    pub(crate) fn near_limit(&self, share: f64) -> bool {
        self.in_flight + share > self.limit * NEAR_FRACTION
    }

    /// No more may start now. `slack` widens or narrows the limit for the request that asks.
    pub(crate) fn at_limit(&self, now: Micros, slack: f64) -> bool {
        let open = self.limit * slack;
        let busy = (self.last_ended_at - self.last_started_at).max(0) as f64;
        let pause = (busy * (1.0 / open - 1.0)).clamp(0.0, MAX_PAUSE as f64);
        let pausing = now < self.last_ended_at + pause as Micros;
        self.in_flight > (open - 1.0).max(ROUNDING_ERROR) || pausing
    }

    /// A share has started.
    pub(crate) fn start(&mut self, now: Micros, share: f64) {
        self.in_flight += share;
        let smoothed = self.recent_use + SAMPLE_WEIGHT * (self.in_flight - self.recent_use);
        self.recent_use = self.in_flight.max(smoothed);
        if share > 0.0 {
            self.last_started_at = now;
        }
    }

    /// A share has ended, whatever its outcome.
    pub(crate) fn end(&mut self, now: Micros, share: f64) {
        self.in_flight = (self.in_flight - share).max(0.0);
        if share > 0.0 {
            self.last_ended_at = now;
        }
    }

    /// Steps the limit by an outcome. `relative_time` is the time taken over the latency objective: late above 1.
    ///
    /// Returns whether the limit was cut to where it binds and an operator should hear of it.
    pub(crate) fn record_outcome(&mut self, now: Micros, relative_time: f64, share: f64) -> bool {
        if relative_time <= 1.0 {
            if self.near_limit(share) {
                self.limit += self.increase_step * share;
            }
            return false;
        }
        self.limit = self.limit.min(HEADROOM * self.recent_use.max(1.0));
        let step = DECREASE_STEP * share * self.limit.min(1.0);
        self.limit = (self.limit - step).max(self.minimum);
        let binds = self.limit < self.recent_use;
        let log = binds && now > self.last_logged_at + LOG_INTERVAL;
        if log {
            self.last_logged_at = now;
        }
        log
    }
}

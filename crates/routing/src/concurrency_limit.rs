//! Adaptive limit on what may be in flight at once: requests to an endpoint, fills, and fetches from the origin.
//!
//! The limit grows by a step with each outcome within the latency objective while the limit is in use, and shrinks by
//! a step with each late outcome (additive increase, additive decrease). No minimum number of samples is needed: a
//! proxy with little traffic takes steps in proportion to its share of all requests. The ratio of the steps sets the
//! share of late outcomes at which the limit is stable. A limit below one is the fraction of time in which one
//! request may be in flight.

use crate::estimate::SAMPLE_WEIGHT;
use crate::interface::Micros;
use crate::time::SECOND;

/// Limit before anything was measured.
const INITIAL_LIMIT: f64 = 16.0;
/// Minimum limit. It is above 0 so that a recovery is detected.
const MINIMUM_LIMIT: f64 = 0.1;
/// Minimum limit on fetches, summed over all proxies.
const MINIMUM_TOTAL_FETCHES: f64 = 8.0;
/// Decrease of the limit for each late outcome.
const DECREASE_STEP: f64 = 0.8;
/// Increase of the limit for each outcome in time. The steps for fills and fetches are larger, because a late fill
/// still leaves a cached copy and a late fetch leaves one for all caches.
const ENDPOINT_INCREASE_STEP: f64 = 0.1;
const FILL_INCREASE_STEP: f64 = 0.4;
const FETCH_INCREASE_STEP: f64 = 0.8;
/// A late outcome first cuts the limit to this multiple of recent use.
const HEADROOM: f64 = 1.1;
/// Fraction of the limit above which usage counts as near the limit.
const NEAR_FRACTION: f64 = 0.5;
/// Maximum pause between two requests while the limit is below one.
const MAX_PAUSE: Micros = 4 * SECOND;
/// Upper bound on the rounding errors of sums of fractional shares.
const ROUNDING_ERROR: f64 = 1e-6;
/// Minimum time between two log lines about the same limit.
const LOG_INTERVAL: Micros = 5 * SECOND;

/// An adaptive concurrency limit. Shares range from 0 to 1: a request that may need a fill counts as the probability
/// that it does.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    in_flight: f64,
    /// Recent peak of `in_flight`.
    recent_use: f64,
    limit: f64,
    minimum: f64,
    increase_step: f64,
    last_started_at: Micros,
    last_ended_at: Micros,
    last_logged_at: Micros,
}

impl ConcurrencyLimit {
    /// Creates the limit of an endpoint.
    pub(crate) fn for_endpoint() -> ConcurrencyLimit {
        ConcurrencyLimit::new(ENDPOINT_INCREASE_STEP, 0.0)
    }

    /// Creates the limit on fills of this proxy.
    pub(crate) fn for_fills() -> ConcurrencyLimit {
        ConcurrencyLimit::new(FILL_INCREASE_STEP, 0.0)
    }

    /// Creates the limit on fetches from the origin; all proxies share its minimum.
    pub(crate) fn for_fetches(proxies: f64) -> ConcurrencyLimit {
        ConcurrencyLimit::new(
            FETCH_INCREASE_STEP,
            MINIMUM_TOTAL_FETCHES / proxies.max(1.0),
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

    /// How much may be in flight now.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether nothing is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight < ROUNDING_ERROR
    }

    /// Whether a large part of the limit is in use once this share is added.
    pub(crate) fn near_limit(&self, share: f64) -> bool {
        self.in_flight + share > self.limit * NEAR_FRACTION
    }

    /// Whether no more may start now. `slack` scales the limit for the request in question.
    pub(crate) fn at_limit(&self, now: Micros, slack: f64) -> bool {
        let scaled_limit = self.limit * slack;
        let busy = (self.last_ended_at - self.last_started_at).max(0) as f64;
        let pause = (busy * (1.0 / scaled_limit - 1.0)).clamp(0.0, MAX_PAUSE as f64);
        let pausing = now < self.last_ended_at + pause as Micros;
        self.in_flight > (scaled_limit - 1.0).max(ROUNDING_ERROR) || pausing
    }

    /// Records that a share has started.
    pub(crate) fn start(&mut self, now: Micros, share: f64) {
        self.in_flight += share;
        let smoothed = self.recent_use + SAMPLE_WEIGHT * (self.in_flight - self.recent_use);
        self.recent_use = self.in_flight.max(smoothed);
        if share > 0.0 {
            self.last_started_at = now;
        }
    }

    /// Records that a share has ended, whatever its outcome.
    pub(crate) fn end(&mut self, now: Micros, share: f64) {
        self.in_flight = (self.in_flight - share).max(0.0);
        if share > 0.0 {
            self.last_ended_at = now;
        }
    }

    /// Adjusts the limit by an outcome. `relative_time` is the elapsed time divided by the latency objective; above 1
    /// the outcome is late.
    ///
    /// Returns whether the limit was cut below its recent use and a log line is due.
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

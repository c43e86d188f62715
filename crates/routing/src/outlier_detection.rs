//! Outlier detection: which endpoints are ejected, and when a probe request goes out.
//!
//! An endpoint is ejected while it is unresponsive, or while it fails clearly more than the others of its tier; failures
//! that all share come from elsewhere, and with most of a tier ejected the rest would be overloaded. A slow cache is not
//! ejected: its concurrency limit takes what it can do in time, and elsewhere the request would only be a miss. An
//! ejected endpoint gets one request now and then as a probe, more often with each success.

use crate::endpoint::{Endpoint, EndpointTable, Tier};
use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::fault_attribution::Attribution;
use crate::interface::{EndpointIndex, Micros};
use crate::time::SECOND;

/// Failure rate, and excess over the tier's mean, above which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.15;
/// Failure rate below which most requests are still served.
const PARTIAL_FAILURE_RATE: f64 = 0.5;
/// Failure rate above which unanswered requests count as stalls.
const STALL_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 4.0;
/// Slowdown below which what is answered comes at the usual pace.
const USUAL_SLOWDOWN: f64 = 2.0;
/// A cache this many times as slow as the quickest of its tier is a slow outlier.
const SLOW_OUTLIER_FACTOR: f64 = 4.0;
/// Weight of a new outcome in the failure rates.
const FAILURE_WEIGHT: f64 = SAMPLE_WEIGHT / 2.0;
/// Attempts in a row that did not reach an endpoint before it is unreachable.
const UNREACHABLE_ATTEMPTS: u32 = 3;
/// Attempts without any answer, and the time, after which an endpoint is unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 3;
const UNRESPONSIVE_TIME: Micros = SECOND;
/// Silence after which an endpoint that answers again may have been restarted.
const RESTART_SILENCE: Micros = 4 * SECOND;
/// Time between two probe requests to an ejected endpoint.
const PROBE_INTERVAL: Micros = 2 * SECOND;
/// Least time between two log lines about the same unreachable endpoint.
const LOG_INTERVAL: Micros = 5 * SECOND;
/// Successes in a row that count; each halves the time to the next probe request.
const MAX_SUCCESSES: u32 = 5;

/// What is known of an endpoint's failures.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Rate of failures that were surely its own.
    certain_failures: SmoothedValue,
    /// Rate of failures that were its own or its source's.
    suspected_failures: SmoothedValue,
    /// Successes since the last failure, up to [`MAX_SUCCESSES`].
    successes: u32,
    /// When it was given its last request; 0 for never.
    last_attempt_at: Micros,
    /// Attempts that did not reach it since it answered last.
    unreached: u32,
    /// Attempts that it was given since it answered last, and since when there are any.
    unanswered: u32,
    unanswered_since: Micros,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            certain_failures: SmoothedValue::assumed(0.0),
            suspected_failures: SmoothedValue::assumed(0.0),
            successes: 0,
            last_attempt_at: 0,
            unreached: 0,
            unanswered: 0,
            unanswered_since: 0,
        }
    }
}

impl Health {
    /// Forgets the failures of the process before.
    pub(crate) fn forget_failures(&mut self) {
        self.certain_failures = SmoothedValue::assumed(0.0);
        self.suspected_failures = SmoothedValue::assumed(0.0);
    }

    /// The endpoint was chosen for an attempt, as its target or as its source.
    pub(crate) fn chosen(&mut self, now: Micros) {
        self.last_attempt_at = now;
    }

    /// An attempt went out to the endpoint.
    pub(crate) fn attempt_started(&mut self, now: Micros) {
        self.chosen(now);
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
    }

    /// This proxy has not given it a request yet.
    pub(crate) fn is_untried(&self) -> bool {
        self.last_attempt_at == 0
    }

    /// Takes over a failure rate that other proxies measured.
    pub(crate) fn assume_failure_rate(&mut self, rate: f64) {
        self.certain_failures = SmoothedValue::assumed(rate.clamp(0.0, 1.0));
    }

    /// The endpoint answered. Returns whether it was silent for so long that it may have been restarted.
    fn answered(&mut self, now: Micros) -> bool {
        let silent = self.unanswered >= UNRESPONSIVE_ATTEMPTS
            && now > self.unanswered_since + RESTART_SILENCE;
        self.unanswered = 0;
        self.unreached = 0;
        silent
    }

    /// Records what an outcome says of the endpoint.
    pub(crate) fn record(&mut self, now: Micros, attribution: Attribution) {
        let Attribution { certain, suspected } = attribution;
        let rates = [
            (certain, &mut self.certain_failures),
            (suspected, &mut self.suspected_failures),
        ];
        for (failed, rate) in rates {
            if let Some(failed) = failed {
                rate.record(now, f64::from(failed), FAILURE_WEIGHT);
            }
        }
        if certain == Some(true) || suspected == Some(true) {
            self.successes = 0;
        } else if certain.is_some() {
            self.successes = (self.successes + 1).min(MAX_SUCCESSES);
        }
    }

    /// Fraction of its requests that it fails, surely or possibly.
    pub(crate) fn failure_rate(&self, now: Micros) -> f64 {
        let certain = self.certain_failures.decayed(now, 0.0, DECAY_TIME);
        certain.max(self.suspected_failure_rate(now))
    }

    /// Fraction of its requests that it may have failed.
    pub(crate) fn suspected_failure_rate(&self, now: Micros) -> f64 {
        self.suspected_failures.decayed(now, 0.0, DECAY_TIME)
    }

    /// Several attempts in a row have had no answer yet.
    pub(crate) fn has_unanswered_attempts(&self) -> bool {
        self.unanswered >= UNRESPONSIVE_ATTEMPTS
    }

    /// Not reached, or without an answer for so long that it may be gone.
    fn is_unresponsive(&self, now: Micros) -> bool {
        let overdue = now > self.unanswered_since + UNRESPONSIVE_TIME;
        self.unreached >= UNREACHABLE_ATTEMPTS || (self.has_unanswered_attempts() && overdue)
    }

    /// The time for a probe request has come.
    fn probe_due(&self, now: Micros) -> bool {
        now >= self.last_attempt_at + (PROBE_INTERVAL >> self.successes)
    }
}

impl Endpoint {
    /// The endpoint answered. After a long silence it may be a new process that is not listed yet: slow start.
    pub(crate) fn record_answer(&mut self, now: Micros) {
        if self.health.answered(now) {
            self.slow_start.restart(now, now);
        }
    }

    /// An attempt did not reach the endpoint. From [`UNREACHABLE_ATTEMPTS`] on it is treated as if it came up this
    /// moment, so that it is not overloaded when it returns before discovery tells.
    ///
    /// Returns whether an operator should hear of it.
    pub(crate) fn record_unreached(&mut self, now: Micros) -> bool {
        self.health.unreached += 1;
        if self.health.unreached < UNREACHABLE_ATTEMPTS {
            return false;
        }
        let log = now > self.slow_start.started_at() + LOG_INTERVAL;
        if self.health.unreached == UNREACHABLE_ATTEMPTS {
            self.slow_start.restart(now, now);
        } else {
            self.slow_start.postpone(now);
        }
        log
    }

    /// Fails now and then, if at all.
    pub(crate) fn mostly_serves(&self, now: Micros) -> bool {
        !self.health.is_unresponsive(now) && self.health.failure_rate(now) < PARTIAL_FAILURE_RATE
    }

    /// Leaves some requests unanswered while what it answers comes at the usual pace: not an overload.
    pub(crate) fn stalls(&self, now: Micros) -> bool {
        self.health.suspected_failure_rate(now) > STALL_FAILURE_RATE
            && self.slowdown(now) < USUAL_SLOWDOWN
            && self.mostly_serves(now)
    }

    /// How many times its expected time a hit takes.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        self.slowdown.decayed(now, 1.0, DECAY_TIME)
    }
}

impl EndpointTable {
    /// Whether an endpoint is passed over, as it is unresponsive or fails more than its tier, and no probe is due.
    pub(crate) fn is_ejected(&self, index: EndpointIndex, now: Micros) -> bool {
        let health = &self[index].health;
        if health.probe_due(now) {
            return false;
        }
        health.is_unresponsive(now) || self.is_failing(index, now)
    }

    fn is_failing(&self, index: EndpointIndex, now: Micros) -> bool {
        let rate = self[index].health.failure_rate(now);
        rate > EJECTION_FAILURE_RATE
            && rate - self.others_failure_rate(index, now) > EJECTION_FAILURE_RATE
    }

    /// The mean failure rate of the other endpoints of its tier; 0 where there are none.
    fn others_failure_rate(&self, index: EndpointIndex, now: Micros) -> f64 {
        let others = self
            .ready(self[index].tier)
            .filter(|(other, _)| *other != index);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), (_, endpoint)| {
            (sum + endpoint.health.failure_rate(now), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// A cache that is much slower at hits than the quickest: not an overload that all of the zone share.
    pub(crate) fn is_slow_outlier(&self, cache: EndpointIndex, now: Micros) -> bool {
        let slowdowns = self
            .ready(Tier::Cache)
            .map(|(_, endpoint)| endpoint.slowdown(now));
        self[cache].slowdown(now) > SLOW_OUTLIER_FACTOR * slowdowns.fold(f64::INFINITY, f64::min)
    }
}

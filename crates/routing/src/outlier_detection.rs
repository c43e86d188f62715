//! Outlier detection: which endpoints are ejected, and when a probe request is sent.
//!
//! An endpoint is ejected while it is unresponsive, or while its failure rate clearly exceeds that of the other
//! endpoints of its tier. Failures that all endpoints share have another cause, and with most of a tier ejected the
//! rest would be overloaded. A slow cache is not ejected: its concurrency limit admits what it can serve in time, and
//! the request would be a miss at any other cache. An ejected endpoint occasionally gets one request as a probe, more
//! often after each success.

use crate::endpoint::{Endpoint, EndpointTable, Tier};
use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::fault_attribution::Attribution;
use crate::interface::{EndpointIndex, Micros};
use crate::time::SECOND;

/// Failure rate, and excess over the mean of the tier's other endpoints, above which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.15;
/// Failure rate below which most requests are still served.
const PARTIAL_FAILURE_RATE: f64 = 0.5;
/// Failure rate above which unanswered requests count as stalling.
const STALL_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 4.0;
/// Slowdown below which answers come at the usual speed.
const USUAL_SLOWDOWN: f64 = 2.0;
/// A cache is a slow outlier above this multiple of the lowest slowdown in its tier.
const SLOW_OUTLIER_FACTOR: f64 = 4.0;
/// Weight of a new outcome in the failure rates.
const FAILURE_WEIGHT: f64 = SAMPLE_WEIGHT / 2.0;
/// Consecutive failures to connect after which an endpoint is unreachable.
const UNREACHABLE_ATTEMPTS: u32 = 3;
/// Number of unanswered attempts, and time since the first of them, after which an endpoint is unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 3;
const UNRESPONSIVE_TIME: Micros = SECOND;
/// Time without an answer after which an endpoint that answers again may have been restarted.
const RESTART_SILENCE: Micros = 4 * SECOND;
/// Time between two probe requests to an ejected endpoint, before successes shorten it.
const PROBE_INTERVAL: Micros = 2 * SECOND;
/// Minimum time between two log lines about the same unreachable endpoint.
const LOG_INTERVAL: Micros = 5 * SECOND;
/// Maximum number of consecutive successes that count; each halves the time to the next probe request.
const MAX_SUCCESSES: u32 = 5;

/// Failure state of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Rate of failures that were certainly its own.
    certain_failures: SmoothedValue,
    /// Rate of failures that were either its own or its source's.
    suspected_failures: SmoothedValue,
    /// Successes since the last failure, up to [`MAX_SUCCESSES`].
    successes: u32,
    /// When it was last selected for an attempt; 0 for never.
    last_attempt_at: Micros,
    /// Attempts that did not reach it since its last answer.
    connect_failures: u32,
    /// Attempts sent to it since its last answer, and when the first of them was sent.
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
            connect_failures: 0,
            unanswered: 0,
            unanswered_since: 0,
        }
    }
}

impl Health {
    /// Resets the failure rates when a new process replaces the previous one.
    pub(crate) fn forget_failures(&mut self) {
        self.certain_failures = SmoothedValue::assumed(0.0);
        self.suspected_failures = SmoothedValue::assumed(0.0);
    }

    /// Records that the endpoint was selected for an attempt, as its target or as its source.
    pub(crate) fn record_selection(&mut self, now: Micros) {
        self.last_attempt_at = now;
    }

    /// Records that an attempt was sent to the endpoint.
    pub(crate) fn record_attempt(&mut self, now: Micros) {
        self.record_selection(now);
        if self.unanswered == 0 {
            self.unanswered_since = now;
        }
        self.unanswered += 1;
    }

    /// Whether this proxy has not sent a request to the endpoint yet.
    pub(crate) fn is_untried(&self) -> bool {
        self.last_attempt_at == 0
    }

    /// Adopts a failure rate that other proxies measured.
    pub(crate) fn assume_failure_rate(&mut self, rate: f64) {
        self.certain_failures = SmoothedValue::assumed(rate.clamp(0.0, 1.0));
    }

    /// Records an answer. Returns whether the endpoint was silent for so long that it may have been restarted.
    fn record_answer(&mut self, now: Micros) -> bool {
        let silent = self.unanswered >= UNRESPONSIVE_ATTEMPTS
            && now > self.unanswered_since + RESTART_SILENCE;
        self.unanswered = 0;
        self.connect_failures = 0;
        silent
    }

    /// Records what an outcome shows about the endpoint.
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

    /// Fraction of requests that it fails: the higher of the certain and the suspected rate.
    pub(crate) fn failure_rate(&self, now: Micros) -> f64 {
        let certain = self.certain_failures.decayed(now, 0.0, DECAY_TIME);
        certain.max(self.suspected_failure_rate(now))
    }

    /// Fraction of requests that it may have failed.
    pub(crate) fn suspected_failure_rate(&self, now: Micros) -> f64 {
        self.suspected_failures.decayed(now, 0.0, DECAY_TIME)
    }

    /// Whether several consecutive attempts are still unanswered.
    pub(crate) fn has_unanswered_attempts(&self) -> bool {
        self.unanswered >= UNRESPONSIVE_ATTEMPTS
    }

    /// Whether it is unreachable, or has not answered for so long that it may be down.
    fn is_unresponsive(&self, now: Micros) -> bool {
        let overdue = now > self.unanswered_since + UNRESPONSIVE_TIME;
        self.connect_failures >= UNREACHABLE_ATTEMPTS || (self.has_unanswered_attempts() && overdue)
    }

    /// Whether a probe request is due.
    fn probe_due(&self, now: Micros) -> bool {
        now >= self.last_attempt_at + (PROBE_INTERVAL >> self.successes)
    }
}

impl Endpoint {
    /// Records an answer. After a long silence the endpoint may be a new process that discovery does not list yet, so
    /// slow start begins.
    pub(crate) fn record_answer(&mut self, now: Micros) {
        if self.health.record_answer(now) {
            self.slow_start.restart(now, now);
        }
    }

    /// Records an attempt that did not reach the endpoint. From [`UNREACHABLE_ATTEMPTS`] on, the endpoint is treated
    /// as if it had started just now, so that it is not overloaded if it returns before discovery reports it.
    ///
    /// Returns whether a log line is due.
    pub(crate) fn record_connect_failure(&mut self, now: Micros) -> bool {
        self.health.connect_failures += 1;
        if self.health.connect_failures < UNREACHABLE_ATTEMPTS {
            return false;
        }
        let log = now > self.slow_start.started_at() + LOG_INTERVAL;
        if self.health.connect_failures == UNREACHABLE_ATTEMPTS {
            self.slow_start.restart(now, now);
        } else {
            self.slow_start.postpone(now);
        }
        log
    }

    /// Whether the endpoint serves most requests, even if some fail.
    pub(crate) fn serves_most_requests(&self, now: Micros) -> bool {
        !self.health.is_unresponsive(now) && self.health.failure_rate(now) < PARTIAL_FAILURE_RATE
    }

    /// Whether the endpoint leaves some requests unanswered while its other answers come at the usual speed, which
    /// rules out an overload.
    pub(crate) fn is_stalling(&self, now: Micros) -> bool {
        self.health.suspected_failure_rate(now) > STALL_FAILURE_RATE
            && self.slowdown(now) < USUAL_SLOWDOWN
            && self.serves_most_requests(now)
    }

    /// Ratio of the actual to the expected time of hits.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        self.slowdown.decayed(now, 1.0, DECAY_TIME)
    }
}

impl EndpointTable {
    /// Whether an endpoint is excluded because it is unresponsive or fails more than its tier, and no probe is due.
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

    /// Mean failure rate of the other endpoints of its tier; 0 if there are none.
    fn others_failure_rate(&self, index: EndpointIndex, now: Micros) -> f64 {
        let others = self
            .ready(self[index].tier)
            .filter(|(other, _)| *other != index);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), (_, endpoint)| {
            (sum + endpoint.health.failure_rate(now), count + 1.0)
        });
        sum / f64::max(count, 1.0)
    }

    /// Whether a cache is much slower on hits than the fastest one, which rules out an overload of the whole zone.
    pub(crate) fn is_slow_outlier(&self, cache: EndpointIndex, now: Micros) -> bool {
        let slowdowns = self
            .ready(Tier::Cache)
            .map(|(_, endpoint)| endpoint.slowdown(now));
        self[cache].slowdown(now) > SLOW_OUTLIER_FACTOR * slowdowns.fold(f64::INFINITY, f64::min)
    }
}

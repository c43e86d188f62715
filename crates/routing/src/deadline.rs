//! Deadlines: the latency objective of a request, its slack relative to other requests, and the timeouts of its
//! attempts.

use crate::endpoint::Endpoint;
use crate::interface::{AttemptOutcome, Micros, Request};
use crate::pending_request::PendingRequest;
use crate::request_class::RequestClass;
use crate::settings::{ClassSettings, Idempotency, RoutingSettings};

/// Bounds on the factor by which slack scales a limit.
const MIN_SLACK: f64 = 0.5;
const MAX_SLACK: f64 = 3.0;
/// Slack of a typical request at the shared link.
const TYPICAL_LINK_SLACK: f64 = 1.0;
/// Timeout at a stalling endpoint as a fraction of the latency objective, multiplied by the number of the attempt.
const STALL_TIMEOUT_FRACTION: f64 = 0.6;
/// Timeout at an endpoint with several unanswered attempts, in tenths of the remaining time.
const UNANSWERED_TIMEOUT_TENTHS: Micros = 6;
/// Lower bound on work used as a divisor, in microseconds.
pub(crate) const MINIMUM_WORK: f64 = 1.0;

/// Factor by which a request may be slowed down within its latency objective, relative to a typical request of the
/// class with the least slack. Large requests have less slack: in an overload they would be late and would delay
/// others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slack {
    /// Factor by which the concurrency limits are scaled for the request.
    pub(crate) at_limits: f64,
    /// Slack at the link that all proxies share.
    pub(crate) at_link: f64,
}

impl Slack {
    /// `below_floor`: the request belongs to a group of large requests that is below its floor, and gets the maximum
    /// slack. At the shared link it counts as a typical request.
    fn new(own_slack: f64, below_floor: bool) -> Slack {
        if below_floor {
            Slack {
                at_limits: MAX_SLACK,
                at_link: own_slack.max(TYPICAL_LINK_SLACK),
            }
        } else {
            Slack {
                at_limits: own_slack,
                at_link: own_slack,
            }
        }
    }
}

impl ClassSettings {
    /// Latency objective of a request with `work`, in microseconds.
    pub(crate) fn objective(&self, work: f64) -> f64 {
        self.latency_objective as f64 + self.objective_per_work * work
    }

    /// Ratio of the latency objective to the work of a request.
    fn objective_to_work_ratio(&self, work: f64) -> f64 {
        self.objective_per_work + self.latency_objective as f64 / work.max(MINIMUM_WORK)
    }

    /// Elapsed time of an attempt divided by the latency objective of its request; none if the outcome does not
    /// indicate the endpoint's speed. `slowdown` is the factor by which the endpoint is slower than usual.
    pub(crate) fn relative_time(
        &self,
        outcome: AttemptOutcome,
        elapsed: Micros,
        work: f64,
        slowdown: f64,
    ) -> Option<f64> {
        match outcome {
            AttemptOutcome::Success => {
                let objective = slowdown * self.objective(work);
                Some(elapsed as f64 / objective.max(MINIMUM_WORK))
            }
            AttemptOutcome::TimedOut | AttemptOutcome::Rejected => Some(f64::INFINITY),
            _ => None,
        }
    }
}

/// The slack of a request. The last class is for requests whose class is not in the settings, and is excluded from
/// the comparison.
pub(crate) fn slack(
    request: &Request,
    classes: &[RequestClass],
    settings: &RoutingSettings,
) -> Slack {
    let class = &classes[request.class];
    let work = class.expected_work(request, settings);
    let own_slack = if class.settings.uncacheable {
        MAX_SLACK
    } else {
        let named_classes = classes.iter().rev().skip(1);
        let cacheable_classes = named_classes.filter(|class| !class.settings.uncacheable);
        let ratios = cacheable_classes
            .map(|class| class.settings.objective_to_work_ratio(class.work.typical));
        let least_ratio = ratios.fold(f64::INFINITY, f64::min);
        (class.settings.objective_to_work_ratio(work) / least_ratio).clamp(MIN_SLACK, MAX_SLACK)
    };
    let group = class.size_group(work);
    Slack::new(
        own_slack,
        group.is_some_and(|group| class.fairness.is_below_floor(group)),
    )
}

/// Timeout of the next attempt of a request.
///
/// At an endpoint with several unanswered attempts it is a part of the remaining time. At a stalling endpoint it is at
/// most a fraction of the latency objective multiplied by the number of the attempt. The last attempt gets all of the
/// remaining time, and so does any attempt of a request that is not idempotent.
pub(crate) fn attempt_timeout(
    pending: &PendingRequest,
    endpoint: &Endpoint,
    class: &RequestClass,
    settings: &RoutingSettings,
    now: Micros,
) -> Micros {
    let remaining = pending.request.deadline - now;
    let number = pending.attempts.len() + 1;
    let is_last = number >= settings.limits.max_attempts
        || class.settings.idempotency == Idempotency::NonIdempotent;
    if is_last {
        return remaining;
    }
    let timeout = if endpoint.health.has_unanswered_attempts() {
        remaining * UNANSWERED_TIMEOUT_TENTHS / 10
    } else {
        remaining
    };
    if endpoint.is_stalling(now) {
        let objective = class.settings.objective(class.work.typical);
        timeout.min((STALL_TIMEOUT_FRACTION * number as f64 * objective) as Micros)
    } else {
        timeout
    }
}

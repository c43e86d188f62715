//! Deadlines: the latency objective of a request, its slack against others, and the timeouts of its attempts.

use crate::endpoint::Endpoint;
use crate::interface::{AttemptOutcome, Micros, Request};
use crate::pending_request::PendingRequest;
use crate::request_class::RequestClass;
use crate::settings::{ClassSettings, Idempotency, RoutingSettings};

/// Least and most that slack narrows or widens a limit.
const MIN_SLACK: f64 = 0.5;
const MAX_SLACK: f64 = 3.0;
/// The slack from which on a request gets its share of the link.
const LINK_SLACK: f64 = 1.0;
/// Fraction of the latency objective after which a stalling endpoint is given up, for each attempt so far.
const STALL_PATIENCE: f64 = 0.6;
/// Fraction of the remaining time for an endpoint that owes answers, in tenths.
const UNANSWERED_TENTHS: Micros = 6;
/// Work of less than this is not compared with.
pub(crate) const MINIMUM_WORK: f64 = 1.0;

/// How much more a request may be slowed down, within its latency objective, than a usual one of the class with the
/// least slack. In an overload it is the large ones that would come late, and make others late.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slack {
    /// The slack that the limits are widened by.
    pub(crate) granted: f64,
    /// The slack before a link that all share.
    pub(crate) at_link: f64,
}

impl Slack {
    /// `behind`: the request belongs to a group of large ones that is behind its floor, and gets the most slack. Before
    /// the shared link it counts as a usual request.
    fn new(own: f64, behind: bool) -> Slack {
        if behind {
            Slack {
                granted: MAX_SLACK,
                at_link: own.max(LINK_SLACK),
            }
        } else {
            Slack {
                granted: own,
                at_link: own,
            }
        }
    }
}

impl ClassSettings {
    /// The latency objective of a request that takes `work`, in microseconds.
    pub(crate) fn objective(&self, work: f64) -> f64 {
        self.latency_objective as f64 + self.objective_per_work * work
    }

    /// How many times its work a request may take.
    fn stretch(&self, work: f64) -> f64 {
        self.objective_per_work + self.latency_objective as f64 / work.max(MINIMUM_WORK)
    }

    /// The time of an outcome over the latency objective of its request; none where it tells nothing of the endpoint's
    /// pace. `slowdown` is by how much the endpoint is slower than usual.
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

/// The slack of a request. The last class stands for those that the settings do not name, and is not compared with.
pub(crate) fn slack(
    request: &Request,
    classes: &[RequestClass],
    settings: &RoutingSettings,
) -> Slack {
    let class = &classes[request.class];
    let work = class.expected_work(request, settings);
    let own = if class.settings.uncacheable {
        MAX_SLACK
    } else {
        let named = classes.iter().rev().skip(1);
        let cached = named.filter(|class| !class.settings.uncacheable);
        let stretches = cached.map(|class| class.settings.stretch(class.work.typical));
        let least = stretches.fold(f64::INFINITY, f64::min);
        (class.settings.stretch(work) / least).clamp(MIN_SLACK, MAX_SLACK)
    };
    let group = class.size_group(work);
    Slack::new(
        own,
        group.is_some_and(|group| class.fairness.is_behind(group)),
    )
}

/// How long the next attempt of a request may take.
///
/// An endpoint that owes answers gets part of the remaining time, one that stalls part of the latency objective, longer
/// with each attempt. The last attempt gets all that remains.
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
        remaining * UNANSWERED_TENTHS / 10
    } else {
        remaining
    };
    if endpoint.stalls(now) {
        let objective = class.settings.objective(class.work.typical);
        timeout.min((STALL_PATIENCE * number as f64 * objective) as Micros)
    } else {
        timeout
    }
}

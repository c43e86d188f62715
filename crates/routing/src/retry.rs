//! Retries: whether another attempt may go out, who pays for it, and when a fill under way is asked for again.
//!
//! Rule 2: no effect twice. Retries after a failure are paid from a budget that arriving requests fill, so that they cannot
//! feed an overload. Free of charge (`outcome`, `dispatch`): an attempt after a miss that was asked about, after one that was
//! withdrawn before it was written, after the wait for a fill, and one that is planned anew as source or endpoint refused
//! it. All count towards the cap on attempts, but for the last, which never went out.

use crate::endpoint::{EndpointTable, Tier};
use crate::interface::Micros;
use crate::pending_request::{Attempt, PendingRequest};
use crate::request_class::RequestClass;
use crate::settings::{Idempotency, RoutingSettings};
use crate::time::SECOND;

/// Retries that each new request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.2;
/// The most retries that the budget holds.
const MAX_BUDGET: f64 = 20.0;
/// What a retry takes from the budget.
const RETRY_COST: f64 = 1.0;
/// Least time before a fill under way is asked for again.
const MIN_FILL_WAIT: Micros = SECOND / 30;
/// Part of a request's own time after which a fill under way is asked for again.
const FILL_WAIT_PARTS: Micros = 4;

/// The retry budget: a token bucket that new requests fill.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: MAX_BUDGET }
    }

    /// A new request has come.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Pays for a retry, if the budget allows one.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= RETRY_COST;
        if allowed {
            self.tokens -= RETRY_COST;
        }
        allowed
    }
}

impl Idempotency {
    /// Whether another attempt may run beside earlier ones of the same request.
    pub(crate) fn allows_repeat(self, earlier: &[Attempt], now: Micros) -> bool {
        let Some(first) = earlier.iter().find(|attempt| attempt.may_have_run) else {
            return true;
        };
        match self {
            Idempotency::Idempotent => true,
            // Where only endpoints of one group share the keys, the retry would have to go to the same group.
            Idempotency::Keyed {
                shared_by_all,
                window,
            } => shared_by_all && now < first.started_at + window,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// Whether the next attempt of a request may start: in time, within the cap, one at a time, and with no effect twice.
pub(crate) fn may_start_attempt(
    pending: &PendingRequest,
    class: &RequestClass,
    settings: &RoutingSettings,
    now: Micros,
) -> bool {
    pending.request.deadline > now
        && !pending.half_closed
        && pending.attempts.len() < settings.limits.max_attempts
        && !pending.has_attempt_in_flight()
        && class
            .settings
            .idempotency
            .allows_repeat(&pending.attempts, now)
}

/// Whether retries are in vain: only the origin can run the request, and the origin fails.
pub(crate) fn is_in_vain(class: &RequestClass, endpoints: &EndpointTable, now: Micros) -> bool {
    let mut origins = endpoints.ready(Tier::Origin);
    class.settings.uncacheable && origins.any(|(origin, _)| endpoints.is_ejected(origin, now))
}

/// When to ask again for a part whose fill is under way at the cache and cannot be joined; none where the answer would
/// come too late then.
///
/// So a new popular object is filled once, instead of once for each request.
pub(crate) fn next_fill_poll(
    pending: &PendingRequest,
    class: &RequestClass,
    work: f64,
    settings: &RoutingSettings,
    now: Micros,
) -> Option<Micros> {
    let work_time = work as Micros;
    let wait = (work_time / FILL_WAIT_PARTS).max(MIN_FILL_WAIT);
    let at = now + pending.attempts.len() as Micros * wait;
    let objective = pending.arrived_at + class.settings.objective(work) as Micros;
    let late = at + work_time > pending.request.deadline.min(objective);
    (!late && !pending.half_closed && !settings.joins_fills).then_some(at)
}

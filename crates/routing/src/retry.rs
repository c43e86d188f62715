//! Retries: whether another attempt may start, which attempts use the retry budget, and when to ask again for a part
//! whose fill is in progress.
//!
//! Rule 2: no effect happens twice. Retries after a failure are paid from a budget that arriving requests fill, so
//! that retries cannot amplify an overload. Some attempts are free (see `outcome` and `dispatch`): after a miss that
//! the fill policy accepts, after an attempt that was withdrawn before it was written, after waiting for a fill, and
//! when an attempt is planned again because its source or endpoint refused it. All of them count towards the maximum
//! number of attempts, except a refused one, which never started.

use crate::endpoint::{EndpointTable, Tier};
use crate::interface::Micros;
use crate::pending_request::{Attempt, PendingRequest};
use crate::request_class::RequestClass;
use crate::settings::{Idempotency, RoutingSettings};
use crate::time::SECOND;

/// Retries that each new request adds to the budget.
const BUDGET_PER_REQUEST: f64 = 0.2;
/// Maximum number of retries in the budget.
const MAX_BUDGET: f64 = 20.0;
/// Tokens that a retry takes from the budget.
const RETRY_COST: f64 = 1.0;
/// Minimum time before a part whose fill is in progress is requested again.
const MIN_FILL_WAIT: Micros = SECOND / 30;
/// A part whose fill is in progress is requested again after its expected transfer time divided by this.
const FILL_WAIT_DIVISOR: Micros = 4;

/// The retry budget: a token bucket that new requests fill.
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { tokens: MAX_BUDGET }
    }

    /// Adds the tokens of a new request.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_PER_REQUEST).min(MAX_BUDGET);
    }

    /// Takes the cost of a retry from the budget, if it has enough tokens.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= RETRY_COST;
        if allowed {
            self.tokens -= RETRY_COST;
        }
        allowed
    }
}

impl Idempotency {
    /// Whether another attempt may run in addition to earlier ones of the same request, and to those of other requests
    /// with the same effect, the first of which was started at `first_run`.
    pub(crate) fn allows_repeat(
        self,
        earlier: &[Attempt],
        first_run: Option<Micros>,
        now: Micros,
    ) -> bool {
        let own = earlier.iter().find(|attempt| attempt.may_have_run);
        let own = own.map(|attempt| attempt.started_at);
        let Some(first) = own.into_iter().chain(first_run).min() else {
            return true;
        };
        match self {
            Idempotency::Idempotent => true,
            // If only the endpoints of one group share the keys, the retry would have to go to the same group.
            Idempotency::Keyed {
                shared_by_all,
                window,
            } => shared_by_all && now < first + window,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// Whether the next attempt of a request may start: before the deadline, within the maximum number of attempts, one
/// at a time, and without a second effect. `first_run`: when another request with the same effect may first have run.
pub(crate) fn may_start_attempt(
    pending: &PendingRequest,
    first_run: Option<Micros>,
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
            .allows_repeat(&pending.attempts, first_run, now)
}

/// Whether a retry cannot succeed because only the origin can run the request and an origin is ejected.
pub(crate) fn is_retry_futile(
    class: &RequestClass,
    endpoints: &EndpointTable,
    now: Micros,
) -> bool {
    let mut origins = endpoints.ready(Tier::Origin);
    class.settings.uncacheable && origins.any(|(origin, _)| endpoints.is_ejected(origin, now))
}

/// When to ask again for a part whose fill is in progress at the cache and cannot be joined; none if the answer would
/// then be too late.
///
/// This way a newly popular object is filled once instead of once for each request.
pub(crate) fn next_fill_poll(
    pending: &PendingRequest,
    class: &RequestClass,
    work: f64,
    settings: &RoutingSettings,
    now: Micros,
) -> Option<Micros> {
    let work_time = work as Micros;
    let wait = (work_time / FILL_WAIT_DIVISOR).max(MIN_FILL_WAIT);
    let at = now + pending.attempts.len() as Micros * wait;
    let objective = pending.arrived_at + class.settings.objective(work) as Micros;
    let late = at + work_time > pending.request.deadline.min(objective);
    (!late && !pending.half_closed && !settings.joins_fills).then_some(at)
}

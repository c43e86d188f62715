//! Final answers of the router: rejected with Retry-After, or failed. Outside the router a request may also be
//! answered by admission control, by the ledger, on a connection that is closing, and after a panic; docs/on-call.md
//! lists these answers.
//!
//! Rule 1: each request gets one final answer, in time. A request that cannot continue is answered at once, however
//! much time remains, because the client may succeed elsewhere or later.

use crate::interface::{Action, Micros};
use crate::pending_request::PendingRequest;
use crate::random::Random;
use crate::settings::{Idempotency, LimitSettings};
use crate::time::SECOND;

/// Minimum Retry-After, before the cap that the settings give.
const MIN_RETRY_AFTER: Micros = SECOND / 100;
/// Range over which Retry-After is randomized, so that clients rejected in an overload do not all return at once.
const RETRY_AFTER_SPREAD: Micros = SECOND / 2;

/// Builds the answer to a request that cannot continue: rejected with Retry-After if the client can safely send it
/// again, otherwise failed.
pub(crate) fn final_answer(
    pending: &PendingRequest,
    idempotency: Idempotency,
    limits: &LimitSettings,
    random: &mut Random,
) -> Action {
    let id = pending.request.id;
    let spread = (random.fraction() * RETRY_AFTER_SPREAD as f64) as Micros;
    let may_have_run = pending.attempts.iter().any(|attempt| attempt.may_have_run);
    if may_have_run && !is_safe_to_repeat(idempotency) {
        return Action::Fail { id };
    }
    let advice = limits.max_retry_after.min(MIN_RETRY_AFTER + spread);
    Action::Reject {
        id,
        retry_after: if limits.may_advise_retry { advice } else { 0 },
    }
}

/// Whether a client may repeat a request that may already have run.
fn is_safe_to_repeat(idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed { shared_by_all, .. } => shared_by_all,
        Idempotency::NonIdempotent => false,
    }
}

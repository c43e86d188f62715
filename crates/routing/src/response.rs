//! Final answers of the router: rejected with Retry-After, or failed. (Outside the router a request may also be answered by
//! admission control, by the ledger, on a connection that is closing, and after a panic: docs/on-call.md lists them.)
//!
//! Rule 1: one final answer, in time. A request that cannot go on is answered at once, whatever time is left: the
//! client does better elsewhere, or later.

use crate::interface::{Action, Micros};
use crate::pending_request::PendingRequest;
use crate::random::Random;
use crate::settings::{Idempotency, LimitSettings};
use crate::time::SECOND;

/// Least advice to stay away.
const MIN_RETRY_AFTER: Micros = SECOND / 100;
/// Span over which advice is spread, so that those rejected in an overload do not come back together.
const RETRY_AFTER_SPREAD: Micros = SECOND / 2;

/// The answer to a request that cannot go on: rejected with Retry-After where to send it again is harmless, else failed.
pub(crate) fn final_answer(
    pending: &PendingRequest,
    idempotency: Idempotency,
    limits: &LimitSettings,
    random: &mut Random,
) -> Action {
    let id = pending.request.id;
    let spread = (random.fraction() * RETRY_AFTER_SPREAD as f64) as Micros;
    let may_have_run = pending.attempts.iter().any(|attempt| attempt.may_have_run);
    if may_have_run && !is_harmless_to_repeat(idempotency) {
        return Action::Fail { id };
    }
    let advice = limits.max_retry_after.min(MIN_RETRY_AFTER + spread);
    Action::Reject {
        id,
        retry_after: if limits.may_advise_retry { advice } else { 0 },
    }
}

/// Whether a client may send a request again that may have run.
fn is_harmless_to_repeat(idempotency: Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::Keyed { shared_by_all, .. } => shared_by_all,
        Idempotency::NonIdempotent => false,
    }
}

//! Final answers of the router: rejected with Retry-After, or failed. Outside the router a request may also be
//! answered by admission control, by the ledger, on a connection that is closing, and after a panic; docs/on-call.md
//! lists these answers.
//!
//! Rule 1: each request gets one final answer, in time. A request that cannot continue is answered at once, however
//! much time remains, because the client may succeed elsewhere or later.

use crate::interface::{Action, Micros};
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
    id: u32,
    is_unsafe_to_repeat: bool,
    limits: &LimitSettings,
    random: &mut Random,
) -> Action {
    let spread = (random.fraction() * RETRY_AFTER_SPREAD as f64) as Micros;
    if is_unsafe_to_repeat {
        return Action::Fail { id };
    }
    let advice = limits.max_retry_after.min(MIN_RETRY_AFTER + spread);
    Action::Reject {
        id,
        retry_after: if limits.may_advise_retry { advice } else { 0 },
    }
}

impl Idempotency {
    /// Whether a client may repeat a request that may already have run.
    pub(crate) fn is_safe_to_repeat(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { shared_by_all, .. } => shared_by_all,
            Idempotency::NonIdempotent => false,
        }
    }
}

//! An attempt that has ended, and the conclusions that the rules draw from its outcome.

use crate::fault_attribution::Fault;
use crate::fill_policy::FillPolicy;
use crate::interface::{AttemptEnd, AttemptOutcome, CacheStatus, Micros, Request};
use crate::pending_request::Attempt;

/// An attempt that has ended, with the data that the rules need.
pub(crate) struct EndedAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) attempt: Attempt,
    pub(crate) request: Request,
    pub(crate) fault: Fault,
    /// The request already had its final answer.
    pub(crate) request_answered: bool,
    /// The class's answers are never cached.
    pub(crate) uncacheable: bool,
    /// Caches report for each answer how they obtained it.
    pub(crate) complete_cache_status: bool,
    /// Latency objective of a request of the class with no work.
    pub(crate) latency_objective: Micros,
    /// Expected time of the request at full speed, in microseconds, as estimated before this attempt ended.
    pub(crate) expected_work: f64,
    /// Ratio of the actual to the expected time of hits at the endpoint before this attempt ended; at least 1.
    pub(crate) slowdown: f64,
    /// The work that the attempt counts for, in microseconds; 0 unless it succeeded.
    pub(crate) work_done: f64,
}

impl EndedAttempt {
    pub(crate) fn policy(&self) -> FillPolicy {
        self.attempt.policy
    }

    pub(crate) fn succeeded(&self) -> bool {
        self.end.outcome == AttemptOutcome::Success
    }

    pub(crate) fn missed(&self) -> bool {
        self.end.outcome == AttemptOutcome::Miss
    }

    /// Whether a miss was an accepted answer of the attempt. It only determines where the next attempt goes.
    pub(crate) fn is_expected_miss(&self) -> bool {
        self.missed() && self.policy().accepts_miss()
    }

    /// Whether the answer is known to come from the cache itself. The time of any other answer may include a fill.
    pub(crate) fn is_known_hit(&self) -> bool {
        matches!(self.end.cache_status, CacheStatus::Hit | CacheStatus::Stale)
            || (self.policy().stays_at_cache() && self.succeeded())
    }

    /// Whether the cache reports that it was filled for this request.
    pub(crate) fn was_filled(&self) -> bool {
        let status = self.end.cache_status;
        matches!(
            status,
            CacheStatus::FilledFromParent | CacheStatus::FilledFromOrigin
        )
    }

    /// Whether the attempt succeeded and the first byte of the source came early, so that the rest of the time was
    /// spent on the link.
    pub(crate) fn had_early_first_byte(&self) -> bool {
        let early = |first_byte| first_byte < self.latency_objective / 2;
        self.succeeded() && self.end.first_byte.is_some_and(early)
    }

    /// Whether the cache does not have the part yet and a fill of it is in progress there.
    pub(crate) fn found_fill_in_progress(&self) -> bool {
        self.policy() == FillPolicy::CacheOnly
            && self.missed()
            && self.end.cache_status == CacheStatus::JoinedFill
    }

    /// Whether the attempt was cancelled before it was written, so it never ran.
    pub(crate) fn was_withdrawn(&self) -> bool {
        self.attempt.withdrawn && self.end.outcome == AttemptOutcome::Superseded
    }

    /// Whether the endpoint answered. A connection reset does not count: it also shows that a process was there, but
    /// if the process died, it refuses the next connection.
    pub(crate) fn was_answered(&self) -> bool {
        matches!(
            self.end.outcome,
            AttemptOutcome::Success
                | AttemptOutcome::Miss
                | AttemptOutcome::Error
                | AttemptOutcome::Rejected
        )
    }

    /// Whether the time of the attempt indicates how loaded fills are. An unavailable source does not indicate that:
    /// it is avoided, while links and other sources have capacity.
    pub(crate) fn measures_fill_load(&self) -> bool {
        let status = self.end.cache_status;
        let source_unavailable = matches!(
            status,
            CacheStatus::SourceUnreachable | CacheStatus::SourceRejected
        );
        let is_fill = self.attempt.fill_share > 0.0 && !self.is_known_hit();
        is_fill && !self.uncacheable && !source_unavailable
    }

    /// Whether the time of the attempt indicates how loaded the cache itself is.
    pub(crate) fn measures_endpoint_load(&self) -> bool {
        self.succeeded() && self.is_known_hit() && !self.uncacheable
    }
}

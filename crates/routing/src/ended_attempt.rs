//! An attempt that has ended, and what its end says: the questions that the rules ask of an outcome.

use crate::fault_attribution::Fault;
use crate::fill_policy::FillPolicy;
use crate::interface::{AttemptEnd, AttemptOutcome, CacheStatus, Micros, Request};
use crate::pending_request::Attempt;

/// An attempt that has ended, with what the rules ask of it.
pub(crate) struct EndedAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) attempt: Attempt,
    pub(crate) request: Request,
    pub(crate) fault: Fault,
    /// The request was over before.
    pub(crate) request_answered: bool,
    /// The class's answers are never cached.
    pub(crate) uncacheable: bool,
    /// Caches report how they came by each answer.
    pub(crate) complete_status: bool,
    /// Latency objective of a request of the class that takes no work.
    pub(crate) latency_objective: Micros,
    /// Time that the request takes at full pace, in microseconds, as expected before this end.
    pub(crate) expected_work: f64,
    /// How many times its expected time a hit of the endpoint took before this end; at least 1.
    pub(crate) slowdown: f64,
    /// The work that it counts for, in microseconds; 0 unless it was served.
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

    /// A miss that the attempt asked about: it only tells where to ask next.
    pub(crate) fn is_expected_miss(&self) -> bool {
        self.missed() && self.policy().may_miss()
    }

    /// Served from the cache itself, as far as it is known: elsewhere times of fills are mixed in.
    pub(crate) fn is_known_hit(&self) -> bool {
        matches!(self.end.cache_status, CacheStatus::Hit | CacheStatus::Stale)
            || (self.policy().stays_at_cache() && self.succeeded())
    }

    /// The cache reports that it was filled for this request.
    pub(crate) fn was_filled(&self) -> bool {
        let status = self.end.cache_status;
        matches!(
            status,
            CacheStatus::FilledFromParent | CacheStatus::FilledFromOrigin
        )
    }

    /// Served, with the first byte of the source early: the rest of the time was spent at the link.
    pub(crate) fn had_early_first_byte(&self) -> bool {
        let early = |first_byte| first_byte < self.latency_objective / 2;
        self.succeeded() && self.end.first_byte.is_some_and(early)
    }

    /// The cache has not got it yet, and a fill of it is under way there.
    pub(crate) fn found_fill_under_way(&self) -> bool {
        self.policy() == FillPolicy::CacheOnly
            && self.missed()
            && self.end.cache_status == CacheStatus::JoinedFill
    }

    /// Cancelled before it was written, so it never ran.
    pub(crate) fn was_withdrawn(&self) -> bool {
        self.attempt.withdrawn && self.end.outcome == AttemptOutcome::Superseded
    }

    /// The endpoint answered. A reset too says that somebody is there, but a process that died refuses the next
    /// connection.
    pub(crate) fn was_answered(&self) -> bool {
        matches!(
            self.end.outcome,
            AttemptOutcome::Success
                | AttemptOutcome::Miss
                | AttemptOutcome::Error
                | AttemptOutcome::Rejected
        )
    }

    /// Its time says how loaded fills are. A source that cannot be reached says nothing of that: it is passed over, and
    /// links and other sources have capacity.
    pub(crate) fn judges_fills(&self) -> bool {
        let status = self.end.cache_status;
        let source_unavailable = matches!(
            status,
            CacheStatus::SourceUnreachable | CacheStatus::SourceRejected
        );
        let is_fill = self.attempt.fill_share > 0.0 && !self.is_known_hit();
        is_fill && !self.uncacheable && !source_unavailable
    }

    /// Its time says how loaded the cache itself is.
    pub(crate) fn judges_endpoint(&self) -> bool {
        self.succeeded() && self.is_known_hit() && !self.uncacheable
    }
}

//! The state of a request, from its arrival until it has its final answer and none of its attempts is in flight.

use crate::fill_policy::FillPolicy;
use crate::interface::{EndpointIndex, Fill, Micros, Request};
use crate::tail_retention::Retention;
use smallvec::SmallVec;

/// A planned attempt, which must still pass the limits of its source and its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedAttempt {
    pub(crate) id: u32,
    pub(crate) endpoint: EndpointIndex,
    pub(crate) fill: Fill,
    pub(crate) policy: FillPolicy,
    /// Expected fraction of a fill, and of a fetch from the origin, that it causes: from 0 to 1.
    pub(crate) fill_share: f64,
    pub(crate) fetch_share: f64,
    /// Slack in its latency objective relative to a usual request; it widens or narrows the limits for this attempt.
    pub(crate) slack: f64,
    pub(crate) timeout: Micros,
    /// Work for the endpoint, and work for the source if a miss is filled, in microseconds.
    pub(crate) work: f64,
    pub(crate) fill_work: f64,
    /// Work per second that one endpoint does for this proxy, in microseconds: one of the endpoint's tier, and a
    /// parent.
    pub(crate) endpoint_tier_rate: f64,
    pub(crate) parent_tier_rate: f64,
    /// Time of the latest invalidation, or bound on copies, that the plan took into account. A later one that applies
    /// to the request withdraws the attempt before it is written.
    pub(crate) known_bound: Option<Micros>,
}

impl PlannedAttempt {
    /// The source, if a miss would be filled from another endpoint.
    pub(crate) fn source(&self) -> Option<EndpointIndex> {
        Some(self.fill.source).filter(|source| *source != self.endpoint)
    }
}

/// An attempt that was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointIndex,
    /// The address that the endpoint had when the attempt was started.
    pub(crate) address: u64,
    pub(crate) source: Option<EndpointIndex>,
    pub(crate) started_at: Micros,
    pub(crate) in_flight: bool,
    /// True until its outcome proves that it never ran.
    pub(crate) may_have_run: bool,
    /// The endpoint, or the source, must not be tried again for this request.
    pub(crate) endpoint_excluded: bool,
    pub(crate) source_excluded: bool,
    pub(crate) fill_share: f64,
    pub(crate) fetch_share: f64,
    pub(crate) policy: FillPolicy,
    /// Its outcome does not show what the endpoint has cached now: it stalled, was withdrawn, or met a fill in
    /// progress.
    pub(crate) inconclusive: bool,
    /// As [`PlannedAttempt::known_bound`].
    pub(crate) known_bound: Option<Micros>,
    /// Cancelled before it was written, because the state that its plan relied on had changed.
    pub(crate) withdrawn: bool,
}

impl Attempt {
    fn start(planned: &PlannedAttempt, address: u64, now: Micros) -> Attempt {
        Attempt {
            endpoint: planned.endpoint,
            address,
            source: planned.source(),
            started_at: now,
            in_flight: true,
            may_have_run: true,
            endpoint_excluded: false,
            source_excluded: false,
            fill_share: planned.fill_share,
            fetch_share: planned.fetch_share,
            policy: planned.policy,
            inconclusive: false,
            known_bound: planned.known_bound,
            withdrawn: false,
        }
    }

    fn excludes(&self, endpoint: EndpointIndex) -> bool {
        let as_endpoint = self.endpoint == endpoint && (self.in_flight || self.endpoint_excluded);
        as_endpoint || (self.source == Some(endpoint) && self.source_excluded)
    }
}

/// A request that still needs an answer, or has attempts in flight.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) retention: Retention,
    pub(crate) arrived_at: Micros,
    /// It has its final answer, or its client has disconnected.
    pub(crate) answered: bool,
    /// The client has been sent the start of an answer: no further attempt may start.
    pub(crate) response_started: bool,
    /// The client has closed its sending side: no further attempt may start.
    pub(crate) half_closed: bool,
    /// A timer is set, after which the request asks again for the part of a fill in progress.
    pub(crate) waits_for_fill: bool,
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    /// Endpoints whose concurrency limit or slow start refused an attempt before it started.
    pub(crate) refused_by: Vec<EndpointIndex>,
}

impl PendingRequest {
    pub(crate) fn new(request: Request, retention: Retention, now: Micros) -> PendingRequest {
        PendingRequest {
            request,
            retention,
            arrived_at: now,
            answered: false,
            response_started: false,
            half_closed: false,
            waits_for_fill: false,
            attempts: SmallVec::new(),
            refused_by: Vec::new(),
        }
    }

    /// Adds a started attempt. `address` is that of its endpoint.
    pub(crate) fn start_attempt(&mut self, planned: &PlannedAttempt, address: u64, now: Micros) {
        self.attempts.push(Attempt::start(planned, address, now));
    }

    /// Waits for a fill in progress; after that, what earlier attempts asked for may be asked for again.
    pub(crate) fn wait_for_fill(&mut self) {
        self.waits_for_fill = true;
        for attempt in &mut self.attempts {
            attempt.inconclusive = true;
        }
    }

    /// Whether no answer has been sent or started, and the client has not disconnected.
    pub(crate) fn awaits_response(&self) -> bool {
        !self.answered && !self.response_started
    }

    /// Whether any of its attempts may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether an endpoint may not be used for the next attempt, as target or as source.
    pub(crate) fn excludes(&self, endpoint: EndpointIndex) -> bool {
        self.refused_by.contains(&endpoint)
            || self
                .attempts
                .iter()
                .any(|attempt| attempt.excludes(endpoint))
    }

    /// Whether an endpoint was already asked with this fill policy, and its answer still holds.
    pub(crate) fn has_tried(&self, endpoint: EndpointIndex, policy: FillPolicy) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.endpoint == endpoint
                && !attempt.in_flight
                && !attempt.inconclusive
                && attempt.policy == policy
        })
    }
}

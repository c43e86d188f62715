//! The state of a request: from its arrival until it has its final answer and none of its attempts is in flight.

use crate::fill_policy::FillPolicy;
use crate::interface::{EndpointIndex, Fill, Micros, Request};
use crate::tail_retention::Retention;
use smallvec::SmallVec;

/// An attempt that has been planned, on its way through the limits of its source and its endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedAttempt {
    pub(crate) id: u32,
    pub(crate) endpoint: EndpointIndex,
    pub(crate) fill: Fill,
    pub(crate) policy: FillPolicy,
    /// How much of a fill, and of a fetch from the origin, it is expected to be: from 0 to 1.
    pub(crate) fill_share: f64,
    pub(crate) fetch_share: f64,
    /// Slack in its latency objective against a usual request: widens or narrows the limits for it.
    pub(crate) slack: f64,
    pub(crate) timeout: Micros,
    /// Work that it brings to the endpoint, and what a fill of it would bring to the source, in microseconds.
    pub(crate) work: f64,
    pub(crate) fill_work: f64,
    /// Work per second that an endpoint of each tier does for this proxy, in microseconds.
    pub(crate) endpoint_tier_rate: f64,
    pub(crate) parent_tier_rate: f64,
    /// The latest moment of an invalidation, or of a bound on copies, that it was planned with: a later one that binds
    /// withdraws it before it is written.
    pub(crate) known_bound: Option<Micros>,
}

impl PlannedAttempt {
    /// The source, where a miss would be filled from another endpoint.
    pub(crate) fn source(&self) -> Option<EndpointIndex> {
        Some(self.fill.source).filter(|source| *source != self.endpoint)
    }
}

/// An attempt that was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointIndex,
    pub(crate) source: Option<EndpointIndex>,
    pub(crate) started_at: Micros,
    pub(crate) in_flight: bool,
    /// True until its end proves otherwise.
    pub(crate) may_have_run: bool,
    /// The endpoint, or the source, is not to be tried again for this request.
    pub(crate) endpoint_spent: bool,
    pub(crate) source_spent: bool,
    pub(crate) fill_share: f64,
    pub(crate) fetch_share: f64,
    pub(crate) policy: FillPolicy,
    /// Its end says nothing of what the endpoint has cached now: it stalled, was withdrawn, or a fill was under way.
    pub(crate) inconclusive: bool,
    /// The latest bound on the age of copies that it was planned with.
    pub(crate) known_bound: Option<Micros>,
    /// Cancelled before it was written, as what it was planned with had changed.
    pub(crate) withdrawn: bool,
}

impl Attempt {
    fn start(planned: &PlannedAttempt, now: Micros) -> Attempt {
        Attempt {
            endpoint: planned.endpoint,
            source: planned.source(),
            started_at: now,
            in_flight: true,
            may_have_run: true,
            endpoint_spent: false,
            source_spent: false,
            fill_share: planned.fill_share,
            fetch_share: planned.fetch_share,
            policy: planned.policy,
            inconclusive: false,
            known_bound: planned.known_bound,
            withdrawn: false,
        }
    }

    fn has_spent(&self, endpoint: EndpointIndex) -> bool {
        let as_endpoint = self.endpoint == endpoint && (self.in_flight || self.endpoint_spent);
        as_endpoint || (self.source == Some(endpoint) && self.source_spent)
    }
}

/// A request that is owed an answer, or has attempts in flight.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) retention: Retention,
    pub(crate) arrived_at: Micros,
    /// It has its final answer, or its client has left.
    pub(crate) answered: bool,
    /// The client has been sent the start of an answer: no attempt may follow.
    pub(crate) response_started: bool,
    /// The client has ended its side: no attempt may begin.
    pub(crate) half_closed: bool,
    /// A timer is set, after which a fill under way is asked for again.
    pub(crate) waits_for_fill: bool,
    pub(crate) attempts: SmallVec<[Attempt; 1]>,
    /// Endpoints whose limit or slow start refused an attempt before it was started.
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

    pub(crate) fn start_attempt(&mut self, planned: &PlannedAttempt, now: Micros) {
        self.attempts.push(Attempt::start(planned, now));
    }

    /// Waits for a fill under way; what the attempts so far found is asked again after that.
    pub(crate) fn wait_for_fill(&mut self) {
        self.waits_for_fill = true;
        for attempt in &mut self.attempts {
            attempt.inconclusive = true;
        }
    }

    /// Whether an attempt may still follow.
    pub(crate) fn may_go_on(&self) -> bool {
        !self.answered && !self.response_started
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether an endpoint is out of the question for the next attempt, as target or as source.
    pub(crate) fn has_spent(&self, endpoint: EndpointIndex) -> bool {
        self.refused_by.contains(&endpoint)
            || self
                .attempts
                .iter()
                .any(|attempt| attempt.has_spent(endpoint))
    }

    /// Whether an endpoint was already asked with a policy, and its answer still holds.
    pub(crate) fn has_tried(&self, endpoint: EndpointIndex, policy: FillPolicy) -> bool {
        self.attempts.iter().any(|attempt| {
            attempt.endpoint == endpoint
                && !attempt.in_flight
                && !attempt.inconclusive
                && attempt.policy == policy
        })
    }
}

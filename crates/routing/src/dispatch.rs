//! Dispatch: reserves capacity for a planned attempt at its source and its endpoint, and starts it.
//!
//! All attempts start here. Rules 3 and 4: no request goes to an endpoint that is draining or was removed, and a
//! warming endpoint gets no more than this proxy's share of what it may receive.

use crate::endpoint::Tier;
use crate::interface::{Action, EndpointIndex, Micros};
use crate::pending_request::PlannedAttempt;
use crate::router::Router;
use crate::slow_start::Demand;

/// Why an attempt was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// The endpoint is draining, its slow start does not admit the request, or it is a parent at its limit on fills.
    Unavailable(EndpointIndex),
    /// The endpoint is at its concurrency limit.
    AtLimit(EndpointIndex),
}

impl Router {
    /// Starts a planned attempt. If its endpoint or source refuses it, another attempt is planned without that
    /// endpoint or source. A request that cannot continue gets its final answer.
    pub(crate) fn dispatch(
        &mut self,
        planned: PlannedAttempt,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let id = planned.id;
        let mut next = Some(planned);
        while let Some(planned) = next {
            let refused_by = match self.reserve(&planned, now) {
                Ok(()) => return self.start_attempt(&planned, now, actions),
                Err(Refusal::Unavailable(endpoint)) => endpoint,
                Err(Refusal::AtLimit(cache)) if self.may_try_next_cache(&planned, now) => cache,
                Err(Refusal::AtLimit(_)) => return self.reject_or_fail(id, now, actions),
            };
            if let Some(pending) = self.requests.get_mut(&id) {
                pending.refused_by.push(refused_by);
            }
            next = self.plan_or_answer(id, now, actions);
        }
    }

    /// Reserves capacity at the source, then at the endpoint. If the endpoint refuses, the reservation at the source
    /// is not undone: its slow start drains the reserved work over time, and its next probe request is slightly
    /// delayed.
    fn reserve(&mut self, planned: &PlannedAttempt, now: Micros) -> Result<(), Refusal> {
        if let Some(source) = planned.source() {
            self.reserve_source(source, planned, now)?;
        }
        self.reserve_endpoint(planned, now)
    }

    /// Reserves capacity at the source. If a parent is at its limit, the fill moves to the next parent by hash.
    /// Otherwise the links of the two parents of a very popular object would be saturated while those of the others
    /// are idle.
    fn reserve_source(
        &mut self,
        source: EndpointIndex,
        planned: &PlannedAttempt,
        now: Micros,
    ) -> Result<(), Refusal> {
        let parent = &self.endpoints[source];
        let at_limit = parent.tier == Tier::Parent && parent.limit.at_limit(now, planned.slack);
        if at_limit || !self.admits(source, planned.fill_work, planned.parent_tier_rate, now) {
            return Err(Refusal::Unavailable(source));
        }
        self.endpoints[source].health.record_selection(now);
        Ok(())
    }

    fn reserve_endpoint(&mut self, planned: &PlannedAttempt, now: Micros) -> Result<(), Refusal> {
        if self.endpoints[planned.endpoint]
            .limit
            .at_limit(now, planned.slack)
        {
            return Err(Refusal::AtLimit(planned.endpoint));
        }
        if !self.admits(
            planned.endpoint,
            planned.work,
            planned.endpoint_tier_rate,
            now,
        ) {
            return Err(Refusal::Unavailable(planned.endpoint));
        }
        Ok(())
    }

    /// Whether an endpoint accepts requests and its slow start admits this one.
    fn admits(&mut self, index: EndpointIndex, work: f64, tier_rate: f64, now: Micros) -> bool {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.accepts_requests {
            return false;
        }
        let terms = match endpoint.tier {
            Tier::Cache | Tier::OtherZone => self.settings.cache_slow_start(endpoint.zone),
            Tier::Parent => self.settings.parent_slow_start(),
            Tier::Origin => return true,
        };
        let demand = Demand {
            work,
            tier_rate,
            weight: endpoint.weight,
        };
        endpoint
            .slow_start
            .admit(now, &terms, demand, &mut self.random)
    }

    /// Whether a request may go to the next cache, which would have to fill it, because this cache is at its limit.
    ///
    /// An overload must not spread to other caches. A slow outlier does not indicate an overload: it will not carry
    /// its share of the load for some time, and the next cache has capacity.
    fn may_try_next_cache(&self, planned: &PlannedAttempt, now: Micros) -> bool {
        if !self.endpoints.is_slow_outlier(planned.endpoint, now) {
            return false;
        }
        let Some(pending) = self.requests.get(&planned.id) else {
            return false;
        };
        let part = u64::from(pending.request.part);
        let caches = self.endpoints.candidates(pending, Tier::Cache, part);
        let mut others = caches
            .into_iter()
            .filter(|cache| *cache != planned.endpoint);
        let next = others.find(|cache| !self.endpoints.is_ejected(*cache, now));
        next.is_some_and(|next| !self.endpoints[next].is_near_limit())
    }

    fn start_attempt(&mut self, planned: &PlannedAttempt, now: Micros, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&planned.id) else {
            return;
        };
        let endpoint = &mut self.endpoints[planned.endpoint];
        pending.start_attempt(planned, endpoint.address, now);
        self.effects.record_start(now, pending.request.effect);
        endpoint.limit.start(now, 1.0);
        endpoint.health.record_attempt(now);
        if let Some(source) = planned.source() {
            let source = &mut self.endpoints[source];
            if source.tier == Tier::Parent {
                source.limit.start(now, planned.fill_share);
            }
        }
        self.fill_limits
            .start(now, planned.fill_share, planned.fetch_share);
        actions.push(Action::StartAttempt {
            id: planned.id,
            endpoint: planned.endpoint,
            timeout: planned.timeout,
            fill: Some(planned.fill),
        });
    }
}

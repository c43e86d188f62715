//! Planning: where the next attempt of a request goes, and how.
//!
//! Asked in this order: may an attempt start at all (`retry`), which endpoint and source (`placement`,
//! `source_selection`, `outlier_detection`), how far it may go (`fill_policy`), with which copies (`freshness`), and how
//! long (`deadline`).

use crate::deadline::{attempt_timeout, slack};
use crate::endpoint::Tier;
use crate::fill_policy::{FillPolicy, FillQuestion};
use crate::interface::{Action, EndpointIndex, Fill, Micros};
use crate::pending_request::{PendingRequest, PlannedAttempt};
use crate::placement::ANY_PART;
use crate::request_class::RequestClass;
use crate::retry::may_start_attempt;
use crate::router::Router;
use crate::tail_retention::UNCACHED;

/// Where an attempt goes, and from where a miss is filled.
struct Route {
    endpoint: EndpointIndex,
    /// The endpoint itself where there is no other source.
    source: EndpointIndex,
}

impl Router {
    /// Plans the next attempt of a request. One that cannot go on gets its final answer instead; one that has an answer,
    /// or the start of one, needs neither.
    pub(crate) fn plan_or_answer(
        &mut self,
        id: u32,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Option<PlannedAttempt> {
        if !self.requests.get(&id)?.awaits_response() {
            return None;
        }
        let planned = self.plan_attempt(id, now);
        if planned.is_none() {
            self.give_up(id, now, actions);
        }
        planned
    }

    /// Plans the next attempt of a request; none where it cannot go on now.
    fn plan_attempt(&mut self, id: u32, now: Micros) -> Option<PlannedAttempt> {
        let pending = self.requests.get(&id)?;
        let request = pending.request;
        let class = &self.classes[request.class];
        if !may_start_attempt(pending, class, &self.settings, now) {
            return None;
        }
        let uncacheable = class.settings.uncacheable;
        let route = self.choose_route(pending, uncacheable, now)?;
        let slack = slack(&request, &self.classes, &self.settings);
        let capacity = self.fill_limits.capacity(now, slack, &mut self.random);
        let question = self.fill_question(pending, class, &route);
        let policy = self.fill_limits.choose(now, &question, capacity)?;
        let (fill_share, fetch_share) = self.fill_limits.shares(now, policy, uncacheable);
        let endpoint = &self.endpoints[route.endpoint];
        let expected_work = class.expected_work(&request, &self.settings);
        let work = class.work.for_slow_start;
        Some(PlannedAttempt {
            id,
            endpoint: route.endpoint,
            fill: self.fill(pending, class, &route, policy, now),
            policy,
            fill_share,
            fetch_share,
            slack: slack.granted,
            timeout: attempt_timeout(pending, endpoint, class, &self.settings, now),
            work,
            // All of it, not its likely part: emptied caches overload a warming parent before a miss rate has moved.
            fill_work: if request.size_kb > 0.0 {
                expected_work
            } else {
                work
            },
            endpoint_tier_rate: self.work_rate_of(endpoint.tier, now),
            parent_tier_rate: self.work_rate_of(Tier::Parent, now),
            known_bound: self.freshness.binding_moment(now, &request),
        })
    }

    /// The endpoint and the source of a request's next attempt.
    fn choose_route(
        &self,
        pending: &PendingRequest,
        uncacheable: bool,
        now: Micros,
    ) -> Option<Route> {
        let origin = self.endpoints.candidates(pending, Tier::Origin, ANY_PART);
        let origin = origin.first().copied();
        let straight_to_origin = origin.filter(|_| uncacheable);
        let source =
            straight_to_origin.or_else(|| self.endpoints.select_source(pending, origin, now));
        let may_bypass = self.settings.may_bypass_caches;
        let caches =
            self.endpoints
                .candidates(pending, Tier::Cache, u64::from(pending.request.part));
        let endpoint = match self.choose_cache(&caches, now) {
            Some(cache) if !(uncacheable && may_bypass) => Some(cache),
            // Past the caches only where none is sound, or none would keep it anyway.
            _ if may_bypass => source,
            _ => caches.first().copied(),
        }?;
        // A parent that names itself as its source would fetch nothing.
        let is_parent = self.endpoints[endpoint].tier == Tier::Parent;
        let source = if is_parent { origin } else { source };
        Some(Route {
            endpoint,
            source: source.unwrap_or(endpoint),
        })
    }

    /// The first cache by the hash that is not ejected; none where all are. Where it is near its limit, `home`, the first
    /// by the hash whether ejected or not, takes the request after all, as long as it mostly serves: most requests are hits
    /// there, and the rest of a zone must not be overloaded by what an ejected part of it had.
    fn choose_cache(&self, caches: &[EndpointIndex], now: Micros) -> Option<EndpointIndex> {
        let mut sound = caches
            .iter()
            .copied()
            .filter(|cache| !self.endpoints.is_ejected(*cache, now));
        let cache = sound.next()?;
        let home = caches.first().copied();
        let home = home.filter(|home| self.endpoints[*home].mostly_serves(now));
        if self.endpoints[cache].is_near_limit() {
            return home.or(Some(cache));
        }
        Some(cache)
    }

    fn fill_question(
        &self,
        pending: &PendingRequest,
        class: &RequestClass,
        route: &Route,
    ) -> FillQuestion {
        let tried = |policy| pending.has_tried(route.endpoint, policy);
        let requested_recently = pending.retention.requested_recently;
        FillQuestion {
            tier: self.endpoints[route.endpoint].tier,
            uncacheable: class.settings.uncacheable,
            source_is_origin: self.endpoints[route.source].tier == Tier::Origin,
            may_be_filling: requested_recently && !self.settings.joins_fills,
            may_serve_stale: class.settings.stale_grace != 0,
            tried_cache_only: tried(FillPolicy::CacheOnly),
            tried_stale: tried(FillPolicy::StaleIfCached),
            tried_parent_cache: tried(FillPolicy::ParentCacheOnly),
        }
    }

    /// What the endpoint is told of the fill of a miss.
    fn fill(
        &self,
        pending: &PendingRequest,
        class: &RequestClass,
        route: &Route,
        policy: FillPolicy,
        now: Micros,
    ) -> Fill {
        let settings = &class.settings;
        let asks_itself = policy.stays_at_cache()
            || (policy == FillPolicy::ParentCacheOnly
                && self.endpoints[route.endpoint].tier != Tier::Cache);
        let grace = if policy == FillPolicy::StaleIfCached {
            settings.stale_grace
        } else {
            0
        };
        Fill {
            source: if asks_itself {
                route.endpoint
            } else {
                route.source
            },
            retention: if settings.uncacheable {
                UNCACHED
            } else {
                pending.retention.rank
            },
            max_age: self
                .freshness
                .max_age(now, &pending.request, settings, grace),
            join: self.settings.joins_fills && !settings.uncacheable,
            revalidate: settings.freshness_lifetime > 0,
            cached_only: policy == FillPolicy::ParentCacheOnly,
        }
    }

    /// Work per second that an endpoint of a tier does for this proxy on average, in microseconds.
    fn work_rate_of(&self, tier: Tier, now: Micros) -> f64 {
        let rate = self
            .endpoints
            .average(tier, |endpoint| Some(endpoint.work_rate.value(now)));
        rate.unwrap_or(0.0)
    }
}

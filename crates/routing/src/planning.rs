//! Planning: decides where the next attempt of a request goes and how far it may go.
//!
//! The rules are evaluated in this order: whether an attempt may start at all (`retry`), which endpoint and source it
//! uses (`placement`, `source_selection`, `outlier_detection`), how far it may go (`fill_policy`), which copies it
//! may return (`freshness`), and how long it may take (`deadline`).

use crate::deadline::{attempt_timeout, slack};
use crate::endpoint::Tier;
use crate::fill_policy::{FillContext, FillPolicy};
use crate::interface::{Action, EndpointIndex, Fill, Micros};
use crate::pending_request::{PendingRequest, PlannedAttempt};
use crate::placement::ANY_PART;
use crate::request_class::RequestClass;
use crate::retry::may_start_attempt;
use crate::router::Router;
use crate::tail_retention::UNCACHED_RANK;

/// The endpoint of an attempt and the source of its fill on a miss.
struct Route {
    endpoint: EndpointIndex,
    /// The same as `endpoint` if there is no other source.
    source: EndpointIndex,
}

impl Router {
    /// Plans the next attempt of a request. A request that cannot continue gets its final answer instead. A request
    /// that is already answered, or whose response has started, gets neither.
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
            self.reject_or_fail(id, now, actions);
        }
        planned
    }

    /// Plans the next attempt of a request; returns none if it cannot continue now.
    fn plan_attempt(&mut self, id: u32, now: Micros) -> Option<PlannedAttempt> {
        let pending = self.requests.get(&id)?;
        let request = pending.request;
        let class = &self.classes[request.class];
        if !may_start_attempt(
            pending,
            self.first_run(pending, now),
            class,
            &self.settings,
            now,
        ) {
            return None;
        }
        let uncacheable = class.settings.uncacheable;
        let route = self.choose_route(pending, uncacheable, now)?;
        let slack = slack(&request, &self.classes, &self.settings);
        let capacity = self.fill_limits.capacity(now, slack, &mut self.random);
        let context = self.fill_context(pending, class, &route);
        let policy = self.fill_limits.choose(now, &context, capacity)?;
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
            slack: slack.at_limits,
            timeout: attempt_timeout(pending, endpoint, class, &self.settings, now),
            work,
            // Counts the whole fill, not its expected fraction: emptied caches would overload a warming parent before
            // the measured miss rate rises.
            fill_work: if request.size_kb > 0.0 {
                expected_work
            } else {
                work
            },
            endpoint_tier_rate: self.work_rate_of(endpoint.tier, now),
            parent_tier_rate: self.work_rate_of(Tier::Parent, now),
            known_bound: self.freshness.latest_bound(now, &request),
        })
    }

    /// Chooses the endpoint and the source of the next attempt of a request.
    fn choose_route(
        &self,
        pending: &PendingRequest,
        uncacheable: bool,
        now: Micros,
    ) -> Option<Route> {
        let origin = self.endpoints.candidates(pending, Tier::Origin, ANY_PART);
        let origin = origin.first().copied();
        let direct_origin = origin.filter(|_| uncacheable);
        let source = direct_origin.or_else(|| self.endpoints.select_source(pending, origin, now));
        let may_bypass = self.settings.may_bypass_caches;
        let caches =
            self.endpoints
                .candidates(pending, Tier::Cache, u64::from(pending.request.part));
        let endpoint = match self.choose_cache(&caches, now) {
            Some(cache) if !(uncacheable && may_bypass) => Some(cache),
            // Bypasses the caches only if all of them are ejected, or if the answer is uncacheable.
            _ if may_bypass => source,
            _ => caches.first().copied(),
        }?;
        // A parent that is its own source would fetch nothing, so its source is the origin.
        let is_parent = self.endpoints[endpoint].tier == Tier::Parent;
        let source = if is_parent { origin } else { source };
        Some(Route {
            endpoint,
            source: source.unwrap_or(endpoint),
        })
    }

    /// Chooses the first cache by hash that is not ejected, or none if all are ejected. If that cache is near its
    /// limit, the request goes to the preferred cache, which is the first by hash whether it is ejected or not, as
    /// long as it serves most requests. Most requests are hits there, and the load of ejected caches must not
    /// overload the rest of the zone.
    fn choose_cache(&self, caches: &[EndpointIndex], now: Micros) -> Option<EndpointIndex> {
        let mut not_ejected = caches
            .iter()
            .copied()
            .filter(|cache| !self.endpoints.is_ejected(*cache, now));
        let cache = not_ejected.next()?;
        let preferred = caches.first().copied();
        let preferred =
            preferred.filter(|preferred| self.endpoints[*preferred].serves_most_requests(now));
        if self.endpoints[cache].is_near_limit() {
            return preferred.or(Some(cache));
        }
        Some(cache)
    }

    fn fill_context(
        &self,
        pending: &PendingRequest,
        class: &RequestClass,
        route: &Route,
    ) -> FillContext {
        let tried = |policy| pending.has_tried(route.endpoint, policy);
        let requested_recently = pending.retention.requested_recently;
        FillContext {
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

    /// Returns the fill instructions for the endpoint in case of a miss.
    fn fill(
        &self,
        pending: &PendingRequest,
        class: &RequestClass,
        route: &Route,
        policy: FillPolicy,
        now: Micros,
    ) -> Fill {
        let settings = &class.settings;
        let without_fill = policy.stays_at_cache()
            || (policy == FillPolicy::ParentCacheOnly
                && self.endpoints[route.endpoint].tier != Tier::Cache);
        let grace = if policy == FillPolicy::StaleIfCached {
            settings.stale_grace
        } else {
            0
        };
        Fill {
            source: if without_fill {
                route.endpoint
            } else {
                route.source
            },
            retention: if settings.uncacheable {
                UNCACHED_RANK
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

    /// Average work per second that an endpoint of a tier does for this proxy, in microseconds.
    fn work_rate_of(&self, tier: Tier, now: Micros) -> f64 {
        let rate = self
            .endpoints
            .average(tier, |endpoint| Some(endpoint.work_rate.value(now)));
        rate.unwrap_or(0.0)
    }
}

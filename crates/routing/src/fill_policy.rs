//! Fill policy: how far an attempt may go to obtain a part.
//!
//! While many fills are in flight, first the cache and then its parent are asked only for what they have cached. Only
//! a part that is missing at both needs capacity for a fetch from the origin. A slow origin therefore blocks neither
//! hits nor fills from parents. In that case a copy past its freshness lifetime is better than no answer.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::deadline::Slack;
use crate::ended_attempt::EndedAttempt;
use crate::endpoint::Tier;
use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::interface::{Action, CacheStatus, LogEvent, Micros};
use crate::random::Random;
use crate::time::SECOND;

/// Fraction of requests assumed to need a fill before it was measured.
const ASSUMED_MISS_RATE: f64 = 0.3;
/// Multiple of the transfers that fit on a zone's link at full speed above which clients have to wait for the link.
const LINK_CAPACITY: f64 = 1.6;
/// Decay time of a report of the link's load.
const LINK_DECAY_TIME: Micros = 2 * SECOND;
/// The share of one whole fill or fetch.
const FULL_SHARE: f64 = 1.0;

/// How far an attempt may go to obtain a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FillPolicy {
    /// The cache fills a miss from its source, which fetches parts that it does not have.
    Full,
    /// Only a cached copy within its freshness lifetime.
    CacheOnly,
    /// Only a cached copy, including one past its freshness lifetime.
    StaleIfCached,
    /// After a miss at the cache: only a copy that the parent has cached.
    ParentCacheOnly,
    /// After a miss: the source fetches the part.
    Fetch,
}

impl FillPolicy {
    /// Whether the attempt uses only the cache itself.
    pub(crate) fn stays_at_cache(self) -> bool {
        matches!(self, FillPolicy::CacheOnly | FillPolicy::StaleIfCached)
    }

    /// Whether a miss is an accepted answer rather than a failure.
    pub(crate) fn accepts_miss(self) -> bool {
        self.stays_at_cache() || self == FillPolicy::ParentCacheOnly
    }
}

/// Inputs to the choice of a policy, besides the limits.
pub(crate) struct FillContext {
    /// Tier of the endpoint of the attempt.
    pub(crate) tier: Tier,
    /// Answers of the class are never cached.
    pub(crate) uncacheable: bool,
    /// The fill would come from the origin.
    pub(crate) source_is_origin: bool,
    /// This proxy recently received a request for the same part, and the caches do not join fills: a fill may be in
    /// progress.
    pub(crate) may_be_filling: bool,
    /// The class allows copies past their freshness lifetime.
    pub(crate) may_serve_stale: bool,
    /// Policies that were already tried at the endpoint without success.
    pub(crate) tried_cache_only: bool,
    pub(crate) tried_stale: bool,
    pub(crate) tried_parent_cache: bool,
}

/// Whether the limits on fills and fetches are exhausted.
#[derive(Clone, Copy)]
pub(crate) struct FillCapacity {
    fills_full: bool,
    fetches_full: bool,
}

/// Limits on the fills and fetches of this proxy, and the measured load that they depend on.
pub(crate) struct FillLimits {
    fills: ConcurrencyLimit,
    fetches: ConcurrencyLimit,
    /// Fraction of attempts that needed a fill from a source.
    miss_rate: SmoothedValue,
    /// Reported load of the zone's link: 1 if all transfers just fit at full speed.
    link_load: SmoothedValue,
}

impl FillLimits {
    pub(crate) fn new(proxies: f64) -> FillLimits {
        FillLimits {
            fills: ConcurrencyLimit::for_fills(),
            fetches: ConcurrencyLimit::for_fetches(proxies),
            miss_rate: SmoothedValue::assumed(ASSUMED_MISS_RATE),
            link_load: SmoothedValue::assumed(0.0),
        }
    }

    /// Fraction of attempts that need a fill.
    pub(crate) fn miss_rate(&self, now: Micros) -> f64 {
        self.miss_rate.decayed(now, ASSUMED_MISS_RATE, DECAY_TIME)
    }

    /// Load of the zone's link relative to its capacity.
    fn link_utilization(&self, now: Micros) -> f64 {
        self.link_load.decayed(now, 0.0, LINK_DECAY_TIME) / LINK_CAPACITY
    }

    /// Whether a request with this slack may start a fill or a fetch.
    ///
    /// The link is shared with proxies that this one cannot observe. Above the link's capacity, fills are admitted at
    /// random, with a probability that falls as the reported load rises. The cost of a fetch at the origin depends
    /// little on its size, so slack has less effect on fetches.
    pub(crate) fn capacity(&self, now: Micros, slack: Slack, random: &mut Random) -> FillCapacity {
        let fetches_full = self.fetches.at_limit(now, slack.at_limits.sqrt());
        let fills_full = self.fills.at_limit(now, slack.at_limits)
            || random.fraction() * self.link_utilization(now) > slack.at_link;
        FillCapacity {
            fills_full,
            fetches_full,
        }
    }

    /// Chooses the policy of the next attempt; returns none if the attempt would have to wait for capacity.
    pub(crate) fn choose(
        &self,
        now: Micros,
        context: &FillContext,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        match context.tier {
            // Uncacheable requests run at the origin and only pass through the cache, however long they take.
            _ if context.uncacheable => Some(FillPolicy::Full),
            Tier::Cache if !context.tried_cache_only => Some(self.first_policy(now, context)),
            Tier::Cache => self.policy_after_miss(context, capacity),
            tier => self.policy_bypassing_caches(tier, context, capacity),
        }
    }

    fn first_policy(&self, now: Micros, context: &FillContext) -> FillPolicy {
        let share = self.miss_rate(now);
        let busy = self.fills.near_limit(share)
            || self.fetches.near_limit(share)
            || self.link_utilization(now) > 1.0;
        if busy || context.may_be_filling {
            FillPolicy::CacheOnly
        } else {
            FillPolicy::Full
        }
    }

    fn policy_after_miss(
        &self,
        context: &FillContext,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        let needs_fetch = context.tried_parent_cache || context.source_is_origin;
        if capacity.fills_full || (needs_fetch && capacity.fetches_full) {
            let stale = context.may_serve_stale && !context.tried_stale;
            return stale.then_some(FillPolicy::StaleIfCached);
        }
        if self.fetches.near_limit(FULL_SHARE) && !needs_fetch {
            Some(FillPolicy::ParentCacheOnly)
        } else {
            Some(FillPolicy::Fetch)
        }
    }

    fn policy_bypassing_caches(
        &self,
        tier: Tier,
        context: &FillContext,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        let may_use_parent = tier == Tier::Parent && !context.tried_parent_cache;
        if !capacity.fills_full && may_use_parent && self.fetches.near_limit(FULL_SHARE) {
            return Some(FillPolicy::ParentCacheOnly);
        }
        let full = capacity.fills_full || capacity.fetches_full;
        (!full).then_some(FillPolicy::Fetch)
    }

    /// The shares of a fill and of a fetch that an attempt counts for. Uncacheable requests count for none: no limit
    /// applies to them, and while the origin is down they would keep the limits low.
    pub(crate) fn shares(&self, now: Micros, policy: FillPolicy, uncacheable: bool) -> (f64, f64) {
        match policy {
            _ if uncacheable || policy.stays_at_cache() => (0.0, 0.0),
            FillPolicy::ParentCacheOnly => (FULL_SHARE, 0.0),
            FillPolicy::Fetch => (FULL_SHARE, FULL_SHARE),
            _ => {
                let likely = self.miss_rate(now);
                (likely, likely)
            }
        }
    }

    pub(crate) fn start(&mut self, now: Micros, fill_share: f64, fetch_share: f64) {
        self.fills.start(now, fill_share);
        self.fetches.start(now, fetch_share);
    }

    pub(crate) fn end(&mut self, now: Micros, fill_share: f64, fetch_share: f64) {
        self.fills.end(now, fill_share);
        self.fetches.end(now, fetch_share);
    }

    /// Records the load of the zone's link as reported by a cache.
    pub(crate) fn record_link_load(&mut self, now: Micros, load: f64) {
        self.link_load.record(now, load, SAMPLE_WEIGHT);
    }

    /// Records whether an attempt needed a fill, if its outcome shows that.
    pub(crate) fn record_miss_rate(&mut self, now: Micros, ended: &EndedAttempt) {
        if ended.policy().stays_at_cache() {
            if ended.succeeded() || ended.missed() {
                let missed = f64::from(!ended.succeeded());
                self.miss_rate.record(now, missed, SAMPLE_WEIGHT);
            }
        } else if ended.succeeded() && ended.complete_cache_status && !ended.uncacheable {
            let filled = f64::from(ended.was_filled());
            self.miss_rate.record(now, filled, SAMPLE_WEIGHT);
        }
    }

    /// Adjusts the limits by the time that a fill took, relative to its latency objective.
    pub(crate) fn record_fill(
        &mut self,
        now: Micros,
        ended: &EndedAttempt,
        relative_time: f64,
        actions: &mut Vec<Action>,
    ) {
        let late = relative_time > 1.0;
        let fetched = ended.fetched_from_origin();
        let late_at_link = ended.had_early_first_byte();
        let applies_to_fetches = fetched && !(late && late_at_link);
        let applies_to_fills = !late || !fetched || late_at_link;
        let (fill_share, fetch_share) = (ended.attempt.fill_share, ended.attempt.fetch_share);
        if applies_to_fetches && self.fetches.record_outcome(now, relative_time, fetch_share) {
            let limit = self.fetches.limit();
            actions.push(Action::Log(LogEvent::FetchLimitReduced { limit }));
        }
        if applies_to_fills && self.fills.record_outcome(now, relative_time, fill_share) {
            let limit = self.fills.limit();
            actions.push(Action::Log(LogEvent::FillLimitReduced { limit }));
        }
    }
}

impl EndedAttempt {
    /// Whether the time of a fill was spent behind the parent, at the origin. Uses the cache status if it is
    /// conclusive, otherwise the policy of the attempt.
    fn fetched_from_origin(&self) -> bool {
        match self.end.cache_status {
            CacheStatus::FilledFromOrigin | CacheStatus::OriginFailed => true,
            CacheStatus::FilledFromParent
            | CacheStatus::FillLimitReached
            | CacheStatus::SourceRejected
            | CacheStatus::SourceUnreachable => false,
            _ => match self.policy() {
                FillPolicy::Fetch => true,
                FillPolicy::Full => !(self.complete_cache_status && self.succeeded()),
                _ => false,
            },
        }
    }
}

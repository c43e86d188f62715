//! Fill policy: how far an attempt may go for what it asks.
//!
//! While many fills are in flight, a cache is first asked for what it has, then its parent, and only what is missing
//! there waits for capacity among the fetches from the origin. So a slow origin shuts off neither hits nor parents. A
//! copy past its freshness lifetime is better than nothing then.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::deadline::Slack;
use crate::ended_attempt::EndedAttempt;
use crate::endpoint::Tier;
use crate::estimate::{SmoothedValue, DECAY_TIME, SAMPLE_WEIGHT};
use crate::interface::{Action, CacheStatus, LogEvent, Micros};
use crate::random::Random;
use crate::time::SECOND;

/// Fraction of requests that are taken to need a fill before it was measured.
const ASSUMED_MISS_RATE: f64 = 0.3;
/// A zone's link bears this many times the transfers that fit at full pace before clients wait for it.
const LINK_CAPACITY: f64 = 1.6;
/// How fast a report of the link's load fades.
const LINK_DECAY_TIME: Micros = 2 * SECOND;
/// One fill, or one fetch.
const FULL_SHARE: f64 = 1.0;

/// How far an attempt may go for what it asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FillPolicy {
    /// The cache fills a miss from its source, which fetches what it lacks.
    Full,
    /// Only what the cache has, within its freshness lifetime.
    CacheOnly,
    /// Only what the cache has, past its freshness lifetime too.
    StaleIfCached,
    /// A known miss at the cache: only what the parent has.
    ParentCacheOnly,
    /// A known miss: the source fetches it.
    Fetch,
}

impl FillPolicy {
    /// The attempt goes no further than the cache.
    pub(crate) fn stays_at_cache(self) -> bool {
        matches!(self, FillPolicy::CacheOnly | FillPolicy::StaleIfCached)
    }

    /// A miss is a possible answer, not a failure.
    pub(crate) fn may_miss(self) -> bool {
        self.stays_at_cache() || self == FillPolicy::ParentCacheOnly
    }
}

/// What the choice of a policy depends on, beside the limits.
pub(crate) struct FillQuestion {
    /// The tier of the endpoint that is asked.
    pub(crate) tier: Tier,
    /// Answers of the class are never cached.
    pub(crate) uncacheable: bool,
    /// The source of a fill is the origin.
    pub(crate) source_is_origin: bool,
    /// This proxy was asked for the same lately, and the caches do not join fills: a fill may be under way.
    pub(crate) may_be_filling: bool,
    /// The class allows copies past their freshness lifetime.
    pub(crate) may_serve_stale: bool,
    /// Policies that the endpoint was already asked with, in vain.
    pub(crate) tried_cache_only: bool,
    pub(crate) tried_stale: bool,
    pub(crate) tried_parent_cache: bool,
}

/// Whether fills and fetches may start now.
#[derive(Clone, Copy)]
pub(crate) struct FillCapacity {
    fills_full: bool,
    fetches_full: bool,
}

/// Limits on the fills and fetches of this proxy, and what tells of their load.
pub(crate) struct FillLimits {
    fills: ConcurrencyLimit,
    fetches: ConcurrencyLimit,
    /// Fraction of attempts that a source had to fill.
    miss_rate: SmoothedValue,
    /// Load of the zone's link as reported: 1 where all transfers just fit at full pace.
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

    /// The load of the zone's link over what it bears.
    fn link_use(&self, now: Micros) -> f64 {
        self.link_load.decayed(now, 0.0, LINK_DECAY_TIME) / LINK_CAPACITY
    }

    /// Whether a request with some slack may start a fill, or a fetch.
    ///
    /// The link is shared with proxies that are not seen: past its capacity fills are admitted by chance, in proportion
    /// to the reported load. A fetch costs the origin much the same whatever the size, so slack counts less there.
    pub(crate) fn capacity(&self, now: Micros, slack: Slack, random: &mut Random) -> FillCapacity {
        let fetches_full = self.fetches.at_limit(now, slack.granted.sqrt());
        let fills_full = self.fills.at_limit(now, slack.granted)
            || random.fraction() * self.link_use(now) > slack.at_link;
        FillCapacity {
            fills_full,
            fetches_full,
        }
    }

    /// The policy of the next attempt; none where it would have to wait for capacity.
    pub(crate) fn choose(
        &self,
        now: Micros,
        question: &FillQuestion,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        match question.tier {
            // What the origin runs only passes through, however long that takes.
            _ if question.uncacheable => Some(FillPolicy::Full),
            Tier::Cache if !question.tried_cache_only => Some(self.first_policy(now, question)),
            Tier::Cache => self.policy_after_miss(question, capacity),
            tier => self.policy_past_caches(tier, question, capacity),
        }
    }

    fn first_policy(&self, now: Micros, question: &FillQuestion) -> FillPolicy {
        let share = self.miss_rate(now);
        let busy = self.fills.near_limit(share)
            || self.fetches.near_limit(share)
            || self.link_use(now) > 1.0;
        if busy || question.may_be_filling {
            FillPolicy::CacheOnly
        } else {
            FillPolicy::Full
        }
    }

    fn policy_after_miss(
        &self,
        question: &FillQuestion,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        let needs_fetch = question.tried_parent_cache || question.source_is_origin;
        if capacity.fills_full || (needs_fetch && capacity.fetches_full) {
            let stale = question.may_serve_stale && !question.tried_stale;
            return stale.then_some(FillPolicy::StaleIfCached);
        }
        if self.fetches.near_limit(FULL_SHARE) && !needs_fetch {
            Some(FillPolicy::ParentCacheOnly)
        } else {
            Some(FillPolicy::Fetch)
        }
    }

    fn policy_past_caches(
        &self,
        tier: Tier,
        question: &FillQuestion,
        capacity: FillCapacity,
    ) -> Option<FillPolicy> {
        let may_use_parent = tier == Tier::Parent && !question.tried_parent_cache;
        if !capacity.fills_full && may_use_parent && self.fetches.near_limit(FULL_SHARE) {
            return Some(FillPolicy::ParentCacheOnly);
        }
        let full = capacity.fills_full || capacity.fetches_full;
        (!full).then_some(FillPolicy::Fetch)
    }

    /// How much of a fill, and of a fetch, an attempt counts for. What is uncacheable counts for none: no limit judges
    /// it, and while the origin is down it would keep them shut.
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

    /// A cache reported the load of the zone's link.
    pub(crate) fn record_link_load(&mut self, now: Micros, load: f64) {
        self.link_load.record(now, load, SAMPLE_WEIGHT);
    }

    /// Records whether an attempt needed a fill, as far as its end tells.
    pub(crate) fn record_miss_rate(&mut self, now: Micros, ended: &EndedAttempt) {
        if ended.policy().stays_at_cache() {
            if ended.succeeded() || ended.missed() {
                let missed = f64::from(!ended.succeeded());
                self.miss_rate.record(now, missed, SAMPLE_WEIGHT);
            }
        } else if ended.succeeded() && ended.complete_status && !ended.uncacheable {
            let filled = f64::from(ended.was_filled());
            self.miss_rate.record(now, filled, SAMPLE_WEIGHT);
        }
    }

    /// Steps the limits by the time that a fill took, relative to its latency objective.
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
        let judges_fetches = fetched && !(late && late_at_link);
        let judges_fills = !late || !fetched || late_at_link;
        let (fill_share, fetch_share) = (ended.attempt.fill_share, ended.attempt.fetch_share);
        if judges_fetches && self.fetches.record_outcome(now, relative_time, fetch_share) {
            let limit = self.fetches.limit();
            actions.push(Action::Log(LogEvent::FetchLimitCut { limit }));
        }
        if judges_fills && self.fills.record_outcome(now, relative_time, fill_share) {
            let limit = self.fills.limit();
            actions.push(Action::Log(LogEvent::FillLimitCut { limit }));
        }
    }
}

impl EndedAttempt {
    /// Whether the time of a fill was spent behind the parent, at the origin: by what the cache reports, else by what
    /// was asked.
    fn fetched_from_origin(&self) -> bool {
        match self.end.cache_status {
            CacheStatus::FilledFromOrigin | CacheStatus::OriginFailed => true,
            CacheStatus::FilledFromParent
            | CacheStatus::FillLimitReached
            | CacheStatus::SourceRejected
            | CacheStatus::SourceUnreachable => false,
            _ => match self.policy() {
                FillPolicy::Fetch => true,
                FillPolicy::Full => !(self.complete_status && self.succeeded()),
                _ => false,
            },
        }
    }
}

//! What this proxy knows of each endpoint, and the list of them that discovery gives.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::estimate::{DecayingRate, SmoothedValue};
use crate::interface::{
    Action, EndpointEntry, EndpointIndex, EndpointStatus, EndpointUpdate, Micros,
};
use crate::outlier_detection::Health;
use crate::settings::RoutingSettings;
use crate::slow_start::SlowStart;
use crate::time::SECOND;
use std::ops::{Index, IndexMut};

/// How long a removed endpoint is remembered before its index is released.
const REMOVED_LIFETIME: Micros = 3600 * SECOND;
/// Least weight of an endpoint, so that its hash score stays defined.
const MINIMUM_WEIGHT: f64 = 0.01;

/// The tier of an endpoint, as this proxy sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Tier {
    /// A cache of this proxy's own zone.
    Cache,
    /// A cache of the second tier, from which caches fill.
    Parent,
    /// Where all objects come from.
    Origin,
    /// A cache of another zone, which this proxy does not use.
    OtherZone,
}

/// What this proxy knows of one endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub(crate) tier: Tier,
    pub(crate) stable_id: u64,
    pub(crate) zone: usize,
    pub(crate) weight: f64,
    /// Listed as ready: neither draining nor removed.
    pub(crate) accepts_requests: bool,
    removed_at: Option<Micros>,
    /// The start of its process as discovery reported it last.
    reported_start: Micros,
    /// Failures, silence and probe requests.
    pub(crate) health: Health,
    /// What may be in flight: requests to a cache, fills from a parent.
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) slow_start: SlowStart,
    /// Time to first byte as a source of fills, in microseconds.
    pub(crate) first_byte: SmoothedValue,
    /// Whole time as a source of fills beyond the object's own, in microseconds.
    pub(crate) latency: SmoothedValue,
    /// How many times its expected time a hit takes.
    pub(crate) slowdown: SmoothedValue,
    /// Work that it does for this proxy.
    pub(crate) work_rate: DecayingRate,
}

impl Default for Endpoint {
    fn default() -> Endpoint {
        Endpoint {
            tier: Tier::OtherZone,
            stable_id: 0,
            zone: 0,
            weight: 1.0,
            accepts_requests: false,
            removed_at: None,
            reported_start: 0,
            health: Health::default(),
            limit: ConcurrencyLimit::for_endpoint(),
            slow_start: SlowStart::default(),
            first_byte: SmoothedValue::default(),
            latency: SmoothedValue::default(),
            slowdown: SmoothedValue::assumed(1.0),
            work_rate: DecayingRate::default(),
        }
    }
}

impl Endpoint {
    fn list(&mut self, entry: EndpointEntry, settings: &RoutingSettings, now: Micros) {
        self.tier = tier(&entry, settings);
        if entry.started_at != self.reported_start {
            self.start_process(entry.started_at, now);
        }
        self.stable_id = entry.stable_id;
        self.zone = usize::from(entry.zone);
        self.weight = if settings.uses_weights {
            entry.weight.max(MINIMUM_WEIGHT)
        } else {
            1.0
        };
        self.accepts_requests = entry.status == EndpointStatus::Ready;
        self.removed_at = match entry.status {
            EndpointStatus::Removed => self.removed_at.or(Some(now)),
            EndpointStatus::Ready | EndpointStatus::Draining => None,
        };
    }

    /// What was measured at the process before says nothing of the new one.
    fn start_process(&mut self, started_at: Micros, now: Micros) {
        self.health.forget_failures();
        self.slowdown = SmoothedValue::assumed(1.0);
        self.reported_start = started_at;
        self.slow_start.restart(started_at, now);
    }

    /// One request more takes it past a good part of its limit.
    pub(crate) fn is_near_limit(&self) -> bool {
        self.limit.near_limit(1.0)
    }

    fn remove(&mut self, now: Micros) {
        self.accepts_requests = false;
        self.removed_at = self.removed_at.or(Some(now));
    }

    fn is_forgotten(&self, now: Micros) -> bool {
        let long_ago = self
            .removed_at
            .is_some_and(|at| at + REMOVED_LIFETIME < now);
        long_ago && self.limit.is_idle()
    }
}

fn tier(entry: &EndpointEntry, settings: &RoutingSettings) -> Tier {
    if Some(entry.endpoint_kind) == settings.origin_kind {
        Tier::Origin
    } else if Some(entry.endpoint_kind) == settings.parent_kind {
        Tier::Parent
    } else if Some(entry.zone) == settings.own_zone {
        Tier::Cache
    } else {
        Tier::OtherZone
    }
}

/// All endpoints by index.
#[derive(Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    fn index(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[index]
    }
}

impl EndpointTable {
    /// All endpoints that were ever listed and whose index was not released, with their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        self.endpoints.iter().enumerate()
    }

    /// The endpoints of a tier that accept requests.
    pub(crate) fn ready(&self, tier: Tier) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        self.iter()
            .filter(move |(_, e)| e.tier == tier && e.accepts_requests)
    }

    /// The mean of a figure over the endpoints of a tier that accept requests, where it is known.
    pub(crate) fn average(
        &self,
        tier: Tier,
        figure: impl Fn(&Endpoint) -> Option<f64>,
    ) -> Option<f64> {
        let known = self
            .ready(tier)
            .filter_map(|(_, endpoint)| figure(endpoint));
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// The endpoint with an index, made unknown and unlisted if it was never named before.
    pub(crate) fn get_or_default(&mut self, index: EndpointIndex) -> &mut Endpoint {
        if self.endpoints.len() <= index {
            self.endpoints.resize_with(index + 1, Endpoint::default);
        }
        &mut self.endpoints[index]
    }

    /// Applies news of the list, and releases indices of endpoints that were removed long ago.
    pub(crate) fn update(
        &mut self,
        update: EndpointUpdate,
        settings: &RoutingSettings,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let known = self.endpoints.len();
        let entries = match update {
            EndpointUpdate::Snapshot(entries) => {
                self.remove_missing(&entries, now);
                entries
            }
            EndpointUpdate::Delta(entries) => entries,
            EndpointUpdate::Unavailable => return,
        };
        for entry in entries {
            self.get_or_default(entry.endpoint)
                .list(entry, settings, now);
        }
        self.release(known, now, actions);
    }

    fn remove_missing(&mut self, entries: &[EndpointEntry], now: Micros) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate() {
            if entries.iter().all(|entry| entry.endpoint != index) {
                endpoint.remove(now);
            }
        }
    }

    fn release(&mut self, known: usize, now: Micros, actions: &mut Vec<Action>) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate().take(known) {
            if endpoint.is_forgotten(now) {
                *endpoint = Endpoint::default();
                actions.push(Action::ReleaseEndpoint { endpoint: index });
            }
        }
    }
}

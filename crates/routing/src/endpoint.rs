//! The state of each endpoint, and the endpoint list from discovery.

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

/// Time after its removal before an endpoint's state is dropped and its index released.
const REMOVED_LIFETIME: Micros = 3600 * SECOND;
/// Minimum weight of an endpoint, so that its hash score is defined.
const MINIMUM_WEIGHT: f64 = 0.01;

/// The tier of an endpoint, from the point of view of this proxy.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Tier {
    /// A cache of this proxy's own zone.
    Cache,
    /// A cache of the second tier, from which other caches fill.
    Parent,
    /// The origin of all objects.
    Origin,
    /// A cache of another zone, which this proxy does not use.
    OtherZone,
}

/// The state that this proxy keeps for one endpoint.
#[derive(Clone, Copy)]
pub(crate) struct Endpoint {
    pub(crate) tier: Tier,
    pub(crate) stable_id: u64,
    pub(crate) zone: usize,
    pub(crate) weight: f64,
    /// Listed as ready: neither draining nor removed.
    pub(crate) accepts_requests: bool,
    removed_at: Option<Micros>,
    /// Identifies its network address; 0 if unknown.
    pub(crate) address: u64,
    /// Start time of its process as last reported by discovery.
    reported_start: Micros,
    /// Failures, unanswered attempts and probe requests.
    pub(crate) health: Health,
    /// Limit on what may be in flight: requests to a cache, fills from a parent.
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) slow_start: SlowStart,
    /// Time to first byte as a source of fills, in microseconds.
    pub(crate) first_byte: SmoothedValue,
    /// Total time as a source of fills beyond the expected time of the object, in microseconds.
    pub(crate) latency: SmoothedValue,
    /// Ratio of the actual to the expected time of hits.
    pub(crate) slowdown: SmoothedValue,
    /// Rate of work that it does for this proxy.
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
            address: 0,
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
    fn apply_entry(&mut self, entry: EndpointEntry, settings: &RoutingSettings, now: Micros) {
        self.tier = tier(&entry, settings);
        if entry.started_at != self.reported_start {
            self.reset_for_new_process(entry.started_at, now);
        }
        self.stable_id = entry.stable_id;
        self.address = entry.address;
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

    /// Resets measurements of the previous process, which do not apply to the new one.
    fn reset_for_new_process(&mut self, started_at: Micros, now: Micros) {
        self.health.forget_failures();
        self.slowdown = SmoothedValue::assumed(1.0);
        self.reported_start = started_at;
        self.slow_start.restart(started_at, now);
    }

    /// Whether one more request would use a large part of its limit.
    pub(crate) fn is_near_limit(&self) -> bool {
        self.limit.near_limit(1.0)
    }

    fn remove(&mut self, now: Micros) {
        self.accepts_requests = false;
        self.removed_at = self.removed_at.or(Some(now));
    }

    fn is_releasable(&self, now: Micros) -> bool {
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

    /// Mean of a measurement over the endpoints of a tier that accept requests, where the measurement is known.
    pub(crate) fn average(
        &self,
        tier: Tier,
        measurement: impl Fn(&Endpoint) -> Option<f64>,
    ) -> Option<f64> {
        let known = self
            .ready(tier)
            .filter_map(|(_, endpoint)| measurement(endpoint));
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
        (count > 0.0).then(|| sum / count)
    }

    /// The endpoint with this index. An index that was never used before gets an endpoint in the default state, not
    /// listed.
    pub(crate) fn get_or_default(&mut self, index: EndpointIndex) -> &mut Endpoint {
        if self.endpoints.len() <= index {
            self.endpoints.resize_with(index + 1, Endpoint::default);
        }
        &mut self.endpoints[index]
    }

    /// Applies an update of the endpoint list, and releases the indices of endpoints that were removed long ago.
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
        for entry in &entries {
            self.get_or_default(entry.endpoint)
                .apply_entry(*entry, settings, now);
        }
        for entry in entries {
            self.remove_replaced(entry.address, now);
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

    /// Removes the endpoints whose address a process that started later has taken over. Discovery may report that they
    /// are gone only later, and until then their requests would reach the new process.
    fn remove_replaced(&mut self, address: u64, now: Micros) {
        let mut holders = self.endpoints.iter_mut().filter(|endpoint| {
            address != 0 && endpoint.address == address && endpoint.removed_at.is_none()
        });
        let Some(mut latest) = holders.next() else {
            return;
        };
        for holder in holders {
            if holder.reported_start > latest.reported_start {
                latest.remove(now);
                latest = holder;
            } else if holder.reported_start < latest.reported_start {
                holder.remove(now);
            }
        }
    }

    fn release(&mut self, known: usize, now: Micros, actions: &mut Vec<Action>) {
        for (index, endpoint) in self.endpoints.iter_mut().enumerate().take(known) {
            if endpoint.is_releasable(now) {
                *endpoint = Endpoint::default();
                actions.push(Action::ReleaseEndpoint { endpoint: index });
            }
        }
    }
}

//! Reports for operators: tables, JSON, log lines and metrics. Scripts and dashboards read their texts and names, which
//! must not change.
//!
//! | module | subject |
//! | --- | --- |
//! | `admission` | admission control |
//! | `availability` | whether this proxy serves any requests |
//! | `fleet` | the membership view |
//! | `replication` | the replicated state |
//! | `distribution` | the distribution of events |
//! | `resources` | buffers, and attempts in flight |
//! | `collector` | metrics that are collected on each scrape |

pub(crate) mod admission;
pub(crate) mod availability;
mod collector;
pub(crate) mod distribution;
pub(crate) mod fleet;
pub(crate) mod replication;
pub(crate) mod resources;

use self::admission::AdmissionCollector;
use self::availability::AvailabilityCollector;
use self::collector::{label, Labels};
use self::resources::Resources;
use crate::net::peers::Peers;
use crate::proxy::availability::Availability;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_routing::interface::Micros;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

/// A histogram with buckets from half a millisecond to two seconds.
fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 13))
}

/// A histogram with buckets from a millisecond to over a minute.
fn age_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// The sources of the metrics that are collected on each scrape.
pub(crate) struct MetricSources<'a> {
    pub(crate) admission: &'a AdmissionController,
    pub(crate) availability: &'a Availability,
    pub(crate) peers: Option<&'a Peers>,
    pub(crate) resources: Resources,
}

/// The histograms and event counters of the proxy. All other metrics are collected on each scrape.
pub(crate) struct Metrics {
    waits: Family<Labels, Histogram>,
    replication_lags: Family<Labels, Histogram>,
    purge_ages: Histogram,
    router_rejections: Counter,
    missed_events: Counter,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let new_wait: fn() -> Histogram = wait_histogram;
        let new_age: fn() -> Histogram = age_histogram;
        Metrics {
            waits: Family::new_with_constructor(new_wait),
            replication_lags: Family::new_with_constructor(new_age),
            purge_ages: age_histogram(),
            router_rejections: Counter::default(),
            missed_events: Counter::default(),
        }
    }
}

impl Metrics {
    /// Records how long a request waited for admission.
    pub(crate) fn observe_wait(&self, tenant: &str, seconds: f64) {
        self.waits
            .get_or_create(&label("tenant", tenant))
            .observe(seconds);
    }

    /// Records the age of a replicated record when it arrived from another member of the fleet.
    pub(crate) fn observe_replication_lag(&self, kind: &str, seconds: f64) {
        self.replication_lags
            .get_or_create(&label("kind", kind))
            .observe(seconds);
    }

    /// Records the age of an invalidation when it came into force.
    pub(crate) fn observe_purge_age(&self, seconds: f64) {
        self.purge_ages.observe(seconds);
    }

    /// Counts a request that the router rejected.
    pub(crate) fn count_router_rejection(&self) {
        self.router_rejections.inc();
    }

    /// Counts an occasion on which events of the discovery service turned out to be permanently missing.
    pub(crate) fn count_missed_events(&self) {
        self.missed_events.inc();
    }

    /// Encodes all metrics in the text format for scrapers.
    pub(crate) fn encode(&self, sources: &MetricSources<'_>, now: Micros) -> String {
        let peers = sources.peers;
        let mut registry = Registry::with_prefix("meadowrill_door");
        registry.register(
            "wait_seconds",
            "Time that lookups waited before they were let in",
            self.waits.clone(),
        );
        registry.register_collector(Box::new(AdmissionCollector(sources.admission.report())));
        let mut proxy_registry = Registry::with_prefix("meadowrill_front");
        proxy_registry
            .register_collector(Box::new(AvailabilityCollector::new(sources.availability)));
        proxy_registry.register_collector(Box::new(resources::metrics(&sources.resources)));
        proxy_registry.register(
            "router_rejections",
            "Requests for which the router had no attempt to make, or none left",
            self.router_rejections.clone(),
        );
        proxy_registry.register(
            "discovery_events_missed",
            "Times that events of the discovery service were found to be missing for good",
            self.missed_events.clone(),
        );
        let mut registries = vec![registry, proxy_registry];
        if let Some(peers) = peers {
            let mut registry = Registry::with_prefix("meadowrill_fleet");
            registry.register_collector(Box::new(fleet::metrics(peers)));
            registries.push(registry);
        }
        if let Some(replica) = peers.and_then(|peers| peers.replica.as_ref()) {
            let mut registry = Registry::with_prefix("meadowrill_shared");
            let help = "How old purges and sights were when another front's word of them came";
            registry.register("lag_seconds", help, self.replication_lags.clone());
            registry.register_collector(Box::new(replication::metrics(replica)));
            registries.push(registry);
        }
        if let Some(subscription) = peers.and_then(distribution::SubscriptionReport::new) {
            let mut registry = Registry::with_prefix(distribution::METRIC_PREFIX);
            let help = "How old purges were by their stamps when they were put in force, those of snapshots included";
            registry.register("purge_age_seconds", help, self.purge_ages.clone());
            registry.register_collector(Box::new(subscription.metrics(now)));
            registries.push(registry);
        }
        encode_registries(&registries)
    }
}

/// Encodes all registries as one text with a single end-of-file marker.
pub(crate) fn encode_registries(registries: &[Registry]) -> String {
    let (mut text, mut done) = (String::new(), Ok(()));
    for registry in registries {
        text.truncate(text.strip_suffix("# EOF\n").map_or(text.len(), str::len));
        done = done.and_then(|()| encode(&mut text, registry));
    }
    match done {
        Ok(()) => text,
        Err(e) => format!("# {e}\n"),
    }
}

//! What operators are told: tables, JSON, lines of the log, and metrics. Their texts and names are read by scripts and
//! dashboards, and stay as they are.
//!
//! | module | subject |
//! | --- | --- |
//! | `admission` | admission control |
//! | `availability` | whether this proxy serves anybody |
//! | `fleet` | the membership view |
//! | `replication` | the replicated state |
//! | `distribution` | the distribution of events |
//! | `resources` | buffers, and attempts in flight |
//! | `collector` | metrics that are read when somebody asks |

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

/// Half a millisecond to two seconds.
fn wait_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0005, 2.0, 13))
}

/// A millisecond to over a minute.
fn age_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

/// What metrics are read from when somebody asks.
pub(crate) struct MetricSources<'a> {
    pub(crate) admission: &'a AdmissionController,
    pub(crate) availability: &'a Availability,
    pub(crate) peers: Option<&'a Peers>,
    pub(crate) resources: Resources,
}

/// Histograms and event counts of the proxy; all other metrics are read when somebody asks.
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
    /// A request waited for admission.
    pub(crate) fn observe_wait(&self, tenant: &str, seconds: f64) {
        self.waits
            .get_or_create(&label("tenant", tenant))
            .observe(seconds);
    }

    /// How old a record was when it came from another member of the fleet.
    pub(crate) fn observe_replication_lag(&self, kind: &str, seconds: f64) {
        self.replication_lags
            .get_or_create(&label("kind", kind))
            .observe(seconds);
    }

    /// How old an invalidation was when it was put in force.
    pub(crate) fn observe_purge_age(&self, seconds: f64) {
        self.purge_ages.observe(seconds);
    }

    /// The router rejected a request.
    pub(crate) fn count_router_rejection(&self) {
        self.router_rejections.inc();
    }

    /// Events of the discovery service were found to be missing for good.
    pub(crate) fn count_missed_events(&self) {
        self.missed_events.inc();
    }

    /// In the text format that scrapers read.
    pub(crate) fn encode(&self, sources: &MetricSources<'_>, now: Micros) -> String {
        let peers = sources.peers;
        let mut registry = Registry::with_prefix("meadowrill_door");
        registry.register(
            "wait_seconds",
            "Time that lookups waited before they were let in",
            self.waits.clone(),
        );
        registry.register_collector(Box::new(AdmissionCollector(sources.admission.report())));
        let mut own = Registry::with_prefix("meadowrill_front");
        own.register_collector(Box::new(AvailabilityCollector::new(sources.availability)));
        own.register_collector(Box::new(resources::metrics(&sources.resources)));
        own.register(
            "router_rejections",
            "Requests for which the router had no attempt to make, or none left",
            self.router_rejections.clone(),
        );
        own.register(
            "discovery_events_missed",
            "Times that events of the discovery service were found to be missing for good",
            self.missed_events.clone(),
        );
        let mut registries = vec![registry, own];
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
            let mut registry = Registry::with_prefix(distribution::PREFIX);
            let help = "How old purges were by their stamps when they were put in force, those of snapshots included";
            registry.register("purge_age_seconds", help, self.purge_ages.clone());
            registry.register_collector(Box::new(subscription.metrics(now)));
            registries.push(registry);
        }
        encoded(&registries)
    }
}

/// All registries as one text, with one end mark.
pub(crate) fn encoded(registries: &[Registry]) -> String {
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

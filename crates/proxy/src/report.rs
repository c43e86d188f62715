//! What operators are told of the door: a table, lines for the log, and metrics. Names in them are bounded: tenants
//! are those of the settings, clients the loudest few of each.

pub(crate) mod availability;
pub(crate) mod events;
pub(crate) mod fleet;
pub(crate) mod shared;

use crate::net::fronts::Fronts;
use crate::proxy::availability::Availability;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::report::{AdmissionReport, ClientReport, TenantCounters, TenantReport};
use meadowrill_admission::request::RejectReason;
use meadowrill_routing::interface::Micros;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use slog::{info, Logger};
use std::fmt::{self, Write};

/// Clients of a tenant that are named.
const NAMED: usize = 4;

type Labels = Vec<(String, String)>;

pub(crate) struct Metrics {
    waits: Family<Labels, Histogram>,
    lags: Family<Labels, Histogram>,
    purge_lags: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        // From half a millisecond to two seconds.
        let histogram: fn() -> Histogram = || Histogram::new(exponential_buckets(0.0005, 2.0, 13));
        // From a millisecond to a minute and more.
        let lags: fn() -> Histogram = || Histogram::new(exponential_buckets(0.001, 2.0, 17));
        let purge_lags = lags();
        let (waits, lags) = (
            Family::new_with_constructor(histogram),
            Family::new_with_constructor(lags),
        );
        Metrics {
            waits,
            lags,
            purge_lags,
        }
    }
}

impl Metrics {
    pub(crate) fn waited(&self, tenant: &str, seconds: f64) {
        self.waits
            .get_or_create(&vec![("tenant".into(), tenant.into())])
            .observe(seconds);
    }

    /// How old something was that another front told of.
    pub(crate) fn lagged(&self, kind: &str, seconds: f64) {
        self.lags
            .get_or_create(&vec![("kind".into(), kind.into())])
            .observe(seconds);
    }

    /// How old a purge was, by its stamp, when it was put in force.
    pub(crate) fn purge_applied(&self, seconds: f64) {
        self.purge_lags.observe(seconds);
    }

    /// In the text format that scrapers read.
    pub(crate) fn text(
        &self,
        door: &AdmissionController,
        availability: &Availability,
        fronts: Option<&Fronts>,
        now: Micros,
    ) -> String {
        let mut registry = Registry::with_prefix("meadowrill_door");
        registry.register(
            "wait_seconds",
            "Time that lookups waited before they were let in",
            self.waits.clone(),
        );
        registry.register_collector(Box::new(AdmissionCollector(door.report())));
        let mut own = Registry::with_prefix("meadowrill_front");
        own.register_collector(Box::new(availability::Seen::new(availability)));
        let mut registries = vec![registry, own];
        if let Some(fronts) = fronts {
            let mut registry = Registry::with_prefix("meadowrill_fleet");
            registry.register_collector(Box::new(fleet::Seen::new(fronts)));
            registries.push(registry);
        }
        if let Some(replica) = fronts.and_then(|fronts| fronts.replica.as_ref()) {
            let mut registry = Registry::with_prefix("meadowrill_shared");
            let help = "How old purges and sights were when another front's word of them came";
            registry.register("lag_seconds", help, self.lags.clone());
            registry.register_collector(Box::new(shared::seen(replica)));
            registries.push(registry);
        }
        if let Some(subscription) = fronts.and_then(events::SubscriptionReport::new) {
            let mut registry = Registry::with_prefix(events::PREFIX);
            let help = "How old purges were by their stamps when they were put in force, those of snapshots included";
            registry.register("purge_age_seconds", help, self.purge_lags.clone());
            registry.register_collector(Box::new(subscription.metrics(now)));
            registries.push(registry);
        }
        encoded(&registries)
    }
}

/// All of them as one text, which only its last line ends.
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

/// The door's own counts, read when somebody asks: nothing is counted twice.
#[derive(Debug)]
struct AdmissionCollector(AdmissionReport);

impl Collector for AdmissionCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        let report = &self.0;
        let mut gauge = |name: &str, help: &str, values: Vec<(Labels, f64)>| {
            let mut metric = encoder.encode_descriptor(
                name,
                help,
                None,
                prometheus_client::metrics::MetricType::Gauge,
            )?;
            values.iter().try_for_each(|(labels, value)| {
                ConstGauge::new(*value).encode(metric.encode_family(labels)?)
            })
        };
        let tenant = |name: &str| vec![("tenant".to_string(), name.to_string())];
        let all = |value: f64| vec![(Labels::new(), value)];
        gauge(
            "limit",
            "Lookups that may be inside",
            all(report.concurrency_limit),
        )?;
        gauge(
            "overdue",
            "Lookups inside that no longer count",
            all(report.overdue as f64),
        )?;
        gauge(
            "booked",
            "Turns that are booked",
            all(report.reserved as f64),
        )?;
        let of = |value: fn(&TenantReport) -> f64| {
            report
                .tenants
                .iter()
                .map(|t| (tenant(&t.name), value(t)))
                .collect::<Vec<_>>()
        };
        gauge("waiting", "Lookups that wait", of(|t| f64::from(t.waiting)))?;
        gauge(
            "inside",
            "Lookups that are inside",
            of(|t| f64::from(t.in_flight)),
        )?;
        let talkers = report.tenants.iter().flat_map(|t| {
            let named = |client_report: &ClientReport| {
                let client = ("client".to_string(), client_report.address.to_string());
                (
                    [tenant(&t.name), vec![client]].concat(),
                    f64::from(client_report.recent_lookups),
                )
            };
            t.heaviest_clients
                .iter()
                .take(NAMED)
                .map(named)
                .collect::<Vec<_>>()
        });
        gauge(
            "heard",
            "Recent lookups of the loudest clients",
            talkers.collect(),
        )?;
        let mut counter = |name: &str, help: &str, values: Vec<(Labels, u64)>| {
            let mut metric = encoder.encode_descriptor(
                name,
                help,
                None,
                prometheus_client::metrics::MetricType::Counter,
            )?;
            values.iter().try_for_each(|(labels, value)| {
                ConstCounter::new(*value).encode(metric.encode_family(labels)?)
            })
        };
        let of = |value: fn(&TenantCounters) -> u64| {
            report
                .tenants
                .iter()
                .map(|t| (tenant(&t.name), value(&t.counters)))
                .collect::<Vec<_>>()
        };
        counter("offered", "Lookups read", of(|t| t.offered))?;
        counter("let_in", "Lookups let in", of(|t| t.admitted))?;
        counter("waited", "Lookups that had to wait", of(|t| t.waited))?;
        counter("satisfied", "Lookups satisfied", of(|t| t.satisfied))?;
        counter(
            "told_a_turn",
            "Lookups turned away with a booked turn",
            of(|t| t.reserved),
        )?;
        let away = report.tenants.iter().flat_map(|t| {
            RejectReason::ALL
                .into_iter()
                .zip(t.counters.rejected)
                .map(|(why, count)| {
                    let why = ("why".to_string(), why.to_string());
                    ([tenant(&t.name), vec![why]].concat(), count)
                })
        });
        counter("turned_away", "Lookups turned away", away.collect())?;
        let bookings = [
            ("kept", report.reservations_redeemed),
            ("missed", report.reservations_expired),
            ("none", report.reservations_refused),
        ];
        let bookings =
            bookings.map(|(what, n)| (vec![("outcome".to_string(), what.to_string())], n));
        counter(
            "bookings",
            "Booked turns by what became of them",
            bookings.to_vec(),
        )
    }
}

/// Who holds the door, for an operator to read.
pub(crate) fn table(report: &AdmissionReport) -> String {
    let mut text = String::new();
    let head = format!(
        "order {:?}, inside {} of {:.0} ({} overdue), waiting {}, booked {} (kept {}, missed {}, no place {})\n",
        report.discipline,
        report.in_flight,
        report.concurrency_limit,
        report.overdue,
        report.waiting,
        report.reserved,
        report.reservations_redeemed,
        report.reservations_expired,
        report.reservations_refused
    );
    text.push_str(&head);
    let names = [
        "tenant",
        "weight",
        "waiting",
        "inside",
        "offered",
        "let in",
        "satisfied",
        "turned away",
        "with a turn",
    ];
    let row = |text: &mut String, cells: &[String]| {
        let line = cells.iter().enumerate().map(|(at, c)| {
            if at == 0 {
                format!("{c:<20}")
            } else {
                format!("{c:>12}")
            }
        });
        text.push_str(line.collect::<String>().trim_end());
        text.push('\n');
    };
    row(&mut text, &names.map(String::from));
    for t in &report.tenants {
        let away: u64 = t.counters.rejected.iter().sum();
        let cells = [
            t.name.clone(),
            t.weight.to_string(),
            t.waiting.to_string(),
            t.in_flight.to_string(),
            t.counters.offered.to_string(),
            t.counters.admitted.to_string(),
            t.counters.satisfied.to_string(),
            away.to_string(),
            t.counters.reserved.to_string(),
        ];
        row(&mut text, &cells);
        for c in t.heaviest_clients.iter().take(NAMED) {
            // Writing to a text cannot fail.
            let _ = writeln!(
                text,
                "  {:<18}heard {}, waiting {}, inside {}, booked {}",
                c.address, c.recent_lookups, c.waiting, c.in_flight, c.reserved
            );
        }
    }
    text
}

/// The same as lines of the log, one a tenant.
pub(crate) fn log(log: &Logger, report: &AdmissionReport) {
    info!(log, "door"; "order" => ?report.discipline, "limit" => report.concurrency_limit.round(),
        "inside" => report.in_flight, "overdue" => report.overdue, "waiting" => report.waiting, "booked" => report.reserved,
        "kept" => report.reservations_redeemed, "missed" => report.reservations_expired,
        "unbooked" => report.reservations_refused);
    for t in &report.tenants {
        let loudest = t
            .heaviest_clients
            .iter()
            .take(NAMED)
            .map(|c| format!("{}:{}", c.address, c.recent_lookups));
        let away = RejectReason::ALL
            .into_iter()
            .zip(t.counters.rejected)
            .filter(|(_, n)| *n > 0);
        info!(log, "door, tenant"; "name" => &t.name, "waiting" => t.waiting, "inside" => t.in_flight,
            "offered" => t.counters.offered, "let_in" => t.counters.admitted, "satisfied" => t.counters.satisfied,
            "turned_away" => away.map(|(why, n)| format!("{why}:{n}")).collect::<Vec<_>>().join(" "),
            "loudest" => loudest.collect::<Vec<_>>().join(" "));
    }
}

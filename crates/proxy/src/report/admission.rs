//! Reports on admission control: a table, log lines and metrics. The number of names in them is bounded: tenants come
//! from the settings, and only the heaviest few clients of each tenant are named.

use super::collector::{encode_counter, encode_gauge, label, unlabelled, Labels};
use meadowrill_admission::report::{AdmissionReport, ClientReport, TenantCounters, TenantReport};
use meadowrill_admission::request::RejectReason;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use slog::{info, Logger};
use std::fmt::{self, Write};

/// Maximum number of clients that are named for each tenant.
const MAX_NAMED_CLIENTS: usize = 4;

/// The counters of admission control, collected on each scrape so that no counter is kept twice.
#[derive(Debug)]
pub(super) struct AdmissionCollector(pub(super) AdmissionReport);

impl Collector for AdmissionCollector {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), fmt::Error> {
        self.encode_gauges(&mut encoder)?;
        self.encode_client_gauges(&mut encoder)?;
        self.encode_tenant_counters(&mut encoder)?;
        self.encode_reservations(&mut encoder)
    }
}

fn tenant_label(name: &str) -> Labels {
    label("tenant", name)
}

impl AdmissionCollector {
    fn per_tenant<T>(&self, value: impl Fn(&TenantReport) -> T) -> Vec<(Labels, T)> {
        let tenants = self.0.tenants.iter();
        tenants
            .map(|tenant| (tenant_label(&tenant.name), value(tenant)))
            .collect()
    }

    fn encode_gauges(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let report = &self.0;
        let gauges = [
            (
                "limit",
                "Lookups that may be inside",
                unlabelled(report.concurrency_limit),
            ),
            (
                "overdue",
                "Lookups inside that no longer count",
                unlabelled(report.overdue as f64),
            ),
            (
                "booked",
                "Turns that are booked",
                unlabelled(report.reserved as f64),
            ),
            (
                "waiting",
                "Lookups that wait",
                self.per_tenant(|tenant| f64::from(tenant.waiting)),
            ),
            (
                "inside",
                "Lookups that are inside",
                self.per_tenant(|tenant| f64::from(tenant.in_flight)),
            ),
        ];
        gauges
            .iter()
            .try_for_each(|(name, help, values)| encode_gauge(encoder, name, help, values))
    }

    fn encode_client_gauges(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let mut recent = Vec::new();
        for tenant in &self.0.tenants {
            for client in tenant.heaviest_clients.iter().take(MAX_NAMED_CLIENTS) {
                let client_label = label("client", &client.address.to_string());
                let labels = [tenant_label(&tenant.name), client_label].concat();
                recent.push((labels, f64::from(client.recent_requests)));
            }
        }
        let help = "Recent lookups of the loudest clients";
        encode_gauge(encoder, "heard", help, &recent)
    }

    fn encode_tenant_counters(
        &self,
        encoder: &mut DescriptorEncoder<'_>,
    ) -> Result<(), fmt::Error> {
        type Count = fn(&TenantCounters) -> u64;
        let counters: [(&str, &str, Count); 5] = [
            ("offered", "Lookups read", |t| t.offered),
            ("let_in", "Lookups let in", |t| t.admitted),
            ("waited", "Lookups that had to wait", |t| t.waited),
            ("satisfied", "Lookups satisfied", |t| t.succeeded),
            (
                "told_a_turn",
                "Lookups turned away with a booked turn",
                |t| t.reserved,
            ),
        ];
        for (name, help, count) in counters {
            let values = self.per_tenant(|tenant| count(&tenant.counters));
            encode_counter(encoder, name, help, &values)?;
        }
        let mut rejected = Vec::new();
        for tenant in &self.0.tenants {
            for (reason, count) in RejectReason::ALL.into_iter().zip(tenant.counters.rejected) {
                let reason_label = label("why", &reason.to_string());
                rejected.push(([tenant_label(&tenant.name), reason_label].concat(), count));
            }
        }
        encode_counter(encoder, "turned_away", "Lookups turned away", &rejected)
    }

    fn encode_reservations(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let report = &self.0;
        let outcomes = [
            ("kept", report.reservations_redeemed),
            ("missed", report.reservations_expired),
            ("none", report.reservations_refused),
        ];
        let values = outcomes.map(|(outcome, count)| (label("outcome", outcome), count));
        let help = "Booked turns by what became of them";
        encode_counter(encoder, "bookings", help, &values)
    }
}

/// Column headings of the table.
const COLUMNS: [&str; 9] = [
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
const FIRST_COLUMN_WIDTH: usize = 20;
const COLUMN_WIDTH: usize = 12;

/// The use of capacity by tenants and clients, as a table.
pub(crate) fn table(report: &AdmissionReport) -> String {
    let mut text = format!(
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
    push_row(&mut text, &COLUMNS.map(String::from));
    for tenant in &report.tenants {
        push_row(&mut text, &tenant_cells(tenant));
        for client in tenant.heaviest_clients.iter().take(MAX_NAMED_CLIENTS) {
            push_client(&mut text, client);
        }
    }
    text
}

fn push_row(text: &mut String, cells: &[String]) {
    let line = cells.iter().enumerate().map(|(at, cell)| {
        if at == 0 {
            format!("{cell:<FIRST_COLUMN_WIDTH$}")
        } else {
            format!("{cell:>COLUMN_WIDTH$}")
        }
    });
    text.push_str(line.collect::<String>().trim_end());
    text.push('\n');
}

fn tenant_cells(tenant: &TenantReport) -> [String; 9] {
    let rejected: u64 = tenant.counters.rejected.iter().sum();
    [
        tenant.name.clone(),
        tenant.weight.to_string(),
        tenant.waiting.to_string(),
        tenant.in_flight.to_string(),
        tenant.counters.offered.to_string(),
        tenant.counters.admitted.to_string(),
        tenant.counters.succeeded.to_string(),
        rejected.to_string(),
        tenant.counters.reserved.to_string(),
    ]
}

fn push_client(text: &mut String, client: &ClientReport) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "  {:<18}heard {}, waiting {}, inside {}, booked {}",
        client.address, client.recent_requests, client.waiting, client.in_flight, client.reserved
    );
}

/// Logs the same report, with one additional line for each tenant.
pub(crate) fn log(log: &Logger, report: &AdmissionReport) {
    info!(log, "admission control report"; "order" => ?report.discipline, "limit" => report.concurrency_limit.round(),
        "inside" => report.in_flight, "overdue" => report.overdue, "waiting" => report.waiting, "booked" => report.reserved,
        "kept" => report.reservations_redeemed, "missed" => report.reservations_expired,
        "unbooked" => report.reservations_refused);
    for tenant in &report.tenants {
        let heaviest = tenant
            .heaviest_clients
            .iter()
            .take(MAX_NAMED_CLIENTS)
            .map(|c| format!("{}:{}", c.address, c.recent_requests));
        let rejected = RejectReason::ALL
            .into_iter()
            .zip(tenant.counters.rejected)
            .filter(|(_, n)| *n > 0);
        info!(log, "admission control report of a tenant"; "name" => &tenant.name, "waiting" => tenant.waiting, "inside" => tenant.in_flight,
            "offered" => tenant.counters.offered, "let_in" => tenant.counters.admitted, "satisfied" => tenant.counters.succeeded,
            "turned_away" => rejected.map(|(reason, n)| format!("{reason}:{n}")).collect::<Vec<_>>().join(" "),
            "loudest" => heaviest.collect::<Vec<_>>().join(" "));
    }
}

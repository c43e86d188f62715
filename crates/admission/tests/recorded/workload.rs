//! A seeded workload of clients of several tenants. After a rejection, some clients return at the time that they were
//! sent, some return earlier, and some do not return. Some clients disconnect while their request waits.

use meadowrill_admission::config::{AdmissionConfig, QueueDiscipline, Tenant};
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::cost::RequestClass;
use meadowrill_admission::identity::ClientIdentity;
use meadowrill_admission::request::{
    AdmissionEvent, AdmissionRequest, CapacityLimits, Completion, Decision, Rejection, Ticket,
};
use meadowrill_recorded_traces::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;

/// Number of requests that the steady cache serves concurrently. Further requests wait in the cache.
const STEADY_LOAD: u64 = 24;
/// Interval at which the report is written to the trace, in microseconds.
const REPORT_INTERVAL: i64 = 250_000;

pub(crate) struct WorkloadSettings {
    pub(crate) seed: u64,
    pub(crate) requests: u32,
    pub(crate) mean_gap: u64,
    pub(crate) base_duration: u64,
    /// Service times of the cache grow only above a certain load, and the cache answers almost always from its memory.
    pub(crate) steady: bool,
    /// Number of light clients of each tenant.
    pub(crate) clients: u64,
    pub(crate) discipline: &'static str,
    pub(crate) max_retry_after: i64,
    pub(crate) max_waiting: usize,
    pub(crate) max_open: usize,
    pub(crate) max_bytes: usize,
    pub(crate) max_concurrency: usize,
    pub(crate) reconfigure_per_mille: u64,
}

#[derive(Clone, Copy)]
struct Open {
    ticket: Ticket,
    identity: ClientIdentity,
    bytes: u32,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Return { tenant: u16, client: u64 },
    End { id: u32 },
    Disconnect { id: u32 },
    Report,
}

pub(crate) struct Workload {
    settings: WorkloadSettings,
    random: Random,
    controller: AdmissionController,
    now: i64,
    last_id: u32,
    last_event: u64,
    events: BinaryHeap<Reverse<(i64, u64, Event)>>,
    open: BTreeMap<u32, Open>,
    bytes: usize,
    trace: String,
}

fn config(settings: &WorkloadSettings, weights: &[(&str, f64)]) -> AdmissionConfig {
    let tenants = weights.iter().map(|(name, weight)| Tenant {
        name: (*name).into(),
        weight: *weight,
        networks: vec![format!("10.{}.0.0/16", name.len())
            .parse()
            .expect("a valid network")],
        ..Tenant::default()
    });
    AdmissionConfig {
        discipline: match settings.discipline {
            "fair" => QueueDiscipline::Fair,
            "buckets" => QueueDiscipline::Buckets,
            _ => QueueDiscipline::FirstCome,
        },
        tenants: tenants.collect(),
        max_waiting: settings.max_waiting,
        min_concurrency: 2,
        max_concurrency: settings.max_concurrency,
        bucket_rate: 4.0,
        bucket_burst: 3.0,
        ..AdmissionConfig::default()
    }
}

fn class(priority_weight: f64, latency_budget: i64, budget_stretch: f64) -> RequestClass {
    RequestClass {
        priority_weight,
        latency_budget,
        budget_stretch,
    }
}

const TENANTS: [(&str, f64); 4] = [
    ("default", 1.0),
    ("interactive", 3.0),
    ("bulk", 0.5),
    ("crawl", 1.0),
];

impl Workload {
    pub(crate) fn new(settings: WorkloadSettings) -> Workload {
        let limits = CapacityLimits {
            open_requests: settings.max_open,
            bytes: settings.max_bytes,
            max_retry_after: settings.max_retry_after,
        };
        let classes = [
            class(1.0, 400_000, 0.0),
            class(4.0, 120_000, 0.5),
            class(0.2, 1_500_000, 2.0),
        ];
        let config = config(&settings, &TENANTS);
        config.validate().expect("a valid configuration");
        let mut workload = Workload {
            random: Random::new(settings.seed),
            controller: AdmissionController::new(config, &classes, limits, settings.seed, 0),
            now: 0,
            last_id: 0,
            last_event: 0,
            events: BinaryHeap::new(),
            open: BTreeMap::new(),
            bytes: 0,
            trace: String::new(),
            settings,
        };
        workload.schedule(1, Event::Arrival);
        workload.schedule(REPORT_INTERVAL, Event::Report);
        workload
    }

    pub(crate) fn run(mut self) -> String {
        while self.last_id < self.settings.requests || !self.open.is_empty() {
            let event_at = self.events.peek().map_or(i64::MAX, |Reverse((at, ..))| *at);
            let deadline = self.controller.next_deadline().unwrap_or(i64::MAX);
            self.now = self.now.max(event_at.min(deadline));
            if event_at <= self.now {
                if let Some(Reverse((_, _, event))) = self.events.pop() {
                    self.handle(event);
                }
            }
            self.poll();
        }
        self.write_report();
        self.trace
    }

    fn schedule(&mut self, delay: i64, event: Event) {
        self.last_event += 1;
        self.events
            .push(Reverse((self.now + delay, self.last_event, event)));
    }

    fn write_line(&mut self, text: std::fmt::Arguments<'_>) {
        writeln!(self.trace, "{} {text}", self.now).expect("writing to a string cannot fail");
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Return { tenant, client } => self.request(tenant, client),
            Event::End { id } => self.end(id),
            Event::Disconnect { id } => self.disconnect(id),
            Event::Report => {
                self.schedule(REPORT_INTERVAL, Event::Report);
                self.write_report();
            }
        }
    }

    fn arrive(&mut self) {
        if self.last_id >= self.settings.requests {
            return;
        }
        let gap = 1 + self.random.below(2 * self.settings.mean_gap) as i64;
        self.schedule(gap, Event::Arrival);
        let tenant = self.random.below(5) as u16;
        // A few clients of each tenant send most of its requests.
        let clients = if self.random.per_mille(600) {
            3
        } else {
            self.settings.clients
        };
        let client = u64::from(tenant) * 10_000 + self.random.below(clients);
        self.request(tenant, client);
        if self.random.per_mille(self.settings.reconfigure_per_mille) {
            self.reconfigure();
        }
    }

    fn request(&mut self, tenant: u16, client: u64) {
        self.last_id += 1;
        let id = self.last_id;
        let size_known = self.random.per_mille(500);
        let size_kb = self.random.below(4_000) as f64 / 10.0;
        let request = AdmissionRequest {
            id,
            identity: ClientIdentity {
                tenant,
                client: client.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                connection: client * 10 + self.random.below(4),
                address: "127.0.0.1".parse().expect("a valid address"),
            },
            class: self.random.below(4) as usize,
            size_kb: if size_known { size_kb } else { 0.0 },
            bytes: self.random.below(3_000) as u32,
            expires: self.now + self.random.below(2_000_000) as i64 - 5_000,
        };
        let bytes_in_use = self.bytes + request.bytes as usize;
        let decision = self.controller.admit(self.now, request, bytes_in_use);
        let (ticket, text) = match decision {
            Decision::Admitted(ticket) => (Some(ticket), "in".to_string()),
            Decision::Queued(ticket) => (Some(ticket), "queued".to_string()),
            Decision::Rejected(rejection) => (None, rejection_text(rejection)),
        };
        self.write_line(format_args!("{id} A {tenant} {client} {text}"));
        if let Decision::Rejected(rejection) = decision {
            return self.schedule_return(tenant, client, rejection);
        }
        let Some(ticket) = ticket else { return };
        let (identity, bytes) = (request.identity, request.bytes);
        self.bytes += bytes as usize;
        self.open.insert(
            id,
            Open {
                ticket,
                identity,
                bytes,
            },
        );
        if matches!(decision, Decision::Admitted(_)) {
            self.start(id);
        } else if self.random.per_mille(80) {
            let delay = self.random.below(200_000) as i64;
            self.schedule(delay, Event::Disconnect { id });
        }
    }

    /// Most clients return after the Retry-After that they were sent, some return earlier, and some do not return.
    fn schedule_return(&mut self, tenant: u16, client: u64, rejection: Rejection) {
        if self.last_id >= self.settings.requests || self.random.per_mille(300) {
            return;
        }
        let returns_early = self.random.per_mille(200);
        let wait = if returns_early {
            rejection.retry_after / 3
        } else {
            rejection.retry_after
        };
        let jitter = self.random.below(30_000) as i64;
        self.schedule(wait + jitter, Event::Return { tenant, client });
    }

    fn start(&mut self, id: u32) {
        if self.settings.steady {
            let in_flight = self.controller.report().in_flight as u64;
            let base = self.settings.base_duration * in_flight.max(STEADY_LOAD) / STEADY_LOAD;
            let duration = base + self.random.below(base / 10);
            return self.schedule(duration as i64, Event::End { id });
        }
        let load = self.open.len() as u64;
        let base = self.settings.base_duration * (1 + load / 10);
        let slowdown = if self.random.per_mille(30) { 12 } else { 1 };
        let duration = base / 2 + self.random.below(base) * slowdown;
        self.schedule(duration as i64, Event::End { id });
    }

    fn end(&mut self, id: u32) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.bytes -= open.bytes as usize;
        let completion = Completion {
            succeeded: self.random.per_mille(900),
            cache_hit: self
                .random
                .per_mille(if self.settings.steady { 980 } else { 800 }),
            size_kb: self.random.below(3_000) as f64 / 10.0,
            abandoned: self.random.per_mille(40),
        };
        self.controller.complete(self.now, open.ticket, completion);
        self.write_line(format_args!("{id} C"));
    }

    fn disconnect(&mut self, id: u32) {
        let Some(open) = self.open.get(&id).copied() else {
            return;
        };
        let is_waiting = self.controller.is_waiting(&open.ticket);
        if is_waiting {
            let cancelled = self.controller.cancel(self.now, open.ticket);
            self.open.remove(&id);
            self.bytes -= open.bytes as usize;
            self.write_line(format_args!("{id} X {cancelled}"));
        }
    }

    fn poll(&mut self) {
        let mut events = Vec::new();
        self.controller.poll(self.now, &mut events);
        for event in events {
            match event {
                AdmissionEvent::Admitted { id, tenant, waited } => {
                    self.write_line(format_args!("{id} E in {tenant} {waited}"));
                    self.start(id);
                }
                AdmissionEvent::Rejected { id, rejection } => {
                    let text = rejection_text(rejection);
                    self.write_line(format_args!("{id} E {text}"));
                    if let Some(open) = self.open.remove(&id) {
                        self.bytes -= open.bytes as usize;
                        let client = open.client_number();
                        self.schedule_return(open.identity.tenant, client, rejection);
                    }
                }
            }
        }
    }

    fn reconfigure(&mut self) {
        let count = 1 + self.random.below(TENANTS.len() as u64) as usize;
        let mut tenants = TENANTS[..count].to_vec();
        tenants.reverse();
        tenants[0].1 *= 2.0;
        let mut config = config(&self.settings, &tenants);
        config.cost_per_kb = self.random.below(50) as i64;
        config.max_concurrency = self.settings.max_concurrency - self.random.below(3) as usize;
        config.validate().expect("a valid configuration");
        self.controller.reconfigure(self.now, config);
        self.write_line(format_args!("reconfigured {count}"));
    }

    fn write_report(&mut self) {
        let report = self.controller.report();
        let (waiting, open) = (self.controller.waiting(), self.controller.open());
        self.write_line(format_args!(
            "S limit {:?} in {} overdue {} waiting {waiting} {} open {open} reserved {} {} {} {} room {} next {:?}",
            report.concurrency_limit,
            report.in_flight,
            report.overdue,
            report.waiting,
            report.reserved,
            report.reservations_redeemed,
            report.reservations_expired,
            report.reservations_refused,
            self.controller.has_capacity(),
            self.controller.next_deadline(),
        ));
        for tenant in report.tenants {
            let counters = tenant.counters;
            self.write_line(format_args!(
                "S {} {:?} waiting {} in {} offered {} admitted {} waited {} cancelled {} answered {} rejected {:?} reserved {} cost {:?}",
                tenant.name,
                tenant.weight,
                tenant.waiting,
                tenant.in_flight,
                counters.offered,
                counters.admitted,
                counters.waited,
                counters.cancelled,
                counters.succeeded,
                counters.rejected,
                counters.reserved,
                counters.cost,
            ));
            for client in tenant.heaviest_clients {
                self.write_line(format_args!(
                    "S client waiting {} in {} reserved {} recent {}",
                    client.waiting, client.in_flight, client.reserved, client.recent_requests
                ));
            }
        }
    }
}

impl Open {
    fn client_number(&self) -> u64 {
        self.identity.connection / 10
    }
}

fn rejection_text(rejection: Rejection) -> String {
    let Rejection {
        reason,
        retry_after,
        reserved,
    } = rejection;
    format!("no {reason} {retry_after} {reserved}")
}

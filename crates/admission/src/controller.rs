//! The admission controller: decides which lookups are admitted, which wait and which are rejected, before the decision
//! module sees them. Each lookup leaves exactly once: admitted and completed, rejected, or cancelled by its client.

mod admit;
mod complete;
mod completion_rate;
mod lookup;
mod poll;
mod reconfigure;
mod reject;

use crate::concurrency_limit::ConcurrencyLimiter;
use crate::config::{AdmissionConfig, QueueDiscipline, Tenant};
use crate::cost::{CostModel, RequestClass};
use crate::fair_queue::FairQueue;
use crate::report::{AdmissionReport, TenantCounters, TenantReport};
use crate::request::{AdmissionEvent, CapacityLimits, Ticket};
use crate::reservations::ReservationCalendar;
use crate::slab::Slab;
use crate::timer_wheel::TimerWheel;
use crate::token_buckets::TokenBuckets;
use completion_rate::CompletionRate;
use lookup::Lookup;
use meadowrill_routing::interface::Micros;

/// Granularity of the timers.
const TIMER_GRANULARITY: Micros = 2_000;

/// Admission control in front of the decision module.
pub struct AdmissionController {
    config: AdmissionConfig,
    limits: CapacityLimits,
    seed: u64,
    reconfigurations: u64,
    now: Micros,
    lookups: Slab<Lookup>,
    queue: FairQueue,
    limiter: ConcurrencyLimiter,
    costs: CostModel,
    reservations: ReservationCalendar,
    buckets: TokenBuckets,
    /// By lookup: when its wait ends, when it is overdue, or when its place is free after an early failure.
    timers: TimerWheel,
    /// Events that the next `poll` returns.
    events: Vec<AdmissionEvent>,
    /// By tenant.
    counters: Vec<TenantCounters>,
    completions: CompletionRate,
}

/// Worth of each class in the queue: of two with the same utility, the one with the shorter budget goes first.
fn queue_worths(costs: &CostModel) -> Vec<f64> {
    let worth = |class: &RequestClass| {
        class.priority_weight.max(0.0) / (class.latency_budget.max(1) as f64)
    };
    costs.classes().map(worth).collect()
}

impl AdmissionController {
    /// A controller with nothing admitted. `config` must have been checked.
    pub fn new(
        config: AdmissionConfig,
        classes: &[RequestClass],
        limits: CapacityLimits,
        seed: u64,
        now: Micros,
    ) -> AdmissionController {
        let costs = CostModel::new(classes, config.cost_per_kb);
        let budgets: Vec<Micros> = classes.iter().map(|class| class.latency_budget).collect();
        AdmissionController {
            queue: FairQueue::new(&config, &queue_worths(&costs), seed, now),
            limiter: ConcurrencyLimiter::new(
                config.min_concurrency,
                config.max_concurrency,
                &budgets,
                now,
            ),
            buckets: TokenBuckets::new(config.bucket_rate, config.bucket_burst),
            counters: vec![TenantCounters::default(); config.tenants.len()],
            costs,
            reservations: ReservationCalendar::new(now),
            timers: TimerWheel::new(TIMER_GRANULARITY, now),
            lookups: Slab::default(),
            events: Vec::new(),
            completions: CompletionRate::new(now),
            config,
            limits,
            seed,
            reconfigurations: 0,
            now,
        }
    }

    /// Advances the controller's time, which never goes back, whatever the host's clock does.
    fn advance(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        self.now
    }

    /// Whether a lookup was not admitted yet.
    pub fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.lookups
            .get(ticket.0)
            .is_some_and(|lookup| lookup.admitted_at.is_none())
    }

    /// Number of lookups that wait.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Number of lookups that wait or are in flight.
    pub fn open(&self) -> usize {
        self.lookups.len() - self.limiter.lingering()
    }

    /// Whether one more lookup may be in flight.
    pub fn has_capacity(&self) -> bool {
        self.config.discipline != QueueDiscipline::Fair || self.limiter.has_capacity()
    }

    /// The configuration in force.
    pub fn config(&self) -> &AdmissionConfig {
        &self.config
    }

    /// When to call `poll` next, if nothing else happens before.
    pub fn next_deadline(&self) -> Option<Micros> {
        let probe_end = if self.waiting() > 0 {
            self.limiter.next_deadline()
        } else {
            None
        };
        [self.timers.next_deadline(), probe_end]
            .into_iter()
            .flatten()
            .min()
    }

    /// The state for operators.
    pub fn report(&self) -> AdmissionReport {
        let tenants = self.config.tenants.iter().enumerate();
        AdmissionReport {
            discipline: self.config.discipline,
            concurrency_limit: self.limiter.limit(),
            in_flight: self.limiter.in_flight(),
            overdue: self.limiter.overdue(),
            waiting: self.waiting(),
            reserved: self.reservations.open,
            reservations_redeemed: self.reservations.redeemed,
            reservations_expired: self.reservations.expired,
            reservations_refused: self.reservations.refused,
            tenants: tenants
                .map(|(place, tenant)| self.tenant_report(place, tenant))
                .collect(),
        }
    }

    fn tenant_report(&self, place: usize, tenant: &Tenant) -> TenantReport {
        let load = self.queue.tenant_load(place);
        TenantReport {
            name: tenant.name.clone(),
            weight: tenant.weight,
            waiting: load.waiting,
            in_flight: load.in_flight,
            counters: self.counters[place],
            heaviest_clients: self.queue.heaviest_clients(place),
        }
    }

    /// Bytes that the controller holds.
    pub fn memory_bytes(&self) -> usize {
        size_of::<AdmissionController>()
            + self.lookups.memory_bytes()
            + self.queue.memory_bytes()
            + self.reservations.memory_bytes()
            + self.timers.memory_bytes()
    }
}

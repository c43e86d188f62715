//! The admission controller decides which requests are admitted, which wait and which are rejected, before the routing
//! crate receives them.
//!
//! A request is waiting, in flight, or ended. A request in flight that takes too long becomes overdue, and the permit
//! of a request that failed early lingers for a while. Invariants: each request leaves the controller exactly once,
//! either completed after its admission, rejected, or cancelled by its client; no request waits while there is capacity
//! once `poll` has returned; the controller's time never goes back.

mod admit;
mod complete;
mod completion_rate;
mod poll;
mod reconfigure;
mod reject;
mod tracked_request;

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
use meadowrill_routing::interface::Micros;
use tracked_request::TrackedRequest;

/// Granularity of the timers.
const TIMER_GRANULARITY: Micros = 2_000;

/// Admission control in front of the routing crate.
pub struct AdmissionController {
    config: AdmissionConfig,
    limits: CapacityLimits,
    seed: u64,
    reconfigurations: u64,
    now: Micros,
    requests: Slab<TrackedRequest>,
    queue: FairQueue,
    limiter: ConcurrencyLimiter,
    costs: CostModel,
    reservations: ReservationCalendar,
    buckets: TokenBuckets,
    /// Timers by request index: when the wait ends, when the request becomes overdue, or when the permit is freed after
    /// an early failure.
    timers: TimerWheel,
    /// Events that the next `poll` returns.
    events: Vec<AdmissionEvent>,
    /// Counters by tenant index.
    counters: Vec<TenantCounters>,
    completions: CompletionRate,
}

/// Returns the queue weight of each class. Of two classes with the same priority, the one with the shorter latency
/// budget gets the greater weight.
fn queue_weights(costs: &CostModel) -> Vec<f64> {
    let weight = |class: &RequestClass| {
        class.priority_weight.max(0.0) / (class.latency_budget.max(1) as f64)
    };
    costs.classes().map(weight).collect()
}

impl AdmissionController {
    /// Creates a controller without requests. `config` must be valid.
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
            queue: FairQueue::new(&config, &queue_weights(&costs), seed, now),
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
            requests: Slab::default(),
            events: Vec::new(),
            completions: CompletionRate::new(now),
            config,
            limits,
            seed,
            reconfigurations: 0,
            now,
        }
    }

    /// Advances the controller's time and returns it. The time never goes back, even if the host's clock does.
    fn advance(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        self.now
    }

    /// Returns whether a request has not been admitted yet.
    pub fn is_waiting(&self, ticket: &Ticket) -> bool {
        self.requests
            .get(ticket.0)
            .is_some_and(|request| request.admitted_at.is_none())
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.waiting()
    }

    /// Returns the number of requests that wait or are in flight.
    pub fn open(&self) -> usize {
        self.requests.len() - self.limiter.lingering()
    }

    /// Returns whether one more request may be in flight.
    pub fn has_capacity(&self) -> bool {
        self.config.discipline != QueueDiscipline::Fair || self.limiter.has_capacity()
    }

    /// Returns the current configuration.
    pub fn config(&self) -> &AdmissionConfig {
        &self.config
    }

    /// Returns when `poll` has to be called next if nothing else happens before.
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

    /// Returns the state to report to operators.
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
                .map(|(index, tenant)| self.tenant_report(index, tenant))
                .collect(),
        }
    }

    fn tenant_report(&self, index: usize, tenant: &Tenant) -> TenantReport {
        let load = self.queue.tenant_load(index);
        TenantReport {
            name: tenant.name.clone(),
            weight: tenant.weight,
            waiting: load.waiting,
            in_flight: load.in_flight,
            counters: self.counters[index],
            heaviest_clients: self.queue.heaviest_clients(index),
        }
    }

    /// Returns the number of bytes allocated by the controller.
    pub fn memory_bytes(&self) -> usize {
        size_of::<AdmissionController>()
            + self.requests.memory_bytes()
            + self.queue.memory_bytes()
            + self.reservations.memory_bytes()
            + self.timers.memory_bytes()
    }
}

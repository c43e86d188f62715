//! A change of the configuration while lookups wait and are in flight.

use super::{queue_worths, AdmissionController};
use crate::config::{AdmissionConfig, Tenant};
use crate::fair_queue::FairQueue;
use crate::report::TenantCounters;
use crate::token_buckets::TokenBuckets;
use meadowrill_routing::interface::Micros;

fn place_of(tenants: &[Tenant], name: &str) -> Option<usize> {
    tenants.iter().position(|tenant| tenant.name == name)
}

impl AdmissionController {
    /// Changes the configuration, which must have been checked. Lookups that wait or are in flight stay; those of a
    /// tenant that no longer exists become the default tenant's. Reservations stay with their clients.
    pub fn reconfigure(&mut self, now: Micros, config: AdmissionConfig) {
        let now = self.advance(now);
        self.reconfigurations += 1;
        let former_tenants = std::mem::take(&mut self.config.tenants);
        let new_place =
            |tenant: &Tenant| place_of(&config.tenants, &tenant.name).unwrap_or(0) as u16;
        let moved: Vec<u16> = former_tenants.iter().map(new_place).collect();
        self.counters = self.moved_counters(&former_tenants, &config.tenants);
        let waiting: Vec<u32> = std::iter::from_fn(|| self.queue.dequeue())
            .map(|dequeued| dequeued.item)
            .collect();
        let seed = self.seed ^ self.reconfigurations;
        self.queue = FairQueue::new(&config, &queue_worths(&self.costs), seed, now);
        self.reservations.clear_flows();
        self.limiter
            .reconfigure(config.min_concurrency, config.max_concurrency);
        self.costs.reconfigure(config.cost_per_kb);
        let former_bucket = (self.config.bucket_rate, self.config.bucket_burst);
        if (config.bucket_rate, config.bucket_burst) != former_bucket {
            self.buckets = TokenBuckets::new(config.bucket_rate, config.bucket_burst);
        }
        self.config = config;
        self.requeue(now, &waiting, &moved);
    }

    /// The counters of tenants that keep their names.
    fn moved_counters(&self, former: &[Tenant], tenants: &[Tenant]) -> Vec<TenantCounters> {
        let counters =
            |tenant: &Tenant| place_of(former, &tenant.name).map(|place| self.counters[place]);
        tenants
            .iter()
            .map(|tenant| counters(tenant).unwrap_or_default())
            .collect()
    }

    /// Brings all lookups into a new queue: those in flight, then those that wait, in their former order.
    fn requeue(&mut self, now: Micros, waiting: &[u32], moved: &[u16]) {
        let admitted = self
            .lookups
            .iter()
            .filter(|(_, lookup)| lookup.admitted_at.is_some());
        let admitted: Vec<u32> = admitted.map(|(index, _)| index).collect();
        for index in admitted.iter().chain(waiting) {
            let Some(lookup) = self.lookups.get_mut(*index) else {
                continue;
            };
            lookup.identity.tenant = moved.get(lookup.tenant()).copied().unwrap_or(0);
            lookup.flow = self.queue.flow_of(now, lookup.identity);
            if lookup.admitted_at.is_none() {
                self.queue.enqueue(*index, lookup.queued());
            } else if lookup.fair_queued && !lookup.lingering {
                self.queue.add_in_flight(lookup.flow);
            }
        }
    }
}

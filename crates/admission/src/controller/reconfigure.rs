//! A change of the configuration while requests wait and are in flight.

use super::{queue_weights, AdmissionController};
use crate::config::{AdmissionConfig, Tenant};
use crate::fair_queue::FairQueue;
use crate::report::TenantCounters;
use crate::token_buckets::TokenBuckets;
use meadowrill_routing::interface::Micros;

fn tenant_index(tenants: &[Tenant], name: &str) -> Option<usize> {
    tenants.iter().position(|tenant| tenant.name == name)
}

impl AdmissionController {
    /// Changes the configuration, which must have been checked. Requests that wait or are in flight stay; those of a
    /// tenant that no longer exists become the default tenant's. Reservations stay with their clients.
    pub fn reconfigure(&mut self, now: Micros, config: AdmissionConfig) {
        let now = self.advance(now);
        self.reconfigurations += 1;
        let former_tenants = std::mem::take(&mut self.config.tenants);
        let new_place =
            |tenant: &Tenant| tenant_index(&config.tenants, &tenant.name).unwrap_or(0) as u16;
        let moved: Vec<u16> = former_tenants.iter().map(new_place).collect();
        self.counters = self.moved_counters(&former_tenants, &config.tenants);
        let waiting: Vec<u32> = std::iter::from_fn(|| self.queue.dequeue())
            .map(|dequeued| dequeued.item)
            .collect();
        let seed = self.seed ^ self.reconfigurations;
        self.queue = FairQueue::new(&config, &queue_weights(&self.costs), seed, now);
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
            |tenant: &Tenant| tenant_index(former, &tenant.name).map(|index| self.counters[index]);
        tenants
            .iter()
            .map(|tenant| counters(tenant).unwrap_or_default())
            .collect()
    }

    /// Brings all requests into a new queue: those in flight, then those that wait, in their former order.
    fn requeue(&mut self, now: Micros, waiting: &[u32], moved: &[u16]) {
        let admitted = self
            .requests
            .iter()
            .filter(|(_, request)| request.admitted_at.is_some());
        let admitted: Vec<u32> = admitted.map(|(index, _)| index).collect();
        for index in admitted.iter().chain(waiting) {
            let Some(request) = self.requests.get_mut(*index) else {
                continue;
            };
            request.identity.tenant = moved.get(request.tenant()).copied().unwrap_or(0);
            request.flow = self.queue.flow_of(now, request.identity);
            if request.admitted_at.is_none() {
                self.queue.enqueue(*index, request.queued());
            } else if request.fair_queued && !request.lingering {
                self.queue.add_in_flight(request.flow);
            }
        }
    }
}

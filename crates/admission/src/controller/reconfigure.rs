//! Changes of the configuration while requests are waiting and in flight.

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
    /// Changes the configuration, which must be valid. Requests that wait or are in flight are kept; requests of a
    /// tenant that no longer exists are assigned to the default tenant. Clients keep their reservations.
    pub fn reconfigure(&mut self, now: Micros, config: AdmissionConfig) {
        let now = self.advance(now);
        self.reconfigurations += 1;
        let previous_tenants = std::mem::take(&mut self.config.tenants);
        let new_index =
            |tenant: &Tenant| tenant_index(&config.tenants, &tenant.name).unwrap_or(0) as u16;
        let new_tenants: Vec<u16> = previous_tenants.iter().map(new_index).collect();
        self.counters = self.remap_counters(&previous_tenants, &config.tenants);
        let waiting: Vec<u32> = std::iter::from_fn(|| self.queue.dequeue())
            .map(|dequeued| dequeued.item)
            .collect();
        let seed = self.seed ^ self.reconfigurations;
        self.queue = FairQueue::new(&config, &queue_weights(&self.costs), seed, now);
        self.reservations.clear_flows();
        self.limiter
            .reconfigure(config.min_concurrency, config.max_concurrency);
        self.costs.reconfigure(config.cost_per_kb);
        let previous_bucket = (self.config.bucket_rate, self.config.bucket_burst);
        if (config.bucket_rate, config.bucket_burst) != previous_bucket {
            self.buckets = TokenBuckets::new(config.bucket_rate, config.bucket_burst);
        }
        self.config = config;
        self.requeue(now, &waiting, &new_tenants);
    }

    /// Returns the counters for the new tenants. A tenant that keeps its name keeps its counters.
    fn remap_counters(&self, previous: &[Tenant], tenants: &[Tenant]) -> Vec<TenantCounters> {
        let counters = |tenant: &Tenant| {
            tenant_index(previous, &tenant.name).map(|index| self.counters[index])
        };
        tenants
            .iter()
            .map(|tenant| counters(tenant).unwrap_or_default())
            .collect()
    }

    /// Adds all requests to a new queue: first those in flight, then those that wait, in their previous order.
    /// `new_tenants` maps the previous index of each tenant to its new one.
    fn requeue(&mut self, now: Micros, waiting: &[u32], new_tenants: &[u16]) {
        let admitted = self
            .requests
            .iter()
            .filter(|(_, request)| request.admitted_at.is_some());
        let admitted: Vec<u32> = admitted.map(|(index, _)| index).collect();
        for index in admitted.iter().chain(waiting) {
            let Some(request) = self.requests.get_mut(*index) else {
                continue;
            };
            request.identity.tenant = new_tenants.get(request.tenant()).copied().unwrap_or(0);
            request.flow = self.queue.classify(now, request.identity);
            if request.admitted_at.is_none() {
                self.queue.enqueue(*index, request.queued());
            } else if request.fair_queued && !request.lingering {
                self.queue.add_in_flight(request.flow);
            }
        }
    }
}

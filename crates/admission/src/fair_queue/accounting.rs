//! Shares, loads and reservations of the fair queue's tenants and flows.

use super::flow::*;
use super::{FairQueue, TenantBytes, TenantLoad};
use crate::report::ClientReport;
use std::cmp::Reverse;

impl FairQueue {
    /// Returns the number of waiting items of all tenants.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of waiting items of a flow.
    pub fn waiting_in(&self, flow: u32) -> u32 {
        self.flows[flow as usize].waiting
    }

    /// Returns the number of flows, of all tenants, with items waiting or in flight.
    pub fn active_flows(&self) -> u32 {
        self.active_flows
    }

    /// Returns the tenant's fraction of the weight of all active tenants. The tenant itself counts as active.
    fn tenant_share(&self, tenant: &TenantQueue) -> f64 {
        let inactive_weight = if tenant.is_active() {
            0.0
        } else {
            tenant.weight
        };
        tenant.weight / (self.active_weight + inactive_weight).max(tenant.weight)
    }

    /// Returns the fraction of all concurrency, from 0 to 1, that a flow is entitled to. The flow itself counts as
    /// active.
    pub fn share(&self, flow: u32) -> f64 {
        let flow = &self.flows[flow as usize];
        let tenant = &self.tenants[usize::from(flow.tenant)];
        let flows = tenant.active_flows + u32::from(!flow.is_active());
        self.tenant_share(tenant) / f64::from(flows.max(1))
    }

    /// Returns the expected cost of all waiting items of a flow and of its reservations, at `cost_per_reservation`
    /// each.
    pub fn cost_ahead(&self, flow: u32, cost_per_reservation: f64) -> f64 {
        let flow = &self.flows[flow as usize];
        flow.waiting_cost + f64::from(flow.reserved) * cost_per_reservation
    }

    /// Returns the waiting bytes of the tenant that owns a flow, and the tenant's share.
    pub fn tenant_bytes(&self, flow: u32) -> TenantBytes {
        let tenant = &self.tenants[usize::from(self.flows[flow as usize].tenant)];
        TenantBytes {
            waiting: tenant.waiting_bytes,
            share: self.tenant_share(tenant),
        }
    }

    /// Returns the number of open reservations of a flow.
    pub fn reserved_in(&self, flow: u32) -> u32 {
        self.flows
            .get(flow as usize)
            .map_or(0, |flow| flow.reserved)
    }

    /// Counts a new reservation of a flow.
    pub fn add_reservation(&mut self, flow: u32) {
        if let Some(flow) = self.flows.get_mut(flow as usize) {
            flow.reserved = flow.reserved.saturating_add(1);
        }
    }

    /// Subtracts reservations of a flow that were redeemed or have expired.
    pub fn remove_reservations(&mut self, flow: u32, count: u32) {
        if let Some(flow) = self.flows.get_mut(flow as usize) {
            flow.reserved = flow.reserved.saturating_sub(count);
        }
    }

    /// Returns the number of waiting requests and requests in flight of a tenant.
    pub fn tenant_load(&self, tenant: usize) -> TenantLoad {
        let tenant = &self.tenants[tenant];
        TenantLoad {
            waiting: tenant.waiting,
            in_flight: tenant.in_flight,
        }
    }

    /// Returns the clients of a tenant that have flows of their own, the heaviest first.
    pub fn heaviest_clients(&self, tenant: usize) -> Vec<ClientReport> {
        let (queue, first) = (&self.tenants[tenant], tenant * FLOWS_PER_TENANT);
        let report = |(index, dedicated): (usize, &Option<DedicatedClient>)| {
            let DedicatedClient { client, address } = (*dedicated)?;
            let Flow {
                waiting,
                in_flight,
                reserved,
                ..
            } = self.flows[first + index];
            let recent_requests = queue.heavy_hitters.guaranteed(client);
            let present = recent_requests + waiting + in_flight > 0;
            present.then_some(ClientReport {
                address,
                waiting,
                in_flight,
                reserved,
                recent_requests,
            })
        };
        let mut clients: Vec<_> = queue
            .dedicated
            .iter()
            .enumerate()
            .filter_map(report)
            .collect();
        clients.sort_by_key(|client| Reverse((client.recent_requests, client.waiting)));
        clients
    }

    /// Returns the number of allocated bytes. It depends on the number of tenants and of waiting items, but not on the
    /// number of clients.
    pub fn memory_bytes(&self) -> usize {
        let backlogs = self
            .tenants
            .iter()
            .map(|tenant| tenant.backlogged.capacity() * size_of::<u32>());
        self.tenants.capacity() * size_of::<TenantQueue>()
            + backlogs.sum::<usize>()
            + self.flows.capacity() * size_of::<Flow>()
            + self.items.capacity() * size_of::<Item>()
    }
}

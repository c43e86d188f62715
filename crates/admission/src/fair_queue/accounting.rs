//! What can be read of the fair queue by tenant and flow: shares, loads and reservations.

use super::flow::*;
use super::{FairQueue, TenantBytes, TenantLoad};
use crate::report::ClientReport;
use std::cmp::Reverse;

impl FairQueue {
    /// Waiting items of all tenants.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Waiting items of a flow.
    pub fn waiting_in(&self, flow: u32) -> u32 {
        self.flows[flow as usize].waiting
    }

    /// Flows of all tenants with anything waiting or in flight.
    pub fn active_flows(&self) -> u32 {
        self.active_flows
    }

    /// The tenant's part of the weight of all active tenants, itself among them.
    fn tenant_share(&self, tenant: &TenantQueue) -> f64 {
        let own = if tenant.is_active() {
            0.0
        } else {
            tenant.weight
        };
        tenant.weight / (self.active_weight + own).max(tenant.weight)
    }

    /// The part of all concurrency that a flow may count on, itself among the active flows: 0 to 1.
    pub fn share(&self, flow: u32) -> f64 {
        let flow = &self.flows[flow as usize];
        let tenant = &self.tenants[usize::from(flow.tenant)];
        let flows = tenant.active_flows + u32::from(!flow.is_active());
        self.tenant_share(tenant) / f64::from(flows.max(1))
    }

    /// Expected cost of all that waits in a flow, and of its reservations at `usual_cost` each.
    pub fn cost_ahead(&self, flow: u32, usual_cost: f64) -> f64 {
        let flow = &self.flows[flow as usize];
        flow.waiting_cost + f64::from(flow.reserved) * usual_cost
    }

    /// Waiting bytes of a flow's tenant, and the tenant's share.
    pub fn tenant_bytes(&self, flow: u32) -> TenantBytes {
        let tenant = &self.tenants[usize::from(self.flows[flow as usize].tenant)];
        TenantBytes {
            waiting: tenant.waiting_bytes,
            share: self.tenant_share(tenant),
        }
    }

    /// Open reservations of a flow.
    pub fn reserved_in(&self, flow: u32) -> u32 {
        self.flows
            .get(flow as usize)
            .map_or(0, |flow| flow.reserved)
    }

    /// Counts a reservation for a flow.
    pub fn add_reservation(&mut self, flow: u32) {
        if let Some(flow) = self.flows.get_mut(flow as usize) {
            flow.reserved = flow.reserved.saturating_add(1);
        }
    }

    /// Reservations of a flow were redeemed or have expired.
    pub fn remove_reservations(&mut self, flow: u32, count: u32) {
        if let Some(flow) = self.flows.get_mut(flow as usize) {
            flow.reserved = flow.reserved.saturating_sub(count);
        }
    }

    /// What waits and what is in flight of a tenant.
    pub fn tenant_load(&self, tenant: usize) -> TenantLoad {
        let tenant = &self.tenants[tenant];
        TenantLoad {
            waiting: tenant.waiting,
            in_flight: tenant.in_flight,
        }
    }

    /// The clients of a tenant that have flows of their own, the heaviest first.
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
            let recent_lookups = queue.heavy_hitters.guaranteed(client);
            let present = recent_lookups + waiting + in_flight > 0;
            present.then_some(ClientReport {
                address,
                waiting,
                in_flight,
                reserved,
                recent_requests: recent_lookups,
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

    /// Bytes allocated: by the number of tenants and of waiting items, never by the number of clients.
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

//! The linked lists of waiting items, and the counters that depend on them.
//!
//! Invariants: an item is in the list of one lane exactly while it waits; a flow is in its tenant's list of backlogged
//! flows exactly while it has waiting items; the active weight and the number of active flows cover the tenants and
//! flows that have items waiting or in flight.

use super::flow::{Flow, Item, TenantQueue};
use super::FairQueue;
use crate::slab::NONE;

impl FairQueue {
    /// Changes the load of a flow, and updates the number of active flows and the weight of active tenants.
    pub(super) fn update_load(
        &mut self,
        flow: u32,
        change: impl FnOnce(&mut Flow, &mut TenantQueue),
    ) {
        let flow = &mut self.flows[flow as usize];
        let tenant = &mut self.tenants[usize::from(flow.tenant)];
        let (flow_was_active, tenant_was_active) = (flow.is_active(), tenant.is_active());
        change(flow, tenant);
        match (flow_was_active, flow.is_active()) {
            (false, true) => {
                tenant.active_flows += 1;
                self.active_flows += 1;
            }
            (true, false) => {
                tenant.active_flows -= 1;
                self.active_flows -= 1;
            }
            _ => {}
        }
        match (tenant_was_active, tenant.is_active()) {
            (false, true) => self.active_weight += tenant.weight,
            (true, false) => self.active_weight -= tenant.weight,
            _ => {}
        }
    }

    /// Appends an item to its lane.
    pub(super) fn link(&mut self, index: u32, item: Item) {
        if self.items.len() <= index as usize {
            self.items.resize(index as usize + 1, Item::VACANT);
        }
        self.start_backlog(item.flow);
        let flow = &mut self.flows[item.flow as usize];
        let min_tag = flow.min_lane_tag();
        let lane = &mut flow.lanes[usize::from(item.lane)];
        self.items[index as usize] = Item {
            previous: lane.tail,
            next: NONE,
            ..item
        };
        match lane.tail {
            NONE => {
                lane.head = index;
                if min_tag.is_finite() {
                    lane.start_tag = lane.start_tag.max(min_tag);
                }
            }
            tail => self.items[tail as usize].next = index,
        }
        lane.tail = index;
        self.waiting += 1;
        self.update_load(item.flow, |flow, tenant| {
            flow.waiting += 1;
            tenant.waiting += 1;
            flow.waiting_cost += item.cost;
            tenant.waiting_bytes += item.bytes as usize;
        });
    }

    /// Raises the start tags of a flow and its tenant to the virtual time if they become backlogged. Debt is kept, and
    /// capacity that they did not use while idle is not credited.
    pub(super) fn start_backlog(&mut self, index: u32) {
        let flow = &mut self.flows[index as usize];
        let tenant = &mut self.tenants[usize::from(flow.tenant)];
        if flow.waiting == 0 {
            flow.start_tag = flow.start_tag.max(tenant.virtual_time);
            flow.backlog_index = tenant.backlogged.len() as u32;
            tenant.backlogged.push(index);
        }
        if tenant.waiting == 0 {
            tenant.start_tag = tenant.start_tag.max(self.virtual_time);
        }
    }

    pub(super) fn unlink(&mut self, index: u32, item: Item) {
        self.items[index as usize] = Item::VACANT;
        let lane = &mut self.flows[item.flow as usize].lanes[usize::from(item.lane)];
        match item.previous {
            NONE => lane.head = item.next,
            previous => self.items[previous as usize].next = item.next,
        }
        match item.next {
            NONE => lane.tail = item.previous,
            next => self.items[next as usize].previous = item.previous,
        }
    }

    /// Removes a flow from its tenant's list of backlogged flows.
    pub(super) fn end_backlog(&mut self, index: u32) {
        let flow = &mut self.flows[index as usize];
        let position = flow.backlog_index;
        flow.backlog_index = NONE;
        let backlogged = &mut self.tenants[usize::from(flow.tenant)].backlogged;
        backlogged.swap_remove(position as usize);
        if let Some(moved) = backlogged.get(position as usize) {
            self.flows[*moved as usize].backlog_index = position;
        }
    }
}

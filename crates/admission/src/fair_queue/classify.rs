//! Assignment of clients to flows: the heaviest clients of a tenant get flows of their own, the others share hashed flows
//! whose salt changes (stochastic fairness queueing; McKenney, 1990).
//!
//! Invariants: all new requests of a client with a flow of its own go to that flow; a flow is given to another client
//! only while it is idle.

use super::flow::*;
use super::FairQueue;
use crate::identity::ClientIdentity;
use crate::slab::NONE;
use meadowrill_routing::interface::Micros;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Fewest guaranteed requests of a client that gets a flow of its own.
const HEAVY_COUNT: u32 = 16;
/// Such a client sends at least one in so many requests of its tenant.
const HEAVY_DIVISOR: u32 = 64;
/// Lifetime of a salt: the longest that a light client shares a flow with one that is heavy, but not heavy enough for a
/// flow of its own.
const SALT_LIFETIME: Micros = 5_000_000;

impl FairQueue {
    /// Counts a request of a client, and returns the flow for it.
    pub fn flow_of(&mut self, now: Micros, identity: ClientIdentity) -> u32 {
        self.renew_salt(now);
        let tenant = usize::from(identity.tenant).min(self.tenants.len() - 1);
        let first = tenant * FLOWS_PER_TENANT;
        let queue = &mut self.tenants[tenant];
        let count = queue.heavy_hitters.record(now, identity.client);
        let is_own = |dedicated: &Option<DedicatedClient>| {
            dedicated.is_some_and(|d| d.client == identity.client)
        };
        if let Some(index) = queue.dedicated.iter().position(is_own) {
            return (first + index) as u32;
        }
        let heavy = count >= HEAVY_COUNT && count >= queue.heavy_hitters.total() / HEAVY_DIVISOR;
        let hashed = self.hashed_flow(first, identity.client);
        let free = if heavy {
            self.free_dedicated_flow(tenant, count)
        } else {
            None
        };
        let Some(index) = free else { return hashed };
        let client = DedicatedClient {
            client: identity.client,
            address: identity.address,
        };
        self.tenants[tenant].dedicated[index] = Some(client);
        let dedicated = (first + index) as u32;
        self.move_client(identity.client, hashed, dedicated);
        dedicated
    }

    fn renew_salt(&mut self, now: Micros) {
        if now - self.salted_at >= SALT_LIFETIME {
            self.salted_at = now;
            self.salt += 1;
        }
    }

    fn hashed_flow(&self, first: usize, client: u64) -> u32 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.salt, client).hash(&mut hasher);
        let bank = DEDICATED_FLOWS + (self.salt % BANKS as u64) as usize * HASHED_FLOWS;
        (first + bank + hasher.finish() as usize % HASHED_FLOWS) as u32
    }

    /// A dedicated flow that is idle, and has no client or one that has become much lighter than `count`.
    fn free_dedicated_flow(&self, tenant: usize, count: u32) -> Option<usize> {
        let (queue, first) = (&self.tenants[tenant], tenant * FLOWS_PER_TENANT);
        let lighter = |d: DedicatedClient| queue.heavy_hitters.guaranteed(d.client) < count / 2;
        (0..DEDICATED_FLOWS).find(|index| {
            !self.flows[first + index].is_active() && queue.dedicated[*index].is_none_or(lighter)
        })
    }

    /// A client that has become heavy takes its waiting items and its debt out of the flow that it shared.
    fn move_client(&mut self, client: u64, from: u32, to: u32) {
        let debt = self.flows[from as usize].start_tag;
        let virtual_time = self.tenants[usize::from(self.flows[from as usize].tenant)].virtual_time;
        let items = self.items_of(client, from);
        // It had nothing waiting in the other flow: what is left in this one belongs to others and has no debt.
        self.flows[to as usize].start_tag = debt.max(virtual_time);
        self.flows[from as usize].start_tag = virtual_time;
        for index in items {
            let item = self.items[index as usize];
            self.remove(index);
            self.link(index, Item { flow: to, ..item });
        }
    }

    /// The waiting items of a client in a flow, lane by lane.
    fn items_of(&self, client: u64, flow: u32) -> Vec<u32> {
        let mut found = Vec::new();
        for lane in &self.flows[flow as usize].lanes {
            let mut index = lane.head;
            while index != NONE {
                let item = self.items[index as usize];
                if item.client == client {
                    found.push(index);
                }
                index = item.next;
            }
        }
        found
    }
}

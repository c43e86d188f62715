//! Assignment of clients to flows. The heaviest clients of a tenant get dedicated flows; the others share hashed flows,
//! and the salt of the hash changes periodically (stochastic fairness queueing; McKenney, 1990).
//!
//! Invariants: all new requests of a client with a dedicated flow go to that flow; a dedicated flow is reassigned only
//! while it is idle.

use super::flow::*;
use super::FairQueue;
use crate::identity::ClientIdentity;
use crate::slab::NONE;
use meadowrill_routing::interface::Micros;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Minimum number of guaranteed recent requests of a client that gets a dedicated flow.
const MIN_HEAVY_COUNT: u32 = 16;
/// A client that gets a dedicated flow sends at least one in this many requests of its tenant.
const HEAVY_DIVISOR: u32 = 64;
/// Lifetime of a salt. It bounds how long a light client shares a flow with a client that is heavy, but not heavy
/// enough for a dedicated flow.
const SALT_LIFETIME: Micros = 5_000_000;

impl FairQueue {
    /// Counts a request of a client, and returns the flow for the request.
    pub fn classify(&mut self, now: Micros, identity: ClientIdentity) -> u32 {
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
        let heavy =
            count >= MIN_HEAVY_COUNT && count >= queue.heavy_hitters.total() / HEAVY_DIVISOR;
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
        if now - self.salt_renewed_at >= SALT_LIFETIME {
            self.salt_renewed_at = now;
            self.salt += 1;
        }
    }

    fn hashed_flow(&self, first: usize, client: u64) -> u32 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.salt, client).hash(&mut hasher);
        let bank = DEDICATED_FLOWS + (self.salt % BANKS as u64) as usize * HASHED_FLOWS;
        (first + bank + hasher.finish() as usize % HASHED_FLOWS) as u32
    }

    /// Returns an idle dedicated flow that is unassigned, or whose client has less than half of `count` guaranteed
    /// requests.
    fn free_dedicated_flow(&self, tenant: usize, count: u32) -> Option<usize> {
        let (queue, first) = (&self.tenants[tenant], tenant * FLOWS_PER_TENANT);
        let lighter = |d: DedicatedClient| queue.heavy_hitters.guaranteed(d.client) < count / 2;
        (0..DEDICATED_FLOWS).find(|index| {
            !self.flows[first + index].is_active() && queue.dedicated[*index].is_none_or(lighter)
        })
    }

    /// Moves the waiting items of a client that has become heavy, and the debt, from its shared flow to a dedicated
    /// one.
    fn move_client(&mut self, client: u64, from: u32, to: u32) {
        let debt = self.flows[from as usize].start_tag;
        let virtual_time = self.tenants[usize::from(self.flows[from as usize].tenant)].virtual_time;
        let items = self.items_of(client, from);
        // The client had no items in the dedicated flow. The items that remain in the shared flow belong to other
        // clients, which are free of the debt.
        self.flows[to as usize].start_tag = debt.max(virtual_time);
        self.flows[from as usize].start_tag = virtual_time;
        for index in items {
            let item = self.items[index as usize];
            self.remove(index);
            self.link(index, Item { flow: to, ..item });
        }
    }

    /// Returns the waiting items of a client in a flow, ordered by lane.
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

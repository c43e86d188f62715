//! Start-time fair queueing (Goyal, Vin, Cheng) on three levels: tenants by weight, a tenant's clients alike, and a
//! client's kinds of lookup by their worth. A level lets in whoever has the least start tag; the tag moves on by what
//! the lookup is expected to cost over the weight, and is put right when its true cost is seen.
//!
//! Bound: while two tenants both wait throughout, what they were let in for, each over its weight, differs by no
//! more than the largest cost of each over its weight, and what corrections were still open. See docs/turns.md.

use crate::names::Asker;
use crate::plan::Plan;
use crate::slab::NONE;
use crate::talkers::Talkers;
use meadowrill_core::interface::Micros;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;

/// Clients of a tenant that have a queue of their own, and queues that the others are hashed to. Two banks of those
/// take turns with each renewed salt.
const EXACT: usize = 16;
const HASHED: usize = 32;
const FLOWS: usize = EXACT + 2 * HASHED;
/// Queues of a client by kind of lookup; kinds beyond share the last.
const LANES: usize = 4;
/// How often a client must have been heard for certain, and in which part of all that its tenant asks, to be given
/// a queue of its own.
const SURE: u32 = 16;
const SURE_PART: u32 = 64;
/// How long a salt lasts: as long as a quiet client may at worst share a queue with one that is loud, but not
/// loud enough for a queue of its own.
const SALTED: Micros = 5_000_000;
/// What a side-lined kind weighs at least, against the most worthy one.
const LEAST_WORTH: f64 = 0.05;

#[derive(Clone, Copy)]
struct Lane {
    head: u32,
    tail: u32,
    /// What this lane was let in for, over its weight.
    start: f64,
}

#[derive(Clone)]
struct Flow {
    tenant: u16,
    start: f64,
    waiting: u32,
    inside: u32,
    booked: u32,
    /// Expected cost of all that waits.
    cost: f64,
    /// Place among those of its tenant that wait.
    ready_at: u32,
    lanes: [Lane; LANES],
}

#[derive(Clone, Copy)]
struct Exact {
    client: u64,
    address: Option<IpAddr>,
}

struct Group {
    weight: f64,
    start: f64,
    virtual_time: f64,
    waiting: u32,
    inside: u32,
    bytes: usize,
    /// Flows with anything waiting or inside.
    active: u32,
    ready: Vec<u32>,
    exact: [Exact; EXACT],
    talkers: Talkers,
}

/// What waits, under the index that the host of this module gave it.
#[derive(Clone, Copy)]
struct Item {
    prev: u32,
    next: u32,
    flow: u32,
    lane: u8,
    client: u64,
    cost: f64,
    bytes: u32,
}

const IDLE: Item = Item { prev: NONE, next: NONE, flow: NONE, lane: 0, client: 0, cost: 0.0, bytes: 0 };

pub struct Fair {
    groups: Vec<Group>,
    flows: Vec<Flow>,
    items: Vec<Item>,
    virtual_time: f64,
    waiting: usize,
    /// Weight of all tenants with anything waiting or inside, and their flows.
    active_weight: f64,
    active_flows: u32,
    seed: u64,
    salt: u64,
    salted_at: Micros,
    lanes: Vec<(u8, f64)>,
}

/// A client with a queue of its own, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Talker {
    pub address: IpAddr,
    pub waiting: u32,
    pub inside: u32,
    pub booked: u32,
    /// How often it was heard for certain, halved every two seconds.
    pub heard: u32,
}

impl Fair {
    /// `worths` by kind: what one of it is worth; more worthy kinds of a client come sooner, none is starved.
    pub fn new(plan: &Plan, worths: &[f64], seed: u64, now: Micros) -> Fair {
        let most = worths.iter().copied().filter(|w| w.is_finite()).fold(f64::MIN_POSITIVE, f64::max);
        let lane = |(at, worth): (usize, &f64)| {
            let weight = (worth / most).clamp(LEAST_WORTH, 1.0);
            (at.min(LANES - 1) as u8, if weight.is_nan() { LEAST_WORTH } else { weight })
        };
        let mut fair = Fair {
            groups: Vec::new(),
            flows: Vec::new(),
            items: Vec::new(),
            virtual_time: 0.0,
            waiting: 0,
            active_weight: 0.0,
            active_flows: 0,
            seed,
            salt: 0,
            salted_at: now,
            lanes: worths.iter().enumerate().map(lane).collect(),
        };
        for (tenant, told) in (0u16..).zip(&plan.tenants) {
            let lane = Lane { head: NONE, tail: NONE, start: 0.0 };
            let flow = Flow {
                tenant,
                start: 0.0,
                waiting: 0,
                inside: 0,
                booked: 0,
                cost: 0.0,
                ready_at: NONE,
                lanes: [lane; LANES],
            };
            fair.flows.extend(std::iter::repeat_n(flow, FLOWS));
            fair.groups.push(Group {
                weight: told.weight,
                start: 0.0,
                virtual_time: 0.0,
                waiting: 0,
                inside: 0,
                bytes: 0,
                active: 0,
                ready: Vec::with_capacity(FLOWS),
                exact: [Exact { client: 0, address: None }; EXACT],
                talkers: Talkers::new(now),
            });
        }
        fair
    }

    pub fn waiting(&self) -> usize {
        self.waiting
    }

    pub fn waiting_in(&self, flow: u32) -> u32 {
        self.flows[flow as usize].waiting
    }

    /// Counts one who asks, and tells its queue.
    pub fn flow_of(&mut self, now: Micros, asker: Asker) -> u32 {
        if now - self.salted_at >= SALTED {
            self.salted_at = now;
            self.salt += 1;
        }
        let tenant = usize::from(asker.tenant).min(self.groups.len() - 1);
        let first = tenant * FLOWS;
        let group = &mut self.groups[tenant];
        let sure = group.talkers.heard(now, asker.client);
        if let Some(at) = group.exact.iter().position(|e| e.address.is_some() && e.client == asker.client) {
            return (first + at) as u32;
        }
        let mut hasher = DefaultHasher::new();
        (self.seed, self.salt, asker.client).hash(&mut hasher);
        let bank = EXACT + (self.salt % 2) as usize * HASHED;
        let hashed = (first + bank + hasher.finish() as usize % HASHED) as u32;
        if sure < SURE || sure < group.talkers.total() / SURE_PART {
            return hashed;
        }
        // A place that is free, or whose client has become much quieter than this one and has nothing here.
        let (flows, talkers) = (&self.flows, &group.talkers);
        let free = (0..EXACT).find(|at| {
            let (held, flow) = (group.exact[*at], &flows[first + at]);
            flow.waiting + flow.inside == 0
                && (held.address.is_none() || talkers.sure(held.client) < sure / 2)
        });
        let Some(at) = free else { return hashed };
        group.exact[at] = Exact { client: asker.client, address: Some(asker.address) };
        let exact = (first + at) as u32;
        self.move_out(asker.client, hashed, exact);
        exact
    }

    /// A client that has become loud takes what it has waiting, and what it owes, out of the queue that it shared.
    fn move_out(&mut self, client: u64, from: u32, to: u32) {
        let owed = self.flows[from as usize].start;
        let virtual_time = self.groups[usize::from(self.flows[from as usize].tenant)].virtual_time;
        let mut moved = Vec::new();
        for lane in self.flows[from as usize].lanes {
            let mut at = lane.head;
            while at != NONE {
                let item = self.items[at as usize];
                if item.client == client {
                    moved.push(at);
                }
                at = item.next;
            }
        }
        // None of its own in the next queue: what is left there belongs to others and owes nothing.
        self.flows[to as usize].start = owed.max(virtual_time);
        self.flows[from as usize].start = virtual_time;
        for at in moved {
            let item = self.items[at as usize];
            self.take_out(at);
            self.put_in(at, to, item.lane, item);
        }
    }

    fn activate(&mut self, flow: u32, change: impl FnOnce(&mut Flow, &mut Group)) {
        let flow = &mut self.flows[flow as usize];
        let group = &mut self.groups[usize::from(flow.tenant)];
        let (flow_was, group_was) = (flow.waiting + flow.inside > 0, group.waiting + group.inside > 0);
        change(flow, group);
        let (flow_is, group_is) = (flow.waiting + flow.inside > 0, group.waiting + group.inside > 0);
        match (flow_was, flow_is) {
            (false, true) => {
                group.active += 1;
                self.active_flows += 1;
            }
            (true, false) => {
                group.active -= 1;
                self.active_flows -= 1;
            }
            _ => {}
        }
        match (group_was, group_is) {
            (false, true) => self.active_weight += group.weight,
            (true, false) => self.active_weight -= group.weight,
            _ => {}
        }
    }

    /// Appends `item` to its flow; `kind` tells its lane.
    pub fn push(&mut self, item: u32, flow: u32, kind: usize, client: u64, cost: f64, bytes: u32) {
        let lane = self.lanes.get(kind).map_or(LANES as u8 - 1, |l| l.0);
        self.put_in(item, flow, lane, Item { client, cost, bytes, ..IDLE });
    }

    fn put_in(&mut self, item: u32, flow: u32, lane: u8, what: Item) {
        let i = item as usize;
        if self.items.len() <= i {
            self.items.resize(i + 1, IDLE);
        }
        let f = &mut self.flows[flow as usize];
        let tenant = usize::from(f.tenant);
        if f.waiting == 0 {
            // What it owes stays, what it did not ask for is not saved up.
            f.start = f.start.max(self.groups[tenant].virtual_time);
            f.ready_at = self.groups[tenant].ready.len() as u32;
            self.groups[tenant].ready.push(flow);
        }
        if self.groups[tenant].waiting == 0 {
            self.groups[tenant].start = self.groups[tenant].start.max(self.virtual_time);
        }
        let least = f.lanes.iter().filter(|l| l.head != NONE).map(|l| l.start).fold(f64::INFINITY, f64::min);
        let queue = &mut f.lanes[usize::from(lane)];
        self.items[i] = Item { prev: queue.tail, next: NONE, flow, lane, ..what };
        match queue.tail {
            NONE => {
                queue.head = item;
                if least.is_finite() {
                    queue.start = queue.start.max(least);
                }
            }
            tail => self.items[tail as usize].next = item,
        }
        queue.tail = item;
        self.waiting += 1;
        self.activate(flow, |f, g| {
            f.waiting += 1;
            g.waiting += 1;
            f.cost += what.cost;
            g.bytes += what.bytes as usize;
        });
    }

    /// Takes out what waits, wherever it stands; false if it does not wait.
    pub fn take_out(&mut self, item: u32) -> bool {
        let Some(what) = self.items.get(item as usize).copied().filter(|w| w.flow != NONE) else {
            return false;
        };
        self.items[item as usize] = IDLE;
        match what.prev {
            NONE => self.flows[what.flow as usize].lanes[usize::from(what.lane)].head = what.next,
            prev => self.items[prev as usize].next = what.next,
        }
        match what.next {
            NONE => self.flows[what.flow as usize].lanes[usize::from(what.lane)].tail = what.prev,
            next => self.items[next as usize].prev = what.prev,
        }
        self.waiting -= 1;
        self.activate(what.flow, |f, g| {
            f.waiting -= 1;
            g.waiting -= 1;
            f.cost = if f.waiting == 0 { 0.0 } else { f.cost - what.cost };
            g.bytes -= what.bytes as usize;
        });
        let f = &self.flows[what.flow as usize];
        if f.waiting == 0 {
            let (at, ready) = (f.ready_at as usize, &mut self.groups[usize::from(f.tenant)].ready);
            ready.swap_remove(at);
            let moved = ready.get(at).copied();
            self.flows[what.flow as usize].ready_at = NONE;
            if let Some(moved) = moved {
                self.flows[moved as usize].ready_at = at as u32;
            }
        }
        true
    }

    /// The next to be let in, charged with what it is expected to cost, and the flow that it counts in.
    pub fn pop(&mut self) -> Option<(u32, u32)> {
        let by = |a: f64, b: f64| a.total_cmp(&b);
        let waits = self.groups.iter().enumerate().filter(|(_, g)| g.waiting > 0);
        let tenant = waits.min_by(|a, b| by(a.1.start, b.1.start))?.0;
        let ready = self.groups[tenant].ready.iter().copied();
        let flow = ready.min_by(|a, b| by(self.flows[*a as usize].start, self.flows[*b as usize].start))?;
        let lanes = self.flows[flow as usize].lanes;
        let lane = (0..LANES)
            .filter(|l| lanes[*l].head != NONE)
            .min_by(|a, b| by(lanes[*a].start, lanes[*b].start))?;
        let item = lanes[lane].head;
        let cost = self.items[item as usize].cost;
        self.take_out(item);
        let weight =
            self.lanes.iter().filter(|l| usize::from(l.0) == lane).map(|l| l.1).fold(LEAST_WORTH, f64::max);
        let group = &mut self.groups[tenant];
        self.virtual_time = group.start;
        group.start += cost / group.weight;
        let f = &mut self.flows[flow as usize];
        group.virtual_time = f.start;
        f.start += cost;
        f.lanes[lane].start += cost / weight;
        self.activate(flow, |f, g| {
            f.inside += 1;
            g.inside += 1;
        });
        Some((item, flow))
    }

    /// One that was let in is done with: it had been charged `charged` and has cost `actual`.
    pub fn leave(&mut self, flow: u32, charged: f64, actual: f64) {
        let more = actual - charged;
        let root = self.virtual_time;
        self.activate(flow, |f, g| {
            f.inside -= 1;
            g.inside -= 1;
            // What was charged too much is given back, but not saved up from before now.
            f.start = (f.start + more).max(g.virtual_time.min(f.start));
            g.start = (g.start + more / g.weight).max(root.min(g.start));
        });
    }

    /// What a flow may count on of all that is inside, itself among the active ones: 0 to 1.
    pub fn share(&self, flow: u32) -> f64 {
        let f = &self.flows[flow as usize];
        let group = &self.groups[usize::from(f.tenant)];
        let weight = if group.waiting + group.inside > 0 { 0.0 } else { group.weight };
        let flows = group.active + u32::from(f.waiting + f.inside == 0);
        group.weight / (self.active_weight + weight).max(group.weight) / f64::from(flows.max(1))
    }

    /// Expected cost of all that waits in a flow, or is booked there at `usual` each.
    pub fn ahead(&self, flow: u32, usual: f64) -> f64 {
        let f = &self.flows[flow as usize];
        f.cost + f64::from(f.booked) * usual
    }

    pub fn booked_in(&self, flow: u32) -> u32 {
        self.flows.get(flow as usize).map_or(0, |f| f.booked)
    }

    pub fn booked(&mut self, flow: u32, change: i32) {
        if let Some(f) = self.flows.get_mut(flow as usize) {
            f.booked = f.booked.saturating_add_signed(change);
        }
    }

    pub fn active_flows(&self) -> u32 {
        self.active_flows
    }

    /// Bytes that wait for a flow's tenant, and the tenant's part of all weights that are active.
    pub fn bytes(&self, flow: u32) -> (usize, f64) {
        let group = &self.groups[usize::from(self.flows[flow as usize].tenant)];
        let weight = if group.waiting + group.inside > 0 { 0.0 } else { group.weight };
        (group.bytes, group.weight / (self.active_weight + weight).max(group.weight))
    }

    /// The last one of the longest queue: whose place another may have when all places are taken.
    pub fn longest(&self) -> Option<u32> {
        let by = |a: f64, b: f64| a.total_cmp(&b);
        let load = |g: &Group| f64::from(g.waiting) / g.weight;
        let group = self.groups.iter().filter(|g| g.waiting > 0).max_by(|a, b| by(load(a), load(b)))?;
        let flow = group.ready.iter().copied().max_by_key(|f| self.flows[*f as usize].waiting)?;
        // Of the least worthy kind that waits there.
        let lanes = &self.flows[flow as usize].lanes;
        let weight = |l: usize| self.lanes.iter().find(|k| usize::from(k.0) == l).map_or(0.0, |k| k.1);
        let lane = (0..LANES).filter(|l| lanes[*l].tail != NONE).min_by(|a, b| by(weight(*a), weight(*b)))?;
        Some(lanes[lane].tail)
    }

    /// One was let in by a former set of queues, and counts here now.
    pub fn adopt(&mut self, flow: u32) {
        self.activate(flow, |f, g| {
            f.inside += 1;
            g.inside += 1;
        });
    }

    /// What waits and what is inside, by tenant.
    pub fn holding(&self, tenant: usize) -> (u32, u32) {
        (self.groups[tenant].waiting, self.groups[tenant].inside)
    }

    /// The clients of a tenant that have queues of their own, the loudest first.
    pub fn loudest(&self, tenant: usize) -> Vec<Talker> {
        let (group, first) = (&self.groups[tenant], tenant * FLOWS);
        let talker = |(at, exact): (usize, &Exact)| {
            let flow = &self.flows[first + at];
            let heard = group.talkers.sure(exact.client);
            let address = exact.address.filter(|_| heard + flow.waiting + flow.inside > 0)?;
            Some(Talker { address, waiting: flow.waiting, inside: flow.inside, booked: flow.booked, heard })
        };
        let mut talkers: Vec<_> = group.exact.iter().enumerate().filter_map(talker).collect();
        talkers.sort_by_key(|t| std::cmp::Reverse((t.heard, t.waiting)));
        talkers
    }

    /// Bytes held for queues and clients: of the number of tenants and of what waits, never of the number of names.
    pub fn size(&self) -> usize {
        self.groups.capacity() * size_of::<Group>()
            + self.groups.iter().map(|g| g.ready.capacity() * size_of::<u32>()).sum::<usize>()
            + self.flows.capacity() * size_of::<Flow>()
            + self.items.capacity() * size_of::<Item>()
    }
}

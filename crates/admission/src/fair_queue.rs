//! Weighted fair queueing: start-time fair queueing (Goyal, Vin, Cheng) on three levels: tenants by weight, the clients
//! of a tenant alike, and a client's classes of lookups by their worth. Each level admits from the queue with the least
//! start tag; the tag advances by the expected cost over the weight, and is corrected when the actual cost is known.
//!
//! Bound: while two tenants are both backlogged, the costs admitted of them, each over its weight, differ by no more
//! than the largest cost of each over its weight, and what corrections were still open. See docs/admission-control.md.

mod accounting;
mod classify;
mod flow;

use crate::config::AdmissionConfig;
use crate::slab::NONE;
use flow::*;
use meadowrill_routing::interface::Micros;
use std::cmp::Ordering;

/// Least weight of a class, against the one of the greatest worth: none is starved.
const MIN_CLASS_WEIGHT: f64 = 0.05;

/// A lookup to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueuedLookup {
    /// The flow that [`FairQueue::flow_of`] returned.
    pub flow: u32,
    /// Number of its class.
    pub class: usize,
    /// Number of its client.
    pub client: u64,
    /// Expected cost.
    pub cost: f64,
    /// Bytes that are held while it waits.
    pub bytes: u32,
}

/// An item that was taken from the queue to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DequeuedItem {
    /// The index that the caller gave it.
    pub item: u32,
    /// The flow that it is in flight for.
    pub flow: u32,
}

/// How many lookups of a tenant there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLoad {
    /// Lookups that wait.
    pub waiting: u32,
    /// Lookups in flight.
    pub in_flight: u32,
}

/// Bytes that wait for a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantBytes {
    /// Bytes of its waiting lookups.
    pub waiting: usize,
    /// Its part of the weight of all active tenants.
    pub share: f64,
}

/// A weighted fair queue of items that the caller names by small indices.
pub struct FairQueue {
    tenants: Vec<TenantQueue>,
    flows: Vec<Flow>,
    items: Vec<Item>,
    virtual_time: f64,
    waiting: usize,
    /// Weight of all active tenants, and the number of their active flows.
    active_weight: f64,
    active_flows: u32,
    seed: u64,
    salt: u64,
    salted_at: Micros,
    /// By class.
    class_lanes: Vec<ClassLane>,
}

/// The lane and weight of each class, by the worth of a lookup of it.
fn class_lanes(worths: &[f64]) -> Vec<ClassLane> {
    let greatest = worths
        .iter()
        .copied()
        .filter(|worth| worth.is_finite())
        .fold(f64::MIN_POSITIVE, f64::max);
    let class_lane = |(class, worth): (usize, &f64)| {
        let weight = (worth / greatest).clamp(MIN_CLASS_WEIGHT, 1.0);
        let weight = if weight.is_nan() {
            MIN_CLASS_WEIGHT
        } else {
            weight
        };
        ClassLane {
            lane: class.min(LANES - 1) as u8,
            weight,
        }
    };
    worths.iter().enumerate().map(class_lane).collect()
}

/// The element with the least tag, the first of equal ones.
fn least_by<T>(elements: impl Iterator<Item = T>, tag: impl Fn(&T) -> f64) -> Option<T> {
    let order = |a: &T, b: &T| -> Ordering { tag(a).total_cmp(&tag(b)) };
    elements.min_by(order)
}

impl FairQueue {
    /// An empty queue. `worths` holds the worth of a lookup of each class; a greater one is admitted sooner.
    pub fn new(config: &AdmissionConfig, worths: &[f64], seed: u64, now: Micros) -> FairQueue {
        let mut queue = FairQueue {
            tenants: Vec::new(),
            flows: Vec::new(),
            items: Vec::new(),
            virtual_time: 0.0,
            waiting: 0,
            active_weight: 0.0,
            active_flows: 0,
            seed,
            salt: 0,
            salted_at: now,
            class_lanes: class_lanes(worths),
        };
        for (place, tenant) in (0u16..).zip(&config.tenants) {
            queue
                .flows
                .extend(std::iter::repeat_n(Flow::new(place), FLOWS_PER_TENANT));
            queue.tenants.push(TenantQueue::new(tenant.weight, now));
        }
        queue
    }

    /// Changes the load of a flow, and keeps count of what is active.
    fn update_load(&mut self, flow: u32, change: impl FnOnce(&mut Flow, &mut TenantQueue)) {
        let flow = &mut self.flows[flow as usize];
        let tenant = &mut self.tenants[usize::from(flow.tenant)];
        let (flow_was, tenant_was) = (flow.is_active(), tenant.is_active());
        change(flow, tenant);
        match (flow_was, flow.is_active()) {
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
        match (tenant_was, tenant.is_active()) {
            (false, true) => self.active_weight += tenant.weight,
            (true, false) => self.active_weight -= tenant.weight,
            _ => {}
        }
    }

    /// Appends `item` to its flow.
    pub fn push(&mut self, item: u32, lookup: QueuedLookup) {
        let QueuedLookup {
            flow,
            class,
            client,
            cost,
            bytes,
        } = lookup;
        let lane = self
            .class_lanes
            .get(class)
            .map_or(LANES as u8 - 1, |class| class.lane);
        self.link(
            item,
            Item {
                flow,
                lane,
                client,
                cost,
                bytes,
                ..Item::VACANT
            },
        );
    }

    /// Appends an item to the lane that it names.
    fn link(&mut self, index: u32, item: Item) {
        if self.items.len() <= index as usize {
            self.items.resize(index as usize + 1, Item::VACANT);
        }
        self.start_backlog(item.flow);
        let flow = &mut self.flows[item.flow as usize];
        let least_tag = flow.least_lane_tag();
        let lane = &mut flow.lanes[usize::from(item.lane)];
        self.items[index as usize] = Item {
            previous: lane.tail,
            next: NONE,
            ..item
        };
        match lane.tail {
            NONE => {
                lane.head = index;
                if least_tag.is_finite() {
                    lane.start_tag = lane.start_tag.max(least_tag);
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

    /// Brings the start tags of a flow and its tenant up to date where they become backlogged. What they owe stays;
    /// what they did not ask for is not saved up.
    fn start_backlog(&mut self, index: u32) {
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

    /// Removes a waiting item, wherever it stands; false if it does not wait.
    pub fn remove(&mut self, index: u32) -> bool {
        let waiting = self
            .items
            .get(index as usize)
            .copied()
            .filter(|item| item.flow != NONE);
        let Some(item) = waiting else { return false };
        self.unlink(index, item);
        self.waiting -= 1;
        self.update_load(item.flow, |flow, tenant| {
            flow.waiting -= 1;
            tenant.waiting -= 1;
            flow.waiting_cost = if flow.waiting == 0 {
                0.0
            } else {
                flow.waiting_cost - item.cost
            };
            tenant.waiting_bytes -= item.bytes as usize;
        });
        if self.flows[item.flow as usize].waiting == 0 {
            self.end_backlog(item.flow);
        }
        true
    }

    fn unlink(&mut self, index: u32, item: Item) {
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

    /// Takes a flow out of the backlogged flows of its tenant.
    fn end_backlog(&mut self, index: u32) {
        let flow = &mut self.flows[index as usize];
        let place = flow.backlog_index;
        flow.backlog_index = NONE;
        let backlogged = &mut self.tenants[usize::from(flow.tenant)].backlogged;
        backlogged.swap_remove(place as usize);
        if let Some(moved) = backlogged.get(place as usize) {
            self.flows[*moved as usize].backlog_index = place;
        }
    }

    /// Takes the next item to be admitted, and charges its expected cost.
    pub fn pop(&mut self) -> Option<DequeuedItem> {
        let tenant = self.next_tenant()?;
        let backlogged = self.tenants[tenant].backlogged.iter().copied();
        let flow = least_by(backlogged, |flow| self.flows[*flow as usize].start_tag)?;
        let lane = self.next_lane(flow)?;
        let item = self.flows[flow as usize].lanes[lane].head;
        let cost = self.items[item as usize].cost;
        self.remove(item);
        self.charge(flow, lane, cost);
        self.add_in_flight(flow);
        Some(DequeuedItem { item, flow })
    }

    fn next_tenant(&self) -> Option<usize> {
        let backlogged = self
            .tenants
            .iter()
            .enumerate()
            .filter(|(_, tenant)| tenant.waiting > 0);
        least_by(backlogged, |(_, tenant)| tenant.start_tag).map(|(place, _)| place)
    }

    fn next_lane(&self, flow: u32) -> Option<usize> {
        let lanes = &self.flows[flow as usize].lanes;
        least_by((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            lanes[*lane].start_tag
        })
    }

    /// Advances the virtual times, and the start tags of a tenant, flow and lane by the cost of what is admitted.
    fn charge(&mut self, flow: u32, lane: usize, cost: f64) {
        let classes = self
            .class_lanes
            .iter()
            .filter(|class| usize::from(class.lane) == lane);
        let lane_weight = classes
            .map(|class| class.weight)
            .fold(MIN_CLASS_WEIGHT, f64::max);
        let flow = &mut self.flows[flow as usize];
        let tenant = &mut self.tenants[usize::from(flow.tenant)];
        self.virtual_time = tenant.start_tag;
        tenant.start_tag += cost / tenant.weight;
        tenant.virtual_time = flow.start_tag;
        flow.start_tag += cost;
        flow.lanes[lane].start_tag += cost / lane_weight;
    }

    /// Counts a lookup in flight that this queue did not admit: one of a former queue.
    pub fn add_in_flight(&mut self, flow: u32) {
        self.update_load(flow, |flow, tenant| {
            flow.in_flight += 1;
            tenant.in_flight += 1;
        });
    }

    /// A lookup in flight has ended: it had been charged `charged`, and its actual cost is known.
    pub fn complete(&mut self, flow: u32, charged: f64, actual: f64) {
        let correction = actual - charged;
        let virtual_time = self.virtual_time;
        self.update_load(flow, |flow, tenant| {
            flow.in_flight -= 1;
            tenant.in_flight -= 1;
            // What was charged too much is given back, but not saved up from before now.
            let flow_floor = tenant.virtual_time.min(flow.start_tag);
            flow.start_tag = (flow.start_tag + correction).max(flow_floor);
            let tenant_floor = virtual_time.min(tenant.start_tag);
            tenant.start_tag = (tenant.start_tag + correction / tenant.weight).max(tenant_floor);
        });
    }

    /// The last item of the longest queue, in its lane of the least weight: the one to drop when the queue is full.
    pub fn longest_queue_tail(&self) -> Option<u32> {
        let load = |tenant: &TenantQueue| f64::from(tenant.waiting) / tenant.weight;
        let backlogged = self.tenants.iter().filter(|tenant| tenant.waiting > 0);
        let tenant = backlogged.max_by(|a, b| load(a).total_cmp(&load(b)))?;
        let flow = tenant
            .backlogged
            .iter()
            .copied()
            .max_by_key(|flow| self.flows[*flow as usize].waiting)?;
        let lanes = &self.flows[flow as usize].lanes;
        let lane = least_by((0..LANES).filter(|lane| !lanes[*lane].is_empty()), |lane| {
            self.lane_weight(*lane)
        })?;
        Some(lanes[lane].tail)
    }

    /// The weight of the first class of a lane.
    fn lane_weight(&self, lane: usize) -> f64 {
        let class = self
            .class_lanes
            .iter()
            .find(|class| usize::from(class.lane) == lane);
        class.map_or(0.0, |class| class.weight)
    }
}

//! Weighted fair queueing: start-time fair queueing (Goyal, Vin, Cheng, 1996) on three levels: tenants by weight, the
//! clients of a tenant alike, and a client's classes of requests by their weights.
//!
//! Each level admits from the queue with the least start tag; the tag advances by the expected cost over the weight, and
//! is corrected when the actual cost is known. Clients are assigned to queues in `classify`, by stochastic fairness
//! queueing (McKenney, 1990) with queues of their own for the heaviest.
//!
//! Bound: while two tenants are both backlogged, the costs admitted of them, each over its weight, differ by no more
//! than the largest cost of each over its weight, and what corrections were still open. See docs/admission-control.md. Invariants: a
//! flow is in the backlog of its tenant exactly while anything waits in it; the start tag of a queue that becomes
//! backlogged is at least the virtual time of its level, so nothing is saved up while idle.

mod accounting;
mod backlog;
mod classify;
mod flow;
mod selection;

use crate::config::AdmissionConfig;
use crate::slab::NONE;
use flow::{ClassLane, Flow, Item, TenantQueue, FLOWS_PER_TENANT, LANES};
use meadowrill_routing::interface::Micros;
use selection::{class_lanes, least_by, MIN_CLASS_WEIGHT};

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The flow that [`FairQueue::flow_of`] returned.
    pub flow: u32,
    /// Number of its class.
    pub class: usize,
    /// Number of its client.
    pub client: u64,
    /// Expected cost.
    pub cost: f64,
    /// Bytes in use while it waits.
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

/// How many requests of a tenant there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLoad {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Bytes that wait for a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantBytes {
    /// Bytes of its waiting requests.
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

impl FairQueue {
    /// An empty queue. `weights` holds the weight of a request of each class; a greater one is admitted sooner.
    pub fn new(config: &AdmissionConfig, weights: &[f64], seed: u64, now: Micros) -> FairQueue {
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
            class_lanes: class_lanes(weights),
        };
        for (index, tenant) in (0u16..).zip(&config.tenants) {
            queue
                .flows
                .extend(std::iter::repeat_n(Flow::new(index), FLOWS_PER_TENANT));
            queue.tenants.push(TenantQueue::new(tenant.weight, now));
        }
        queue
    }

    /// Appends `item` to its flow.
    pub fn enqueue(&mut self, item: u32, request: QueuedRequest) {
        let QueuedRequest {
            flow,
            class,
            client,
            cost,
            bytes,
        } = request;
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

    /// Takes the next item to be admitted, and charges its expected cost.
    pub fn dequeue(&mut self) -> Option<DequeuedItem> {
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

    /// Counts a request in flight: one that was dequeued here, or by a former queue.
    pub fn add_in_flight(&mut self, flow: u32) {
        self.update_load(flow, |flow, tenant| {
            flow.in_flight += 1;
            tenant.in_flight += 1;
        });
    }

    /// A request in flight has ended: it had been charged `charged`, and its actual cost is known.
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
}

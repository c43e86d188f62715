//! Weighted fair queueing: start-time fair queueing (Goyal, Vin, Cheng, 1996) on three levels. Tenants are weighted,
//! the clients of a tenant have equal weights, and the request classes of a client are weighted.
//!
//! Each level serves the queue with the smallest start tag. The tag advances by the expected cost divided by the
//! weight, and is corrected when the actual cost is known. `classify` assigns clients to flows by stochastic fairness
//! queueing (McKenney, 1990); the heaviest clients have flows of their own.
//!
//! Fairness bound: while two tenants are both backlogged, their admitted costs, each divided by the tenant's weight,
//! differ by at most the sum of each tenant's largest cost divided by its weight and the corrections still outstanding.
//! See docs/admission-control.md.
//!
//! Invariants: a flow is in its tenant's list of backlogged flows exactly while it has waiting items; the start tag of
//! a flow or tenant that becomes backlogged is at least the virtual time of its level, so an idle one accumulates no
//! credit.

mod accounting;
mod backlog;
mod classify;
mod flow;
mod selection;

use crate::config::AdmissionConfig;
use crate::slab::NONE;
use flow::{ClassLane, Flow, Item, TenantQueue, FLOWS_PER_TENANT, LANES};
use meadowrill_routing::interface::Micros;
use selection::{class_lanes, min_by_tag, MIN_CLASS_WEIGHT};

/// A request to be queued.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// The flow that [`FairQueue::classify`] returned.
    pub flow: u32,
    /// Index of the request's class.
    pub class: usize,
    /// Hash that identifies the client.
    pub client: u64,
    /// Expected cost, in microseconds of a permit.
    pub cost: f64,
    /// Memory in use while the request waits, in bytes.
    pub bytes: u32,
}

/// An item that was taken from the queue to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DequeuedItem {
    /// The index that the caller chose for the item.
    pub item: u32,
    /// The flow in which the item is counted as in flight.
    pub flow: u32,
}

/// The number of requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLoad {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// The memory used by a tenant's waiting requests, and the tenant's share of the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantBytes {
    /// Bytes of the tenant's waiting requests.
    pub waiting: usize,
    /// The tenant's fraction of the weight of all active tenants.
    pub share: f64,
}

/// A weighted fair queue of items, which the caller identifies by small indices.
pub struct FairQueue {
    tenants: Vec<TenantQueue>,
    flows: Vec<Flow>,
    items: Vec<Item>,
    virtual_time: f64,
    waiting: usize,
    /// Total weight of all active tenants.
    active_weight: f64,
    /// Number of active flows of all tenants.
    active_flows: u32,
    seed: u64,
    salt: u64,
    salt_renewed_at: Micros,
    /// Lane and weight of each class.
    class_lanes: Vec<ClassLane>,
}

impl FairQueue {
    /// Creates an empty queue. `weights` holds the weight of each class; requests of a class with a greater weight are
    /// admitted sooner.
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
            salt_renewed_at: now,
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

    /// Removes a waiting item from any position of its lane. Returns false if the item is not waiting.
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

    /// Removes the next item to admit, charges its expected cost and counts it as in flight.
    pub fn dequeue(&mut self) -> Option<DequeuedItem> {
        let tenant = self.next_tenant()?;
        let backlogged = self.tenants[tenant].backlogged.iter().copied();
        let flow = min_by_tag(backlogged, |flow| self.flows[*flow as usize].start_tag)?;
        let lane = self.next_lane(flow)?;
        let item = self.flows[flow as usize].lanes[lane].head;
        let cost = self.items[item as usize].cost;
        self.remove(item);
        self.charge(flow, lane, cost);
        self.add_in_flight(flow);
        Some(DequeuedItem { item, flow })
    }

    /// Advances the virtual times, and advances the start tags of a tenant, flow and lane by the cost of an admitted
    /// item.
    fn charge(&mut self, flow: u32, lane: usize, cost: f64) {
        let lane_classes = self
            .class_lanes
            .iter()
            .filter(|class| usize::from(class.lane) == lane);
        let lane_weight = lane_classes
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

    /// Counts a request as in flight, whether this queue or one that it replaces has dequeued the request.
    pub fn add_in_flight(&mut self, flow: u32) {
        self.update_load(flow, |flow, tenant| {
            flow.in_flight += 1;
            tenant.in_flight += 1;
        });
    }

    /// Records the end of a request in flight, and corrects the start tags from the charged cost to the actual cost.
    pub fn complete(&mut self, flow: u32, charged_cost: f64, actual_cost: f64) {
        let correction = actual_cost - charged_cost;
        let virtual_time = self.virtual_time;
        self.update_load(flow, |flow, tenant| {
            flow.in_flight -= 1;
            tenant.in_flight -= 1;
            // An excess charge is refunded, but only down to the virtual time, so that no credit accumulates.
            let flow_floor = tenant.virtual_time.min(flow.start_tag);
            flow.start_tag = (flow.start_tag + correction).max(flow_floor);
            let tenant_floor = virtual_time.min(tenant.start_tag);
            tenant.start_tag = (tenant.start_tag + correction / tenant.weight).max(tenant_floor);
        });
    }
}

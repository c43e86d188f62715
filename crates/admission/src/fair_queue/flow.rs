//! The data structures of the fair queue: tenants, their flows, the lanes of a flow, and the items linked into the
//! lanes.

use crate::heavy_hitters::HeavyHitters;
use crate::slab::NONE;
use meadowrill_routing::interface::Micros;
use std::net::IpAddr;

/// Dedicated flows of a tenant. Each belongs to one of the tenant's heaviest clients.
pub(super) const DEDICATED_FLOWS: usize = 16;
/// Flows in one bank, to which the other clients are hashed.
pub(super) const HASHED_FLOWS: usize = 32;
/// Banks of hashed flows. Each new salt switches to the next bank.
pub(super) const BANKS: usize = 2;
/// Total number of flows of a tenant.
pub(super) const FLOWS_PER_TENANT: usize = DEDICATED_FLOWS + BANKS * HASHED_FLOWS;
/// Lanes of a flow: one for each request class. Classes beyond this number share the last lane.
pub(super) const LANES: usize = 4;

/// The queue of a request class in a flow, as a linked list of items.
#[derive(Clone, Copy)]
pub(super) struct Lane {
    pub(super) head: u32,
    pub(super) tail: u32,
    /// Start tag in the flow, which advances by the admitted cost divided by the lane's weight.
    pub(super) start_tag: f64,
}

impl Lane {
    const EMPTY: Lane = Lane {
        head: NONE,
        tail: NONE,
        start_tag: 0.0,
    };

    pub(super) fn is_empty(&self) -> bool {
        self.head == NONE
    }
}

/// The queue of one client, or of the clients whose hashes select the same flow.
#[derive(Clone)]
pub(super) struct Flow {
    pub(super) tenant: u16,
    pub(super) start_tag: f64,
    pub(super) waiting: u32,
    pub(super) in_flight: u32,
    /// Number of open reservations.
    pub(super) reserved: u32,
    /// Expected cost of all waiting items.
    pub(super) waiting_cost: f64,
    /// Index in the tenant's list of backlogged flows, or [`NONE`] if nothing waits.
    pub(super) backlog_index: u32,
    pub(super) lanes: [Lane; LANES],
}

impl Flow {
    pub(super) fn new(tenant: u16) -> Flow {
        Flow {
            tenant,
            start_tag: 0.0,
            waiting: 0,
            in_flight: 0,
            reserved: 0,
            waiting_cost: 0.0,
            backlog_index: NONE,
            lanes: [Lane::EMPTY; LANES],
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.waiting + self.in_flight > 0
    }

    /// Returns the smallest start tag of the lanes that are not empty, or infinity if all lanes are empty.
    pub(super) fn min_lane_tag(&self) -> f64 {
        let backlogged = self.lanes.iter().filter(|lane| !lane.is_empty());
        backlogged
            .map(|lane| lane.start_tag)
            .fold(f64::INFINITY, f64::min)
    }
}

/// A client that has a dedicated flow.
#[derive(Clone, Copy)]
pub(super) struct DedicatedClient {
    pub(super) client: u64,
    pub(super) address: IpAddr,
}

/// The state of one tenant.
pub(super) struct TenantQueue {
    pub(super) weight: f64,
    pub(super) start_tag: f64,
    pub(super) virtual_time: f64,
    pub(super) waiting: u32,
    pub(super) in_flight: u32,
    /// Bytes of all waiting items.
    pub(super) waiting_bytes: usize,
    /// Number of flows with items waiting or in flight.
    pub(super) active_flows: u32,
    /// Flows with waiting items.
    pub(super) backlogged: Vec<u32>,
    /// The client of each dedicated flow.
    pub(super) dedicated: [Option<DedicatedClient>; DEDICATED_FLOWS],
    pub(super) heavy_hitters: HeavyHitters,
}

impl TenantQueue {
    pub(super) fn new(weight: f64, now: Micros) -> TenantQueue {
        TenantQueue {
            weight,
            start_tag: 0.0,
            virtual_time: 0.0,
            waiting: 0,
            in_flight: 0,
            waiting_bytes: 0,
            active_flows: 0,
            backlogged: Vec::with_capacity(FLOWS_PER_TENANT),
            dedicated: [None; DEDICATED_FLOWS],
            heavy_hitters: HeavyHitters::new(now),
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.waiting + self.in_flight > 0
    }
}

/// A waiting item, stored at the index that the caller chose for it.
#[derive(Clone, Copy)]
pub(super) struct Item {
    pub(super) previous: u32,
    pub(super) next: u32,
    /// The item's flow, or [`NONE`] if no item waits at this index.
    pub(super) flow: u32,
    pub(super) lane: u8,
    pub(super) client: u64,
    pub(super) cost: f64,
    pub(super) bytes: u32,
}

impl Item {
    pub(super) const VACANT: Item = Item {
        previous: NONE,
        next: NONE,
        flow: NONE,
        lane: 0,
        client: 0,
        cost: 0.0,
        bytes: 0,
    };
}

/// The lane of a class, and the weight of the class relative to the other classes.
#[derive(Clone, Copy)]
pub(super) struct ClassLane {
    pub(super) lane: u8,
    pub(super) weight: f64,
}

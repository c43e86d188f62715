//! The data of the fair queue: tenants, their flows, a flow's lanes, and the queued items linked into the lanes.

use crate::heavy_hitters::HeavyHitters;
use crate::slab::NONE;
use meadowrill_routing::interface::Micros;
use std::net::IpAddr;

/// Flows of a tenant that belong to one client each: its heaviest clients.
pub(super) const DEDICATED_FLOWS: usize = 16;
/// Flows in one bank that the other clients are hashed to.
pub(super) const HASHED_FLOWS: usize = 32;
/// Banks of hashed flows; they alternate with each new salt.
pub(super) const BANKS: usize = 2;
/// All flows of a tenant.
pub(super) const FLOWS_PER_TENANT: usize = DEDICATED_FLOWS + BANKS * HASHED_FLOWS;
/// Lanes of a flow, one for each class of requests; further classes share the last.
pub(super) const LANES: usize = 4;

/// The queue of one class in a flow, as a linked list of items.
#[derive(Clone, Copy)]
pub(super) struct Lane {
    pub(super) head: u32,
    pub(super) tail: u32,
    /// Cost that was admitted from this lane, over its weight.
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

/// The queue of one client, or of the clients that share a hash.
#[derive(Clone)]
pub(super) struct Flow {
    pub(super) tenant: u16,
    pub(super) start_tag: f64,
    pub(super) waiting: u32,
    pub(super) in_flight: u32,
    /// Open reservations.
    pub(super) reserved: u32,
    /// Expected cost of all waiting items.
    pub(super) waiting_cost: f64,
    /// Place in the list of backlogged flows of its tenant.
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

    /// The least start tag of the lanes that are not empty.
    pub(super) fn least_lane_tag(&self) -> f64 {
        let backlogged = self.lanes.iter().filter(|lane| !lane.is_empty());
        backlogged
            .map(|lane| lane.start_tag)
            .fold(f64::INFINITY, f64::min)
    }
}

/// A client that has a flow of its own.
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
    /// Flows with anything waiting or in flight.
    pub(super) active_flows: u32,
    /// Flows with anything waiting.
    pub(super) backlogged: Vec<u32>,
    /// By number of the dedicated flow.
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

/// A waiting item, under the index that the caller gave it.
#[derive(Clone, Copy)]
pub(super) struct Item {
    pub(super) previous: u32,
    pub(super) next: u32,
    /// [`NONE`] where nothing waits under this index.
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

/// The lane of a class, and its weight against the other lanes.
#[derive(Clone, Copy)]
pub(super) struct ClassLane {
    pub(super) lane: u8,
    pub(super) weight: f64,
}

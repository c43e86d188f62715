//! What operators see of admission control.

use crate::config::QueueDiscipline;
use crate::request::RejectReason;
use std::net::IpAddr;

/// Counts of a tenant since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantCounters {
    /// Requests that were read.
    pub offered: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests whose clients disconnected while they waited.
    pub cancelled: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that were rejected, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Rejections with a reservation.
    pub reserved: u64,
    /// Cost of the requests that were admitted, in microseconds of a permit of the concurrency limit.
    pub cost: f64,
}

/// A client with a flow of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    /// Its address.
    pub address: IpAddr,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Open reservations.
    pub reserved: u32,
    /// Requests counted for certain, halved every two seconds.
    pub recent_requests: u32,
}

/// The state of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantReport {
    /// Its name.
    pub name: String,
    /// Its weight.
    pub weight: f64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Counts since the start.
    pub counters: TenantCounters,
    /// Its heaviest clients, the heaviest first.
    pub heaviest_clients: Vec<ClientReport>,
}

/// The state of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionReport {
    /// Which request is admitted next.
    pub discipline: QueueDiscipline,
    /// The current concurrency limit.
    pub concurrency_limit: f64,
    /// Requests in flight that count against the limit.
    pub in_flight: usize,
    /// Requests in flight that no longer count.
    pub overdue: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Open reservations.
    pub reserved: usize,
    /// Reservations that were redeemed since the start.
    pub reservations_redeemed: u64,
    /// Reservations that expired since the start.
    pub reservations_expired: u64,
    /// Reservations that were refused since the start because the calendar was full.
    pub reservations_refused: u64,
    /// The tenants in the order of the configuration.
    pub tenants: Vec<TenantReport>,
}

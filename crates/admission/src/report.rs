//! The state of admission control as reported to operators.

use crate::config::QueueDiscipline;
use crate::request::RejectReason;
use std::net::IpAddr;

/// Counters of a tenant since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantCounters {
    /// Requests that were passed to the controller.
    pub offered: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests whose clients disconnected while they waited.
    pub cancelled: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Rejected requests by reason, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Rejections with a reservation.
    pub reserved: u64,
    /// Cost of the completed requests, in microseconds of a permit of the concurrency limit.
    pub cost: f64,
}

/// A client with a flow of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    /// Network address of the client.
    pub address: IpAddr,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Open reservations.
    pub reserved: u32,
    /// Lower bound of the number of recent requests. The counts are halved every two seconds.
    pub recent_requests: u32,
}

/// The state of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantReport {
    /// Name of the tenant.
    pub name: String,
    /// Weight of the tenant.
    pub weight: f64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Counters since the start of the process.
    pub counters: TenantCounters,
    /// Clients with a flow of their own, the heaviest first.
    pub heaviest_clients: Vec<ClientReport>,
}

/// The state of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionReport {
    /// How the next request to admit is chosen.
    pub discipline: QueueDiscipline,
    /// The current concurrency limit.
    pub concurrency_limit: f64,
    /// Requests in flight that count against the limit.
    pub in_flight: usize,
    /// Requests in flight that no longer count against the limit because they are overdue.
    pub overdue: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Open reservations.
    pub reserved: usize,
    /// Reservations that were redeemed since the start.
    pub reservations_redeemed: u64,
    /// Reservations that expired since the start.
    pub reservations_expired: u64,
    /// Reservations that were refused since the start because the calendar or an entry of it was full.
    pub reservations_refused: u64,
    /// The tenants in the order of the configuration.
    pub tenants: Vec<TenantReport>,
}

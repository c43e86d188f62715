//! What operators see of admission control.

use crate::config::QueueDiscipline;
use crate::request::RejectReason;
use std::net::IpAddr;

/// Counts of a tenant since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantCounters {
    /// Lookups that asked for admission.
    pub offered: u64,
    /// Lookups that were admitted.
    pub admitted: u64,
    /// Lookups that had to wait.
    pub waited: u64,
    /// Lookups whose clients left while they waited.
    pub cancelled: u64,
    /// Lookups that were answered.
    pub succeeded: u64,
    /// Lookups that were rejected, in the order of [`RejectReason::ALL`].
    pub rejected: [u64; RejectReason::ALL.len()],
    /// Rejections with a reservation.
    pub reserved: u64,
    /// Cost of the lookups that were admitted, in microseconds of a place in the concurrency limit.
    pub cost: f64,
}

/// A client with a flow of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientReport {
    /// Its address.
    pub address: IpAddr,
    /// Lookups that wait.
    pub waiting: u32,
    /// Lookups in flight.
    pub in_flight: u32,
    /// Open reservations.
    pub reserved: u32,
    /// Lookups counted for certain, halved every two seconds.
    pub recent_requests: u32,
}

/// The state of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantReport {
    /// Its name.
    pub name: String,
    /// Its weight.
    pub weight: f64,
    /// Lookups that wait.
    pub waiting: u32,
    /// Lookups in flight.
    pub in_flight: u32,
    /// Counts since the start.
    pub counters: TenantCounters,
    /// Its heaviest clients, the heaviest first.
    pub heaviest_clients: Vec<ClientReport>,
}

/// The state of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionReport {
    /// Which lookup is admitted next.
    pub discipline: QueueDiscipline,
    /// The current concurrency limit.
    pub concurrency_limit: f64,
    /// Lookups in flight that count against the limit.
    pub in_flight: usize,
    /// Lookups in flight that no longer count.
    pub overdue: usize,
    /// Lookups that wait.
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

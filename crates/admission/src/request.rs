//! The types that a host exchanges with the admission controller.

use crate::identity::ClientIdentity;
use meadowrill_routing::interface::Micros;
use std::fmt;

/// A request that the host has read and asks to admit.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Identifier that the host assigned to the request.
    pub id: u32,
    /// The tenant and client that sent the request.
    pub identity: ClientIdentity,
    /// Index of the request's class in the configuration.
    pub class: usize,
    /// Declared size, or 0 if the request declares none.
    pub size_kb: f64,
    /// Memory that the host uses for the request.
    pub bytes: u32,
    /// When the client's time-out expires.
    pub expires: Micros,
}

/// Limits that the host sets on open requests, memory and Retry-After.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Maximum number of requests that wait or are in flight.
    pub open_requests: usize,
    /// Maximum memory in use for requests and connections, in bytes.
    pub bytes: usize,
    /// Longest Retry-After that may be sent, or 0 if none may be sent.
    pub max_retry_after: Micros,
}

/// Handle of a request at the controller. It is valid until the request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u32);

/// The immediate decision on an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is in flight.
    Admitted(Ticket),
    /// The request waits; an [`AdmissionEvent`] follows.
    Queued(Ticket),
    /// The request is rejected.
    Rejected(Rejection),
}

/// The final decision on a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// The request is in flight.
    Admitted {
        /// Identifier that the host assigned to the request.
        id: u32,
        /// Index of the tenant in the configuration.
        tenant: u16,
        /// How long the request waited.
        waited: Micros,
    },
    /// The request is rejected.
    Rejected {
        /// Identifier that the host assigned to the request.
        id: u32,
        /// Why the request is rejected, and when its client may return.
        rejection: Rejection,
    },
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The host's limit on open requests was reached.
    OpenRequestLimit,
    /// The host's limit on bytes was reached, or the tenant's share of it while bytes are scarce.
    ByteLimit,
    /// The client exceeded its rate limit.
    RateLimit,
    /// The request would wait longer than its latency budget allows.
    QueueTooLong,
    /// The request can no longer meet its latency budget.
    DeadlineMissed,
    /// The queue is full, and either the request was the last of the longest flow or its own flow already has an even
    /// share of the queue.
    QueueFull,
}

impl RejectReason {
    /// All reasons, in the order of [`TenantCounters::rejected`](crate::report::TenantCounters::rejected).
    pub const ALL: [RejectReason; 6] = [
        RejectReason::OpenRequestLimit,
        RejectReason::ByteLimit,
        RejectReason::RateLimit,
        RejectReason::QueueTooLong,
        RejectReason::DeadlineMissed,
        RejectReason::QueueFull,
    ];
}

impl fmt::Display for RejectReason {
    /// Writes the name that operators see in logs and metrics. docs/on-call.md lists these names, so they must not
    /// change.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectReason::OpenRequestLimit => "lookups",
            RejectReason::ByteLimit => "bytes",
            RejectReason::RateLimit => "rate",
            RejectReason::QueueTooLong => "behind",
            RejectReason::DeadlineMissed => "late",
            RejectReason::QueueFull => "crowded",
        })
    }
}

/// Why a request was rejected, and when its client may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: RejectReason,
    /// Retry-After of the response, or 0 if none may be sent.
    pub retry_after: Micros,
    /// Whether the client has a reservation for that time; with token buckets, whether the next token is due by then.
    /// There is no reservation if the estimated wait exceeds the longest Retry-After allowed, which is then sent
    /// instead, or if the calendar has no space for the client.
    pub reserved: bool,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Completion {
    /// The request was answered.
    pub succeeded: bool,
    /// The answer came from a cache's memory.
    pub cache_hit: bool,
    /// Size of the answer.
    pub size_kb: f64,
    /// The client had disconnected.
    pub abandoned: bool,
}

//! The messages between a host and the admission controller.

use crate::identity::ClientIdentity;
use meadowrill_routing::interface::Micros;
use std::fmt;

/// A request that was read and is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The host's number for it.
    pub id: u32,
    /// Its tenant and client.
    pub identity: ClientIdentity,
    /// Number of its class, in the order of the configuration.
    pub class: usize,
    /// Declared size; 0 where none was declared.
    pub size_kb: f64,
    /// Bytes that the host uses for it.
    pub bytes: u32,
    /// When its client times out.
    pub expires: Micros,
}

/// The limits of the host.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Most requests that wait or are in flight.
    pub open_requests: usize,
    /// Most bytes in use for requests and connections.
    pub bytes: usize,
    /// Longest Retry-After that may be sent; 0 where none may be.
    pub max_retry_after: Micros,
}

/// A request at the controller, until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u32);

/// The immediate answer to a [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is in flight now.
    Admitted(Ticket),
    /// It waits; an [`AdmissionEvent`] follows.
    Queued(Ticket),
    /// It is rejected.
    Rejected(Rejection),
}

/// What became of a request that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// It is in flight now.
    Admitted {
        /// The host's number for it.
        id: u32,
        /// Index of its tenant in the configuration.
        tenant: u16,
        /// How long it waited.
        waited: Micros,
    },
    /// It is rejected.
    Rejected {
        /// The host's number for it.
        id: u32,
        /// Why, and until when.
        rejection: Rejection,
    },
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The host's limit of open requests.
    OpenRequestLimit,
    /// The host's limit of bytes, or a tenant's share of it while bytes are scarce.
    ByteLimit,
    /// The client's rate limit.
    RateLimit,
    /// It would wait longer than its latency budget allows.
    QueueTooLong,
    /// It waited, and can no longer meet its latency budget.
    DeadlineMissed,
    /// The queue is full, and its own part of it the longest.
    QueueFull,
}

impl RejectReason {
    /// All reasons, in the order of their counters.
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
    /// The names that operators see in logs and metrics, listed in docs/on-call.md: they stay as they are.
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
    /// Why it was rejected.
    pub reason: RejectReason,
    /// Retry-After of the response; 0 where none may be sent.
    pub retry_after: Micros,
    /// Whether there is a reservation for that time. Otherwise the time is the longest allowed: the true one lies
    /// beyond it, or the calendar is full.
    pub reserved: bool,
}

/// How a request that was admitted has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Completion {
    /// It was answered.
    pub succeeded: bool,
    /// The answer came from a cache's memory.
    pub cache_hit: bool,
    /// Size of the answer.
    pub size_kb: f64,
    /// Its client had disconnected.
    pub abandoned: bool,
}

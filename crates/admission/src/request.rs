//! The messages between a host and the admission controller.

use crate::identity::ClientIdentity;
use meadowrill_routing::interface::Micros;
use std::fmt;

/// A lookup that was read and asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The host's number for it.
    pub id: u32,
    /// Whose it is.
    pub identity: ClientIdentity,
    /// Number of its class, in the order of the configuration.
    pub class: usize,
    /// Declared size; 0 where none was declared.
    pub size_kb: f64,
    /// Bytes that the host holds for it.
    pub bytes: u32,
    /// When its client gives up.
    pub expires: Micros,
}

/// What the host limits, in all.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Most open lookups.
    pub open_requests: usize,
    /// Most bytes held for lookups and connections.
    pub bytes: usize,
    /// The longest that a client may be told to stay away; 0 where it may be told nothing.
    pub max_retry_after: Micros,
}

/// A lookup at the controller, until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub(crate) u32);

/// The immediate answer to a [`LookupRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is in flight now.
    Admitted(Ticket),
    /// It waits; an [`AdmissionEvent`] follows.
    Queued(Ticket),
    /// It is turned away.
    Rejected(Rejection),
}

/// What became of a lookup that was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// It is in flight now.
    Admitted {
        /// The host's number for it.
        id: u32,
        /// Place of its tenant in the configuration.
        tenant: u16,
        /// How long it waited.
        waited: Micros,
    },
    /// It is turned away.
    Rejected {
        /// The host's number for it.
        id: u32,
        /// Why, and until when.
        rejection: Rejection,
    },
}

/// Why a lookup was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The limit of open lookups.
    OpenRequestLimit,
    /// The limit of bytes, or a tenant's share of it while bytes are scarce.
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
    /// The names that operators see in logs and metrics.
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

/// Why a lookup was rejected, and when its client may return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Why it was rejected.
    pub reason: RejectReason,
    /// How long the client should stay away; 0 where it may be told nothing.
    pub retry_after: Micros,
    /// Whether a place is reserved for that time. Otherwise the time is the longest allowed: the true one lies beyond
    /// it, or the calendar is full.
    pub reserved: bool,
}

/// How a lookup that was admitted has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Completion {
    /// It was answered.
    pub succeeded: bool,
    /// The answer came from a cache's memory.
    pub cache_hit: bool,
    /// Size of the answer.
    pub size_kb: f64,
    /// Its client had gone.
    pub abandoned: bool,
}

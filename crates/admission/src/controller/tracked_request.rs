//! The state of one request at the controller, from its arrival until its permit is free.
//!
//! States: waiting (not admitted), in flight, overdue (in flight, not counted), lingering (failed early, its permit is
//! still occupied).

use crate::fair_queue::QueuedRequest;
use crate::identity::ClientIdentity;
use crate::request::AdmissionRequest;
use meadowrill_routing::interface::Micros;

/// A request that waits, is in flight, or has failed early.
#[derive(Clone, Copy)]
pub(super) struct TrackedRequest {
    /// The host's number for it.
    pub(super) id: u32,
    pub(super) identity: ClientIdentity,
    pub(super) flow: u32,
    /// Passed through the fair queue, and counts in its flow.
    pub(super) fair_queued: bool,
    class: u8,
    pub(super) arrived_at: Micros,
    /// None while it waits.
    pub(super) admitted_at: Option<Micros>,
    /// Expected cost, which its flow was charged.
    pub(super) charged: f64,
    pub(super) bytes: u32,
    /// Load was low when it was admitted.
    pub(super) low_load: bool,
    /// No longer counts against the concurrency limit.
    pub(super) overdue: bool,
    /// Has failed early; its permit stays occupied for a while.
    pub(super) lingering: bool,
}

impl TrackedRequest {
    pub(super) fn new(request: &AdmissionRequest, now: Micros, charged: f64) -> TrackedRequest {
        TrackedRequest {
            id: request.id,
            identity: request.identity,
            flow: 0,
            fair_queued: false,
            class: request.class.min(usize::from(u8::MAX)) as u8,
            arrived_at: now,
            admitted_at: None,
            charged,
            bytes: request.bytes,
            low_load: false,
            overdue: false,
            lingering: false,
        }
    }

    /// The request as one that goes through the fair queue.
    pub(super) fn in_flow(self, flow: u32) -> TrackedRequest {
        TrackedRequest {
            flow,
            fair_queued: true,
            ..self
        }
    }

    /// Number of its class.
    pub(super) fn class(&self) -> usize {
        usize::from(self.class)
    }

    /// Index of its tenant.
    pub(super) fn tenant(&self) -> usize {
        usize::from(self.identity.tenant)
    }

    /// The request as the fair queue needs it.
    pub(super) fn queued(&self) -> QueuedRequest {
        let (flow, class, client) = (self.flow, self.class(), self.identity.client);
        QueuedRequest {
            flow,
            class,
            client,
            cost: self.charged,
            bytes: self.bytes,
        }
    }
}

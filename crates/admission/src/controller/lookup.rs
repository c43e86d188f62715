//! The state of one lookup at the controller.

use crate::fair_queue::QueuedRequest;
use crate::identity::ClientIdentity;
use crate::request::AdmissionRequest;
use meadowrill_routing::interface::Micros;

/// A lookup that waits, is in flight, or has failed early.
#[derive(Clone, Copy)]
pub(super) struct Lookup {
    /// The host's number for it.
    pub(super) id: u32,
    pub(super) identity: ClientIdentity,
    pub(super) flow: u32,
    /// Went through the fair queue, and counts in its flow.
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
    /// Has failed early; its place stays occupied for a while.
    pub(super) lingering: bool,
}

impl Lookup {
    pub(super) fn new(request: &AdmissionRequest, now: Micros, charged: f64) -> Lookup {
        Lookup {
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

    /// The lookup as one that goes through the fair queue.
    pub(super) fn in_flow(self, flow: u32) -> Lookup {
        Lookup {
            flow,
            fair_queued: true,
            ..self
        }
    }

    /// Number of its class.
    pub(super) fn class(&self) -> usize {
        usize::from(self.class)
    }

    /// Place of its tenant.
    pub(super) fn tenant(&self) -> usize {
        usize::from(self.identity.tenant)
    }

    /// The lookup as the fair queue holds it.
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

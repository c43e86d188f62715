//! The state of one request at the controller, from its arrival until its permit is freed.
//!
//! States: waiting (not admitted yet), in flight, overdue (in flight, but no longer counted against the concurrency
//! limit), and lingering (failed early, and its permit is still occupied).

use crate::fair_queue::QueuedRequest;
use crate::identity::ClientIdentity;
use crate::request::AdmissionRequest;
use meadowrill_routing::interface::Micros;

/// A request that waits, is in flight, or has failed early.
#[derive(Clone, Copy)]
pub(super) struct TrackedRequest {
    /// Identifier that the host assigned to the request.
    pub(super) id: u32,
    pub(super) identity: ClientIdentity,
    pub(super) flow: u32,
    /// Whether the request passed through the fair queue and is counted in its flow.
    pub(super) fair_queued: bool,
    class: u8,
    pub(super) arrived_at: Micros,
    /// When the request was admitted, or `None` while it waits.
    pub(super) admitted_at: Option<Micros>,
    /// Expected cost that was charged to the flow.
    pub(super) charged_cost: f64,
    pub(super) bytes: u32,
    /// Whether load was low when the request was admitted.
    pub(super) low_load: bool,
    /// Whether the request is overdue and no longer counts against the concurrency limit.
    pub(super) overdue: bool,
    /// Whether the request failed early and its permit is still occupied.
    pub(super) lingering: bool,
}

impl TrackedRequest {
    pub(super) fn new(
        request: &AdmissionRequest,
        now: Micros,
        charged_cost: f64,
    ) -> TrackedRequest {
        TrackedRequest {
            id: request.id,
            identity: request.identity,
            flow: 0,
            fair_queued: false,
            class: request.class.min(usize::from(u8::MAX)) as u8,
            arrived_at: now,
            admitted_at: None,
            charged_cost,
            bytes: request.bytes,
            low_load: false,
            overdue: false,
            lingering: false,
        }
    }

    /// Assigns the request to a flow of the fair queue.
    pub(super) fn in_flow(self, flow: u32) -> TrackedRequest {
        TrackedRequest {
            flow,
            fair_queued: true,
            ..self
        }
    }

    /// Returns the index of the request's class.
    pub(super) fn class(&self) -> usize {
        usize::from(self.class)
    }

    /// Returns the index of the request's tenant.
    pub(super) fn tenant(&self) -> usize {
        usize::from(self.identity.tenant)
    }

    /// Returns the entry for the fair queue.
    pub(super) fn queued(&self) -> QueuedRequest {
        let (flow, class, client) = (self.flow, self.class(), self.identity.client);
        QueuedRequest {
            flow,
            class,
            client,
            cost: self.charged_cost,
            bytes: self.bytes,
        }
    }
}

//! Admission control in the event loop: admitted requests are submitted to the router, others are queued or rejected.

use super::request_table::ProxiedRequest;
use super::Proxy;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::IdentityResolver;
use meadowrill_admission::request::{AdmissionEvent, Rejection};
use meadowrill_routing::interface::{Event, Micros, Request};
use slog::debug;

/// The admission controller, and the rules that identify the tenant and the client of a request.
pub(super) struct Admission {
    pub(super) controller: AdmissionController,
    pub(super) identities: IdentityResolver,
    /// Reusable buffer for the controller's events; empty between calls.
    pub(super) events: Vec<AdmissionEvent>,
}

impl Proxy {
    /// Submits an admitted request: to the ledger first if it has a side effect and there is a ledger, otherwise to the
    /// router.
    pub(super) fn submit_request(&mut self, id: u32, now: Micros) {
        if self.fleet.shares_state() {
            self.record_request(id, now);
            if self.claim_effect(id, now) {
                return;
            }
        }
        self.queue_for_router(id);
    }

    /// Queues the arrival of a request as an event for the router.
    pub(super) fn queue_for_router(&mut self, id: u32) {
        let effect = self.effect_id(id);
        let Some(ProxiedRequest {
            message,
            class,
            deadline,
            ..
        }) = self.requests.get(id)
        else {
            return;
        };
        self.routing.queue(Event::RequestArrived(Request {
            id,
            object: message.object,
            part: message.part,
            size_kb: message.size_kb,
            group: message.group,
            class: *class,
            deadline: *deadline,
            effect,
        }));
    }

    /// Rejects a request that admission control did not admit. No attempt was made, so the client may safely resend the
    /// request, whatever its class.
    pub(super) fn reject_by_admission(&mut self, id: u32, rejection: Rejection, now: Micros) {
        if let Some(request) = self.requests.get(id) {
            debug!(self.log, "request rejected by admission control"; "request" => request.message.request_id.as_str(),
                "client" => request.client, "reason" => %rejection.reason,
                "retry_after_ms" => rejection.retry_after / 1000, "reserved" => rejection.reserved,
                "buffer_bytes" => self.poll.buffer_memory.bytes());
        }
        self.reject_request(id, rejection.retry_after, now);
    }

    /// Applies the decisions of admission control on queued requests.
    pub(super) fn poll_admission(&mut self, now: Micros) {
        let mut events = std::mem::take(&mut self.admission.events);
        self.admission.controller.poll(now, &mut events);
        for event in events.drain(..) {
            match event {
                AdmissionEvent::Admitted { id, tenant, waited } => {
                    let tenants = &self.admission.controller.config().tenants;
                    let tenant = tenants.get(usize::from(tenant)).map_or("", |t| &t.name);
                    self.metrics.observe_wait(tenant, waited as f64 / 1e6);
                    debug!(self.log, "request admitted from the queue"; "id" => id, "waited_us" => waited);
                    self.submit_request(id, now);
                }
                AdmissionEvent::Rejected { id, rejection } => {
                    if let Some(request) = self.requests.get_mut(id) {
                        request.ticket = None;
                    }
                    self.reject_by_admission(id, rejection, now);
                }
            }
        }
        self.admission.events = events;
    }
}

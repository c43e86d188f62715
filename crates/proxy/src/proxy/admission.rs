//! Admission control in the loop: which requests go on to the router, which wait, and which are rejected.

use super::request_table::ProxiedRequest;
use super::Proxy;
use meadowrill_admission::controller::AdmissionController;
use meadowrill_admission::identity::IdentityResolver;
use meadowrill_admission::request::{AdmissionEvent, Rejection};
use meadowrill_routing::interface::{Event, Micros, Request};
use slog::debug;

/// Admission control, and how it tells tenants and clients apart.
pub(super) struct Admission {
    pub(super) controller: AdmissionController,
    pub(super) identities: IdentityResolver,
    /// An empty buffer for the controller's events.
    pub(super) events: Vec<AdmissionEvent>,
}

impl Proxy {
    /// Submits an admitted request: to the ledger first, where it has an effect and there is one, else to the router.
    pub(super) fn submit_request(&mut self, id: u32, now: Micros) {
        if self.fleet.shares_state() {
            self.record_request(id, now);
            if self.claim_effect(id, now) {
                return;
            }
        }
        self.queue_for_router(id);
    }

    /// Queues the arrival of a request for the router.
    pub(super) fn queue_for_router(&mut self, id: u32) {
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
        }));
    }

    /// Rejects a request that admission control did not let in. No attempt was made, so it is harmless to send again
    /// whatever its class.
    pub(super) fn reject_by_admission(&mut self, id: u32, rejection: Rejection, now: Micros) {
        if let Some(request) = self.requests.get(id) {
            debug!(self.log, "request rejected by admission control"; "request" => request.message.request_id.as_str(),
                "client" => request.client, "reason" => %rejection.reason,
                "retry_after_ms" => rejection.retry_after / 1000, "reserved" => rejection.reserved,
                "buffer_bytes" => self.poll.buffer_memory.bytes());
        }
        self.reject_request(id, rejection.retry_after, now);
    }

    /// Carries out what admission control has decided on queued requests.
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

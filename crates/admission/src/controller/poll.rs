//! Periodic work: expired reservations, due timers, and admission from the queue while there is capacity.

use super::AdmissionController;
use crate::fair_queue::DequeuedItem;
use crate::request::{AdmissionEvent, RejectReason};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// Carries out all work that is due, and appends the decisions on queued requests to `events`.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<AdmissionEvent>) {
        let now = self.advance(now);
        while let Some(expired) = self.reservations.pop_expired(now) {
            self.queue.remove_reservations(expired.flow, expired.count);
        }
        while let Some(index) = self.timers.pop_due(now) {
            self.fire_timer(now, index);
        }
        self.limiter.update(now);
        // If the discipline was changed from fair queueing to another one, all requests that still wait are admitted.
        while self.has_capacity() {
            let Some(dequeued) = self.queue.dequeue() else {
                break;
            };
            self.admit_dequeued(now, dequeued);
        }
        events.append(&mut self.events);
    }

    fn fire_timer(&mut self, now: Micros, index: u32) {
        match self.requests.get_mut(index) {
            Some(request) if request.admitted_at.is_none() => {
                self.reject_queued(now, index, RejectReason::DeadlineMissed);
            }
            Some(request) if request.lingering => {
                self.requests.remove(index);
                self.limiter.end_linger();
            }
            Some(request) if !request.overdue => request.overdue = self.limiter.mark_overdue(),
            _ => {}
        }
    }

    fn admit_dequeued(&mut self, now: Micros, dequeued: DequeuedItem) {
        self.start(dequeued.item, now);
        let Some(request) = self.requests.get_mut(dequeued.item) else {
            return;
        };
        // The client may have been given a flow of its own in the meantime.
        request.flow = dequeued.flow;
        let (id, tenant, waited) = (
            request.id,
            request.identity.tenant,
            now - request.arrived_at,
        );
        self.events
            .push(AdmissionEvent::Admitted { id, tenant, waited });
    }
}

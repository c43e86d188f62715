//! What is due: timers, expired reservations, and admission from the queue while there is capacity.

use super::AdmissionController;
use crate::fair_queue::DequeuedItem;
use crate::request::{AdmissionEvent, RejectReason};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// Does all that is due, and appends to `events` what became of requests that waited.
    pub fn poll(&mut self, now: Micros, events: &mut Vec<AdmissionEvent>) {
        let now = self.advance(now);
        while let Some(expired) = self.reservations.pop_expired(now) {
            self.queue.remove_reservations(expired.flow, expired.count);
        }
        while let Some(index) = self.timers.pop_due(now) {
            self.fire_timer(now, index);
        }
        self.limiter.update(now);
        // Where the discipline has changed from fair queueing, all that still waits is admitted.
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
        // Its client may have got a flow of its own meanwhile.
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

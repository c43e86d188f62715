//! Timers, and admission from the queue.

use super::AdmissionController;
use crate::fair_queue::DequeuedItem;
use crate::request::{AdmissionEvent, RejectReason};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// Does all that is due, and appends to `events` what became of lookups that waited.
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
        match self.lookups.get_mut(index) {
            Some(lookup) if lookup.admitted_at.is_none() => {
                self.reject_queued(now, index, RejectReason::DeadlineMissed);
            }
            Some(lookup) if lookup.lingering => {
                self.lookups.remove(index);
                self.limiter.end_linger();
            }
            Some(lookup) if !lookup.overdue => lookup.overdue = self.limiter.mark_overdue(),
            _ => {}
        }
    }

    fn admit_dequeued(&mut self, now: Micros, dequeued: DequeuedItem) {
        self.start(dequeued.item, now);
        let Some(lookup) = self.lookups.get_mut(dequeued.item) else {
            return;
        };
        // Its client may have got a flow of its own meanwhile.
        lookup.flow = dequeued.flow;
        let (id, tenant, waited) = (lookup.id, lookup.identity.tenant, now - lookup.arrived_at);
        self.events
            .push(AdmissionEvent::Admitted { id, tenant, waited });
    }
}

//! Admission of a new lookup: at once, to the queue, or not at all.

use super::lookup::Lookup;
use super::AdmissionController;
use crate::config::QueueDiscipline;
use crate::fair_queue::DequeuedItem;
use crate::identity::ClientIdentity;
use crate::request::{AdmissionRequest, Decision, RejectReason, Ticket};
use meadowrill_routing::interface::Micros;

/// So many lookups of a flow may wait whatever is reserved: reservations must not leave places idle if nobody returns.
const UNRESERVED_WAITING: u32 = 2;
/// Part of the byte limit up to which tenants are not held to their shares.
const UNSHARED_BYTES_PART: f64 = 0.5;
/// One in so many places of the capacity limits is kept for redeemed reservations.
const RESERVED_PLACES: usize = 16;

impl AdmissionController {
    /// Decides on a lookup that was read. `held_bytes` is what the host holds, this lookup included.
    pub fn admit(&mut self, now: Micros, request: AdmissionRequest, held_bytes: usize) -> Decision {
        let now = self.advance(now);
        let request = AdmissionRequest {
            identity: self.known_tenant(request.identity),
            ..request
        };
        self.counters[usize::from(request.identity.tenant)].offered += 1;
        let reserved = self.redeem_reservation(now, &request.identity);
        if let Some(reason) = self.exceeded_limit(held_bytes, reserved) {
            return Decision::Rejected(self.reject_at_limit(now, request.identity, reason));
        }
        match self.config.discipline {
            QueueDiscipline::Fair => self.admit_fairly(now, request, held_bytes, reserved),
            QueueDiscipline::FirstCome => self.admit_unqueued(now, request),
            QueueDiscipline::Buckets => match self.buckets.take_token(now, request.identity) {
                Ok(()) => self.admit_unqueued(now, request),
                Err(next_token) => {
                    let (reason, wait) = (RejectReason::RateLimit, next_token - now);
                    Decision::Rejected(self.rejection(request.identity, reason, wait, true))
                }
            },
        }
    }

    /// Replaces a tenant that is not in the configuration by the last one.
    fn known_tenant(&self, identity: ClientIdentity) -> ClientIdentity {
        ClientIdentity {
            tenant: identity.tenant.min(self.counters.len() as u16 - 1),
            ..identity
        }
    }

    /// A client that returns for a reservation uses it up, also where there is room.
    fn redeem_reservation(&mut self, now: Micros, identity: &ClientIdentity) -> bool {
        let Some(flow) = self.reservations.redeem(now, identity) else {
            return false;
        };
        self.queue.remove_reservations(flow, 1);
        true
    }

    /// The capacity limit that is reached, a part of which is kept for redeemed reservations.
    fn exceeded_limit(&self, held_bytes: usize, reserved: bool) -> Option<RejectReason> {
        let usable = |limit: usize| {
            if reserved {
                limit
            } else {
                limit - limit / RESERVED_PLACES
            }
        };
        if self.open() >= usable(self.limits.open_requests) {
            return Some(RejectReason::OpenRequestLimit);
        }
        (held_bytes > usable(self.limits.bytes)).then_some(RejectReason::ByteLimit)
    }

    fn admit_unqueued(&mut self, now: Micros, request: AdmissionRequest) -> Decision {
        let cost = self.costs.expected(request.class, request.size_kb);
        let index = self.lookups.insert(Lookup::new(&request, now, cost));
        Decision::Admitted(self.start(index, now))
    }

    fn admit_fairly(
        &mut self,
        now: Micros,
        request: AdmissionRequest,
        held_bytes: usize,
        reserved: bool,
    ) -> Decision {
        let (identity, class) = (request.identity, request.class);
        let cost = self.costs.expected(class, request.size_kb);
        let flow = self.queue.flow_of(now, identity);
        let lookup = Lookup::new(&request, now, cost).in_flow(flow);
        if self.limiter.has_capacity() && self.queue.waiting() == 0 {
            return self.admit_at_once(now, lookup);
        }
        let latest_start = self.costs.latest_start(class, now, request.expires);
        let refusal = self.refusal(&lookup, held_bytes, latest_start - now, reserved);
        let refusal = refusal.or_else(|| self.make_queue_room(now, flow));
        if let Some(reason) = refusal {
            return Decision::Rejected(self.reject(now, identity, flow, class, reason));
        }
        self.enqueue(now, lookup, latest_start)
    }

    /// Admits a lookup that nobody waits before; it goes through the queue to be charged.
    fn admit_at_once(&mut self, now: Micros, lookup: Lookup) -> Decision {
        let index = self.lookups.insert(lookup);
        self.queue.enqueue(index, lookup.queued());
        let next = self.queue.dequeue();
        debug_assert_eq!(
            next,
            Some(DequeuedItem {
                item: index,
                flow: lookup.flow
            })
        );
        Decision::Admitted(self.start(index, now))
    }

    fn enqueue(&mut self, now: Micros, lookup: Lookup, latest_start: Micros) -> Decision {
        let index = self.lookups.insert(lookup);
        self.queue.enqueue(index, lookup.queued());
        self.timers.set(index, latest_start);
        self.limiter.record_wait(now);
        self.counters[lookup.tenant()].waited += 1;
        Decision::Queued(Ticket(index))
    }

    /// Why a lookup that would have to wait may not. `slack` is how long it could wait.
    fn refusal(
        &self,
        lookup: &Lookup,
        held_bytes: usize,
        slack: Micros,
        reserved: bool,
    ) -> Option<RejectReason> {
        if slack <= 0 {
            return Some(RejectReason::DeadlineMissed);
        }
        if self.exceeds_byte_share(lookup, held_bytes) {
            return Some(RejectReason::ByteLimit);
        }
        if reserved || self.queue.waiting_in(lookup.flow) < UNRESERVED_WAITING {
            return None;
        }
        let cost_ahead = self.queue.cost_ahead(lookup.flow, lookup.charged);
        let wait = self.service_time(lookup.flow, cost_ahead);
        (wait > slack as f64).then_some(RejectReason::QueueTooLong)
    }

    fn exceeds_byte_share(&self, lookup: &Lookup, held_bytes: usize) -> bool {
        let unshared = self.limits.bytes as f64 * UNSHARED_BYTES_PART;
        let tenant = self.queue.tenant_bytes(lookup.flow);
        let tenant_bytes = (tenant.waiting + lookup.bytes as usize) as f64;
        held_bytes as f64 > unshared && tenant_bytes > unshared * tenant.share
    }

    /// Where the queue is full, drops the last lookup of the longest flow in favour of one that has less than an even
    /// part of the queue. Returns the reason to reject the new one otherwise.
    fn make_queue_room(&mut self, now: Micros, flow: u32) -> Option<RejectReason> {
        if self.queue.waiting() < self.config.max_waiting {
            return None;
        }
        let even_part = self.config.max_waiting as u32 / self.queue.active_flows().max(1);
        let longest = self.queue.longest_queue_tail();
        let below_part = self.queue.waiting_in(flow) < even_part.max(1);
        let Some(dropped) = longest.filter(|_| below_part) else {
            return Some(RejectReason::QueueFull);
        };
        self.reject_queued(now, dropped, RejectReason::QueueFull);
        None
    }

    /// A lookup is in flight from now on.
    pub(super) fn start(&mut self, index: u32, now: Micros) -> Ticket {
        let low_load = self.limiter.acquire();
        if let Some(lookup) = self.lookups.get_mut(index) {
            lookup.admitted_at = Some(now);
            lookup.low_load = low_load;
            self.counters[lookup.tenant()].admitted += 1;
            if lookup.fair_queued {
                let usual = self.costs.usual_duration(lookup.class());
                self.timers
                    .set(index, now + self.limiter.overdue_after(usual));
            }
        }
        Ticket(index)
    }
}

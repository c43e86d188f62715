//! The decision on a new request: it is admitted at once, queued, or rejected.
//!
//! The host's limits are checked first; a part of them is set aside for redeemed reservations. The queue discipline
//! decides next. With fair queueing, a request is admitted at once only if no request waits, and is queued only if it
//! can still be answered within its latency budget.

use super::tracked_request::TrackedRequest;
use super::AdmissionController;
use crate::config::QueueDiscipline;
use crate::fair_queue::DequeuedItem;
use crate::identity::ClientIdentity;
use crate::request::{AdmissionRequest, Decision, RejectReason, Ticket};
use meadowrill_routing::interface::Micros;

/// Number of requests of a flow that may wait regardless of reservations. Without this minimum, reservations would
/// leave permits unused if no client returned.
const UNRESERVED_WAITING: u32 = 2;
/// Fraction of the byte limit up to which tenants are not limited to their shares.
const UNSHARED_BYTES_FRACTION: f64 = 0.5;
/// One part in this many of each host limit is set aside for redeemed reservations.
const RESERVED_DIVISOR: usize = 16;

impl AdmissionController {
    /// Decides on a request that the host has read. `bytes_in_use` is the memory that the host uses, including this
    /// request.
    pub fn admit(
        &mut self,
        now: Micros,
        request: AdmissionRequest,
        bytes_in_use: usize,
    ) -> Decision {
        let now = self.advance(now);
        let request = AdmissionRequest {
            identity: self.clamp_tenant(request.identity),
            ..request
        };
        self.counters[usize::from(request.identity.tenant)].offered += 1;
        let reserved = self.redeem_reservation(now, &request.identity);
        if let Some(reason) = self.exceeded_limit(bytes_in_use, reserved) {
            return Decision::Rejected(self.reject_at_limit(now, request.identity, reason));
        }
        match self.config.discipline {
            QueueDiscipline::Fair => self.admit_fairly(now, request, bytes_in_use, reserved),
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

    /// Replaces a tenant index that is not in the configuration with the index of the last tenant.
    fn clamp_tenant(&self, identity: ClientIdentity) -> ClientIdentity {
        ClientIdentity {
            tenant: identity.tenant.min(self.counters.len() as u16 - 1),
            ..identity
        }
    }

    /// Redeems a valid reservation of the client, if there is one, even if the request could be admitted without it.
    fn redeem_reservation(&mut self, now: Micros, identity: &ClientIdentity) -> bool {
        let Some(flow) = self.reservations.redeem(now, identity) else {
            return false;
        };
        self.queue.remove_reservations(flow, 1);
        true
    }

    /// Returns the host limit that the request would exceed. A part of each limit is set aside for redeemed
    /// reservations.
    fn exceeded_limit(&self, bytes_in_use: usize, reserved: bool) -> Option<RejectReason> {
        let usable = |limit: usize| {
            if reserved {
                limit
            } else {
                limit - limit / RESERVED_DIVISOR
            }
        };
        if self.open() >= usable(self.limits.open_requests) {
            return Some(RejectReason::OpenRequestLimit);
        }
        (bytes_in_use > usable(self.limits.bytes)).then_some(RejectReason::ByteLimit)
    }

    fn admit_unqueued(&mut self, now: Micros, request: AdmissionRequest) -> Decision {
        let cost = self.costs.expected_cost(request.class, request.size_kb);
        let index = self
            .requests
            .insert(TrackedRequest::new(&request, now, cost));
        Decision::Admitted(self.start(index, now))
    }

    fn admit_fairly(
        &mut self,
        now: Micros,
        request: AdmissionRequest,
        bytes_in_use: usize,
        reserved: bool,
    ) -> Decision {
        let (identity, class) = (request.identity, request.class);
        let cost = self.costs.expected_cost(class, request.size_kb);
        let flow = self.queue.classify(now, identity);
        let tracked = TrackedRequest::new(&request, now, cost).in_flow(flow);
        if self.limiter.has_capacity() && self.queue.waiting() == 0 {
            return self.admit_at_once(now, tracked);
        }
        let latest_start = self.costs.latest_start(class, now, request.expires);
        let wait_rejection =
            self.wait_rejection(&tracked, bytes_in_use, latest_start - now, reserved);
        let wait_rejection = wait_rejection.or_else(|| self.make_queue_space(now, flow));
        if let Some(reason) = wait_rejection {
            return Decision::Rejected(self.reject(now, identity, flow, class, reason));
        }
        self.enqueue(now, tracked, latest_start)
    }

    /// Admits a request while no other waits. The request passes through the queue so that its flow is charged.
    fn admit_at_once(&mut self, now: Micros, request: TrackedRequest) -> Decision {
        let index = self.requests.insert(request);
        self.queue.enqueue(index, request.queued());
        let next = self.queue.dequeue();
        debug_assert_eq!(
            next,
            Some(DequeuedItem {
                item: index,
                flow: request.flow
            })
        );
        Decision::Admitted(self.start(index, now))
    }

    fn enqueue(&mut self, now: Micros, request: TrackedRequest, latest_start: Micros) -> Decision {
        let index = self.requests.insert(request);
        self.queue.enqueue(index, request.queued());
        self.timers.set(index, latest_start);
        self.limiter.record_wait(now);
        self.counters[request.tenant()].waited += 1;
        Decision::Queued(Ticket(index))
    }

    /// Returns why a request that would have to wait must be rejected instead. `slack` is how long it could wait.
    fn wait_rejection(
        &self,
        request: &TrackedRequest,
        bytes_in_use: usize,
        slack: Micros,
        reserved: bool,
    ) -> Option<RejectReason> {
        if slack <= 0 {
            return Some(RejectReason::DeadlineMissed);
        }
        if self.exceeds_byte_share(request, bytes_in_use) {
            return Some(RejectReason::ByteLimit);
        }
        if reserved || self.queue.waiting_in(request.flow) < UNRESERVED_WAITING {
            return None;
        }
        let cost_ahead = self.queue.cost_ahead(request.flow, request.charged_cost);
        let wait = self.service_time(request.flow, cost_ahead);
        (wait > slack as f64).then_some(RejectReason::QueueTooLong)
    }

    fn exceeds_byte_share(&self, request: &TrackedRequest, bytes_in_use: usize) -> bool {
        let unshared = self.limits.bytes as f64 * UNSHARED_BYTES_FRACTION;
        let tenant = self.queue.tenant_bytes(request.flow);
        let tenant_bytes = (tenant.waiting + request.bytes as usize) as f64;
        bytes_in_use as f64 > unshared && tenant_bytes > unshared * tenant.share
    }

    /// Makes space in a full queue: if the new request's flow has less than an even share of the queue, the last
    /// request of the longest flow is dropped (longest queue drop). Otherwise returns the reason to reject the new
    /// request.
    fn make_queue_space(&mut self, now: Micros, flow: u32) -> Option<RejectReason> {
        if self.queue.waiting() < self.config.max_waiting {
            return None;
        }
        let even_share = self.config.max_waiting as u32 / self.queue.active_flows().max(1);
        let longest = self.queue.longest_queue_tail();
        let below_share = self.queue.waiting_in(flow) < even_share.max(1);
        let Some(dropped) = longest.filter(|_| below_share) else {
            return Some(RejectReason::QueueFull);
        };
        self.reject_queued(now, dropped, RejectReason::QueueFull);
        None
    }

    /// Marks a request as in flight. A request that passed through the fair queue becomes overdue after a time.
    pub(super) fn start(&mut self, index: u32, now: Micros) -> Ticket {
        let low_load = self.limiter.acquire();
        if let Some(request) = self.requests.get_mut(index) {
            request.admitted_at = Some(now);
            request.low_load = low_load;
            self.counters[request.tenant()].admitted += 1;
            if request.fair_queued {
                let mean_duration = self.costs.mean_duration(request.class());
                self.timers
                    .set(index, now + self.limiter.overdue_after(mean_duration));
            }
        }
        Ticket(index)
    }
}

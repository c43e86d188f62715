//! Rejections: when the client should return, and whether there is a reservation for that time.
//!
//! The time is when the client's own flow, at its share of the concurrency limit, will be done with all that waits and is
//! reserved in it. Invariant: a reservation is made only for a time that the client is sent.

use super::AdmissionController;
use crate::config::QueueDiscipline;
use crate::identity::ClientIdentity;
use crate::request::{AdmissionEvent, RejectReason, Rejection};
use crate::reservations;
use meadowrill_routing::interface::Micros;

/// Fullness of the calendar from which on a flow may not have more than an even share of it.
const NEARLY_FULL: f64 = 0.5;
/// Retry-After is sent in whole milliseconds.
const RETRY_GRANULARITY: Micros = 1_000;
/// Longest wait that is computed with, in microseconds.
const MAX_WAIT: f64 = 1e12;
/// Least rate of a flow, so that it can be divided by.
const MIN_FLOW_RATE: f64 = 1e-6;

/// A time to wait in whole milliseconds, rounded up, and at least one.
fn rounded_wait(wait: f64) -> Micros {
    let wait = (wait.min(MAX_WAIT) as Micros).max(1);
    (wait + RETRY_GRANULARITY - 1) / RETRY_GRANULARITY * RETRY_GRANULARITY
}

impl AdmissionController {
    /// How long a flow needs for work of `cost` with its share of the concurrency limit.
    pub(super) fn service_time(&self, flow: u32, cost: f64) -> f64 {
        cost / (self.limiter.limit() * self.queue.share(flow)).max(MIN_FLOW_RATE)
    }

    /// Rejects a request, and makes a reservation when its flow is next free, where Retry-After may be sent.
    pub(super) fn reject(
        &mut self,
        now: Micros,
        identity: ClientIdentity,
        flow: u32,
        class: usize,
        reason: RejectReason,
    ) -> Rejection {
        let usual_cost = self.costs.expected(class, 0.0);
        let cost = self.queue.cost_ahead(flow, usual_cost) + usual_cost;
        let wait = self.service_time(flow, cost);
        self.reject_until(now, identity, flow, wait, reason)
    }

    /// Rejects a request at a limit of the host: capacity becomes free at the rate of completions.
    pub(super) fn reject_at_limit(
        &mut self,
        now: Micros,
        identity: ClientIdentity,
        reason: RejectReason,
    ) -> Rejection {
        let wait = (self.reservations.open + 1) as f64 / self.completions.estimate(now);
        let fair = self.config.discipline == QueueDiscipline::Fair;
        let flow = if fair {
            self.queue.flow_of(now, identity)
        } else {
            0
        };
        self.reject_until(now, identity, flow, wait, reason)
    }

    /// Rejects a request that waits.
    pub(super) fn reject_queued(&mut self, now: Micros, index: u32, reason: RejectReason) {
        let Some(request) = self.requests.remove(index) else {
            return;
        };
        self.timers.cancel(index);
        self.queue.remove(index);
        let rejection = self.reject(now, request.identity, request.flow, request.class(), reason);
        self.events.push(AdmissionEvent::Rejected {
            id: request.id,
            rejection,
        });
    }

    /// Rejects a request, and makes a reservation of its flow after `wait` if that is not too long.
    fn reject_until(
        &mut self,
        now: Micros,
        identity: ClientIdentity,
        flow: u32,
        wait: f64,
        reason: RejectReason,
    ) -> Rejection {
        let wait = rounded_wait(wait);
        let allowed = wait <= self.limits.max_retry_after && !self.has_even_share_reserved(flow);
        let reserved = allowed && self.reservations.reserve(&identity, flow, now + wait);
        if reserved {
            self.queue.add_reservation(flow);
        }
        self.rejection(identity, reason, wait, reserved)
    }

    /// Whether a flow has an even share of a calendar that is nearly full.
    fn has_even_share_reserved(&self, flow: u32) -> bool {
        let even_share = reservations::CAPACITY as u32 / self.queue.active_flows().max(1);
        self.reservations.fullness() > NEARLY_FULL && self.queue.reserved_in(flow) >= even_share
    }

    /// Counts a rejection, and limits its Retry-After.
    pub(super) fn rejection(
        &mut self,
        identity: ClientIdentity,
        reason: RejectReason,
        wait: Micros,
        reserved: bool,
    ) -> Rejection {
        let max = self.limits.max_retry_after;
        let reserved = reserved && wait <= max;
        let counters = &mut self.counters[usize::from(identity.tenant)];
        counters.rejected[reason as usize] += 1;
        counters.reserved += u64::from(reserved);
        let retry_after = if max == 0 {
            0
        } else {
            wait.clamp(RETRY_GRANULARITY.min(max), max)
        };
        Rejection {
            reason,
            retry_after,
            reserved,
        }
    }
}

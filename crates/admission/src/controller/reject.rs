//! Rejections: when the client should return, and whether it gets a reservation for that time.
//!
//! The client should return when its own flow, at the flow's share of the concurrency limit, will have completed all
//! its waiting requests and reservations. Invariant: a reservation is made only for a time that is sent to the client.

use super::AdmissionController;
use crate::config::QueueDiscipline;
use crate::identity::ClientIdentity;
use crate::request::{AdmissionEvent, RejectReason, Rejection};
use crate::reservations;
use meadowrill_routing::interface::Micros;

/// Fullness of the calendar above which a flow may not have more than an even share of the calendar.
const NEARLY_FULL: f64 = 0.5;
/// Retry-After is sent in whole milliseconds.
const RETRY_GRANULARITY: Micros = 1_000;
/// Upper bound of an estimated wait, in microseconds.
const MAX_WAIT: f64 = 1e12;
/// Lower bound of the service rate of a flow, which is used as a divisor.
const MIN_FLOW_RATE: f64 = 1e-6;

/// Rounds a wait up to whole milliseconds, at least one.
fn rounded_wait(wait: f64) -> Micros {
    let wait = (wait.min(MAX_WAIT) as Micros).max(1);
    (wait + RETRY_GRANULARITY - 1) / RETRY_GRANULARITY * RETRY_GRANULARITY
}

impl AdmissionController {
    /// Returns how long a flow needs for work of `cost` with its share of the concurrency limit.
    pub(super) fn service_time(&self, flow: u32, cost: f64) -> f64 {
        cost / (self.limiter.limit() * self.queue.share(flow)).max(MIN_FLOW_RATE)
    }

    /// Rejects a request, and makes a reservation for the time at which its flow is expected to be free. There is no
    /// reservation if that time is beyond the longest Retry-After.
    pub(super) fn reject(
        &mut self,
        now: Micros,
        identity: ClientIdentity,
        flow: u32,
        class: usize,
        reason: RejectReason,
    ) -> Rejection {
        let mean_cost = self.costs.expected_cost(class, 0.0);
        let cost = self.queue.cost_ahead(flow, mean_cost) + mean_cost;
        let wait = self.service_time(flow, cost);
        self.reject_after_wait(now, identity, flow, wait, reason)
    }

    /// Rejects a request because of a host limit. Capacity is expected to become free at the rate of completions.
    pub(super) fn reject_at_limit(
        &mut self,
        now: Micros,
        identity: ClientIdentity,
        reason: RejectReason,
    ) -> Rejection {
        let wait = (self.reservations.open + 1) as f64 / self.completions.estimate(now);
        let fair = self.config.discipline == QueueDiscipline::Fair;
        let flow = if fair {
            self.queue.classify(now, identity)
        } else {
            0
        };
        self.reject_after_wait(now, identity, flow, wait, reason)
    }

    /// Rejects a waiting request.
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

    /// Rejects a request, and reserves its return after `wait` unless that is beyond the longest Retry-After.
    fn reject_after_wait(
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

    /// Returns whether the calendar is nearly full and the flow already has an even share of it.
    fn has_even_share_reserved(&self, flow: u32) -> bool {
        let even_share = reservations::CAPACITY as u32 / self.queue.active_flows().max(1);
        self.reservations.fullness() > NEARLY_FULL && self.queue.reserved_in(flow) >= even_share
    }

    /// Counts a rejection, and limits the Retry-After to the allowed range.
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

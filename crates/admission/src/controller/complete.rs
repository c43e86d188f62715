//! The end of a request: its cost is settled, and the cost model and the concurrency limit learn from it.
//!
//! Invariant: a request ends once; its permit is free at once, or, if it failed early, when it would usually have ended.

use super::tracked_request::TrackedRequest;
use super::AdmissionController;
use crate::request::{Completion, Ticket};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// A request that was admitted has ended.
    pub fn complete(&mut self, now: Micros, ticket: Ticket, completion: Completion) {
        let now = self.advance(now);
        let Some(request) = self.requests.get(ticket.0).copied() else {
            return;
        };
        let Some(admitted_at) = request.admitted_at.filter(|_| !request.lingering) else {
            return;
        };
        let duration = now - admitted_at;
        self.limiter.release(request.overdue);
        self.free_permit(ticket.0, &request, admitted_at, duration, completion);
        self.settle_cost(&request, duration, completion);
        if completion.succeeded {
            self.costs
                .record(request.class(), duration, completion.size_kb);
            if completion.cache_hit {
                self.limiter
                    .record_hit(now, request.class(), duration, request.low_load);
            }
        }
        self.completions.record(now);
    }

    /// Frees the permit of a request; that of one that failed early only after its usual duration.
    fn free_permit(
        &mut self,
        index: u32,
        request: &TrackedRequest,
        admitted_at: Micros,
        duration: Micros,
        completion: Completion,
    ) {
        let usual = self.costs.usual_duration(request.class()) as Micros;
        let failed = request.fair_queued && !completion.succeeded && !completion.abandoned;
        if failed && duration < usual {
            self.limiter.linger();
            self.timers.set(index, admitted_at + usual);
            self.requests
                .get_mut(index)
                .into_iter()
                .for_each(|request| request.lingering = true);
        } else {
            self.requests.remove(index);
            self.timers.cancel(index);
        }
    }

    /// Corrects what the flow was charged to the actual cost. A request that failed gets nothing back, or requests that
    /// cannot succeed would cost nothing.
    fn settle_cost(&mut self, request: &TrackedRequest, duration: Micros, completion: Completion) {
        let actual = self.costs.actual(duration, completion.size_kb);
        let cost = if completion.succeeded {
            actual
        } else {
            actual.max(request.charged)
        };
        let counters = &mut self.counters[request.tenant()];
        counters.succeeded += u64::from(completion.succeeded);
        counters.cost += cost;
        if request.fair_queued {
            self.queue.complete(request.flow, request.charged, cost);
        }
    }

    /// The client of a request has disconnected. True where the request was not admitted yet: the routing crate has never
    /// received it.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket) -> bool {
        let now = self.advance(now);
        let Some(request) = self.requests.get(ticket.0).copied() else {
            return false;
        };
        if request.admitted_at.is_some() {
            self.complete(
                now,
                ticket,
                Completion {
                    abandoned: true,
                    ..Completion::default()
                },
            );
            return false;
        }
        self.requests.remove(ticket.0);
        self.timers.cancel(ticket.0);
        self.queue.remove(ticket.0);
        self.counters[request.tenant()].cancelled += 1;
        true
    }
}

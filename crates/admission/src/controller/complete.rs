//! The end of a request: its actual cost is charged, and the cost model and the concurrency limit are updated.
//!
//! Invariant: a request ends once. Its permit is freed at once or, if the request failed early, after the mean duration
//! of its class.

use super::tracked_request::TrackedRequest;
use super::AdmissionController;
use crate::request::{Completion, Ticket};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// Records the end of an admitted request.
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

    /// Frees the permit of a request. The permit of a request that failed early is freed only after the mean duration
    /// of its class.
    fn free_permit(
        &mut self,
        index: u32,
        request: &TrackedRequest,
        admitted_at: Micros,
        duration: Micros,
        completion: Completion,
    ) {
        let mean_duration = self.costs.mean_duration(request.class()) as Micros;
        let failed = request.fair_queued && !completion.succeeded && !completion.abandoned;
        if failed && duration < mean_duration {
            self.limiter.linger();
            self.timers.set(index, admitted_at + mean_duration);
            self.requests
                .get_mut(index)
                .into_iter()
                .for_each(|request| request.lingering = true);
        } else {
            self.requests.remove(index);
            self.timers.cancel(index);
        }
    }

    /// Replaces the cost charged to the flow with the actual cost. Nothing is refunded for a failed request: requests
    /// that cannot succeed would otherwise cost nothing.
    fn settle_cost(&mut self, request: &TrackedRequest, duration: Micros, completion: Completion) {
        let actual = self.costs.actual_cost(duration, completion.size_kb);
        let cost = if completion.succeeded {
            actual
        } else {
            actual.max(request.charged_cost)
        };
        let counters = &mut self.counters[request.tenant()];
        counters.succeeded += u64::from(completion.succeeded);
        counters.cost += cost;
        if request.fair_queued {
            self.queue
                .complete(request.flow, request.charged_cost, cost);
        }
    }

    /// Ends a request whose client has disconnected. Returns true if the request was still waiting, which means that
    /// the routing crate never received it.
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

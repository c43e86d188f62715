//! The end of a lookup: its cost is settled, and the cost model and the concurrency limit learn from it.

use super::lookup::Lookup;
use super::AdmissionController;
use crate::request::{Completion, Ticket};
use meadowrill_routing::interface::Micros;

impl AdmissionController {
    /// A lookup that was admitted has ended.
    pub fn complete(&mut self, now: Micros, ticket: Ticket, completion: Completion) {
        let now = self.advance(now);
        let Some(lookup) = self.lookups.get(ticket.0).copied() else {
            return;
        };
        let Some(admitted_at) = lookup.admitted_at.filter(|_| !lookup.lingering) else {
            return;
        };
        let duration = now - admitted_at;
        self.limiter.release(lookup.overdue);
        self.free_place(ticket.0, &lookup, admitted_at, duration, completion);
        self.settle_cost(&lookup, duration, completion);
        if completion.succeeded {
            self.costs
                .record(lookup.class(), duration, completion.size_kb);
            if completion.cache_hit {
                self.limiter
                    .record_hit(now, lookup.class(), duration, lookup.low_load);
            }
        }
        self.completions.record(now);
    }

    /// Frees the place of a lookup; that of one that failed early only after its usual duration.
    fn free_place(
        &mut self,
        index: u32,
        lookup: &Lookup,
        admitted_at: Micros,
        duration: Micros,
        completion: Completion,
    ) {
        let usual = self.costs.usual_duration(lookup.class()) as Micros;
        let failed = lookup.fair_queued && !completion.succeeded && !completion.abandoned;
        if failed && duration < usual {
            self.limiter.linger();
            self.timers.set(index, admitted_at + usual);
            self.lookups
                .get_mut(index)
                .into_iter()
                .for_each(|lookup| lookup.lingering = true);
        } else {
            self.lookups.remove(index);
            self.timers.cancel(index);
        }
    }

    /// Corrects what the flow was charged to the actual cost. A lookup that was not satisfied gets nothing back, or
    /// asking for what cannot be had would cost nothing.
    fn settle_cost(&mut self, lookup: &Lookup, duration: Micros, completion: Completion) {
        let actual = self.costs.actual(duration, completion.size_kb);
        let cost = if completion.succeeded {
            actual
        } else {
            actual.max(lookup.charged)
        };
        let counters = &mut self.counters[lookup.tenant()];
        counters.succeeded += u64::from(completion.succeeded);
        counters.cost += cost;
        if lookup.fair_queued {
            self.queue.complete(lookup.flow, lookup.charged, cost);
        }
    }

    /// The client of a lookup has gone. True where the lookup was not admitted yet: the decision module has never heard
    /// of it.
    pub fn cancel(&mut self, now: Micros, ticket: Ticket) -> bool {
        let now = self.advance(now);
        let Some(lookup) = self.lookups.get(ticket.0).copied() else {
            return false;
        };
        if lookup.admitted_at.is_some() {
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
        self.lookups.remove(ticket.0);
        self.timers.cancel(ticket.0);
        self.queue.remove(ticket.0);
        self.counters[lookup.tenant()].cancelled += 1;
        true
    }
}

//! The count of requests in flight, by how they count against the limit.
//!
//! A request is counted from its start to its end. One that takes much too long is overdue from then on and gives its
//! permit back; the permit of one that failed early lingers after its end. Invariant: no more requests become overdue
//! than the limit, so all that is in flight is bounded by twice the limit.

/// Requests in flight, and permits without a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    /// Requests in flight that count against the limit.
    pub(super) counted: usize,
    /// Requests in flight that no longer count.
    pub(super) overdue: usize,
    /// Permits of requests that failed early, occupied as long as an answer would have taken.
    pub(super) lingering: usize,
}

impl InFlight {
    pub(super) fn start(&mut self) {
        self.counted += 1;
    }

    pub(super) fn end(&mut self, overdue: bool) {
        if overdue {
            self.overdue -= 1;
        } else {
            self.counted -= 1;
        }
    }

    /// Stops counting a request that is overdue; false where there are too many of them.
    pub(super) fn mark_overdue(&mut self, limit: f64) -> bool {
        let allowed = (self.overdue as f64) < limit && self.counted > 0;
        if allowed {
            self.counted -= 1;
            self.overdue += 1;
        }
        allowed
    }

    /// All requests in flight: overdue ones may well be a queue.
    pub(super) fn concurrency(&self) -> f64 {
        (self.counted + self.overdue) as f64
    }

    /// Permits that are not free.
    pub(super) fn occupied(&self) -> f64 {
        (self.counted + self.lingering) as f64
    }
}

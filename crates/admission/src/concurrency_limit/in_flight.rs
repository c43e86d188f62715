//! The number of requests in flight, and whether they count against the limit.
//!
//! A request counts from its start to its end. A request that takes much too long becomes overdue and releases its
//! permit; the permit of a request that failed early lingers after the request has ended. Invariant: no request becomes
//! overdue while the number of overdue requests has reached the limit, so the total number of requests in flight is
//! bounded by twice the limit.

/// Requests in flight, and occupied permits whose requests have ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InFlight {
    /// Requests in flight that count against the limit.
    pub(super) counted: usize,
    /// Requests in flight that are overdue and no longer count against the limit.
    pub(super) overdue: usize,
    /// Permits of requests that failed early. They stay occupied for as long as an answer would have taken.
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

    /// Stops counting an overdue request against the limit. Returns false if too many requests are overdue.
    pub(super) fn mark_overdue(&mut self, limit: f64) -> bool {
        let allowed = (self.overdue as f64) < limit && self.counted > 0;
        if allowed {
            self.counted -= 1;
            self.overdue += 1;
        }
        allowed
    }

    /// Returns the number of all requests in flight, including overdue ones, which may be waiting in a queue.
    pub(super) fn concurrency(&self) -> f64 {
        (self.counted + self.overdue) as f64
    }

    /// Returns the number of permits that are not free.
    pub(super) fn occupied(&self) -> f64 {
        (self.counted + self.lingering) as f64
    }
}

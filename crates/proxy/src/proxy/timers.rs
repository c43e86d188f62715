//! The timers of the event loop: a queue ordered by due time.
//!
//! A timer is not removed when its cause no longer exists; it is checked when it is due. Only a replaced report timer
//! is removed, and deadlines of ended attempts are dropped when they reach the front of the queue, because each would
//! wake the loop unnecessarily.

use super::request_table::AttemptHandle;
use crate::net::endpoints::EndpointConnections;
use meadowrill_routing::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The timers. Timers that are due at the same time fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the router, identified by its id.
    Router(u32),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptHandle),
    /// The timeout for establishing the connection of an attempt.
    ConnectTimeout(AttemptHandle),
    /// Periodic checks of idle and stalled connections, discovery, availability and snapshots.
    Housekeeping,
    /// The periodic report of admission control for the log.
    AdmissionReport,
    /// The fleet has to be polled. Valid only while its value is still the next wake time.
    Fleet(Micros),
    /// A step of the graceful shutdown is due.
    Shutdown,
}

/// Timers that have been set.
#[derive(Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.push(Reverse((at, timer)));
    }

    /// Replaces the timer of the periodic report; with `None` the report has no timer.
    pub(super) fn set_admission_report(&mut self, at: Option<Micros>) {
        self.queue
            .retain(|Reverse((_, timer))| *timer != Timer::AdmissionReport);
        if let Some(at) = at {
            self.set(at, Timer::AdmissionReport);
        }
    }

    /// The due time of the next timer.
    pub(super) fn next_due(&mut self, connections: &EndpointConnections) -> Option<Micros> {
        loop {
            let Reverse((at, timer)) = *self.queue.peek()?;
            match timer {
                Timer::AttemptTimeout(attempt) | Timer::ConnectTimeout(attempt)
                    if !connections.is_in_flight(attempt.connection, attempt.serial) =>
                {
                    self.queue.pop();
                }
                _ => return Some(at),
            }
        }
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let Reverse((at, _)) = self.queue.peek()?;
        if *at > now {
            return None;
        }
        self.queue.pop().map(|Reverse((_, timer))| timer)
    }
}

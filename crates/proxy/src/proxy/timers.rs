//! The timers of the event loop: a queue of moments, with what is due at each.
//!
//! A timer is never taken out when what it was set for is over; it is checked when it is due. Deadlines of attempts
//! that have ended are dropped once they come first, as each would wake the loop for nothing.

use super::request_table::AttemptHandle;
use crate::net::endpoints::EndpointConnections;
use meadowrill_routing::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due. Timers of the same moment fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the router, by its id.
    Router(u32),
    /// The time of an attempt is up.
    AttemptTimeout(AttemptHandle),
    /// The connection of an attempt should be up.
    ConnectTimeout(AttemptHandle),
    /// Idle and stalled connections, discovery, availability, snapshots.
    Housekeeping,
    /// The periodic report of admission control for the log.
    AdmissionReport,
    /// The view of the fleet is to be polled; valid only while this is still its next moment.
    Fleet(Micros),
    /// A step of the graceful shutdown is due.
    Shutdown,
}

/// Timers that are set.
#[derive(Default)]
pub(super) struct Timers {
    queue: BinaryHeap<Reverse<(Micros, Timer)>>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.queue.push(Reverse((at, timer)));
    }

    /// Replaces the timer of the periodic report; none is set where no moment is given.
    pub(super) fn set_admission_report(&mut self, at: Option<Micros>) {
        self.queue
            .retain(|Reverse((_, timer))| *timer != Timer::AdmissionReport);
        if let Some(at) = at {
            self.set(at, Timer::AdmissionReport);
        }
    }

    /// The moment of the next timer.
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

    /// Takes the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let Reverse((at, _)) = self.queue.peek()?;
        if *at > now {
            return None;
        }
        self.queue.pop().map(|Reverse((_, timer))| timer)
    }
}

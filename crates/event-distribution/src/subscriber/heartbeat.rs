//! The schedule of heartbeats, and the heartbeats that are not answered yet.
//!
//! Invariants: request numbers grow with each heartbeat; an answer counts once, and only while its request is among the
//! last [`MAX_OUTSTANDING`]; a resend is requested at most once per retry interval.

use crate::counters::RejectReason;
use crate::jitter::Jitter;
use crate::settings::DistributionSettings;
use crate::time::{Micros, SECOND};
use std::collections::VecDeque;

/// Maximum number of heartbeats whose answers are awaited.
const MAX_OUTSTANDING: usize = 32;
/// Upper bound of the first request number, which is random so that answers to an earlier start match no request.
const MAX_FIRST_REQUEST: i64 = 1 << 20;
/// Range of the random interval between heartbeats while no relay answers.
const MIN_BACKOFF: Micros = SECOND / 2;
const MAX_BACKOFF: Micros = 3 * SECOND / 2;

/// A heartbeat that is not answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutstandingRequest {
    number: u32,
    pub(super) sent_at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeartbeatSchedule {
    outstanding: VecDeque<OutstandingRequest>,
    next_request: u32,
    last_sent_at: Micros,
    next_at: Micros,
    /// Heartbeats since the last answer, to the current relay and to all relays.
    unanswered: u32,
    unanswered_by_all: u32,
    /// Whether the next heartbeat requests a resend of lost events.
    resend: bool,
    /// When a heartbeat last requested a resend.
    resend_requested_at: Option<Micros>,
}

impl HeartbeatSchedule {
    pub(super) fn new(now: Micros, jitter: &mut Jitter) -> HeartbeatSchedule {
        HeartbeatSchedule {
            outstanding: VecDeque::new(),
            next_request: 1 + jitter.draw(0, MAX_FIRST_REQUEST) as u32,
            last_sent_at: now,
            next_at: now,
            unanswered: 0,
            unanswered_by_all: 0,
            resend: false,
            resend_requested_at: None,
        }
    }

    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Number of heartbeats to the current relay since its last answer.
    pub(super) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Whether this is the request number of the last heartbeat.
    pub(super) fn is_last_request(&self, request: u32) -> bool {
        request.checked_add(1) == Some(self.next_request)
    }

    /// Registers a new heartbeat. Returns its request number, and whether it requests a resend.
    pub(super) fn begin(&mut self, now: Micros) -> (u32, bool) {
        let resend = std::mem::take(&mut self.resend);
        if resend {
            self.resend_requested_at = Some(now);
        }
        let number = self.next_request;
        self.outstanding.push_back(OutstandingRequest {
            number,
            sent_at: now,
        });
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.next_request += 1;
        self.unanswered += 1;
        self.unanswered_by_all = self.unanswered_by_all.saturating_add(1);
        self.last_sent_at = now;
        (number, resend)
    }

    /// Schedules the next heartbeat in case no answer arrives: after the retry interval, or after a random interval if
    /// no relay answers.
    pub(super) fn schedule_retry(
        &mut self,
        now: Micros,
        settings: &DistributionSettings,
        relays: u32,
        jitter: &mut Jitter,
    ) {
        let pause = if self.unanswered_by_all > settings.max_unanswered * relays {
            jitter.draw(MIN_BACKOFF, MAX_BACKOFF)
        } else {
            settings.retry_interval
        };
        self.next_at = now + pause;
    }

    pub(super) fn schedule_at(&mut self, at: Micros) {
        self.next_at = at;
    }

    /// Schedules the next heartbeat after an answer without a lease: as soon as the retry interval of that request has
    /// passed.
    pub(super) fn schedule_after_refusal(
        &mut self,
        now: Micros,
        request: OutstandingRequest,
        settings: &DistributionSettings,
    ) {
        let retry_at = request.sent_at + settings.retry_interval;
        self.next_at = self.next_at.min(retry_at).max(now);
    }

    /// Schedules the next heartbeat one interval after the granted request, unless a resend has to be requested.
    pub(super) fn schedule_after_grant(
        &mut self,
        now: Micros,
        request: OutstandingRequest,
        interval: Micros,
    ) {
        if !self.resend {
            self.next_at = (request.sent_at + interval).max(now);
        }
    }

    /// Schedules a heartbeat that requests a resend of lost events. It is sent at once, but not before the answer to
    /// the last resend request can have arrived, because everything would be sent once more.
    pub(super) fn request_resend(&mut self, now: Micros, settings: &DistributionSettings) {
        self.resend = true;
        let answered_by = self
            .resend_requested_at
            .map_or(now, |requested_at| requested_at + settings.retry_interval);
        let earliest = self.last_sent_at + settings.batch_interval / 2;
        let at = now.max(earliest).max(answered_by);
        self.next_at = self.next_at.min(at);
    }

    /// Sets whether events are still missing.
    pub(super) fn set_resend(&mut self, resend: bool) {
        self.resend = resend;
    }

    /// Removes and returns the outstanding request that the relay has answered, and resets the counts of unanswered
    /// heartbeats.
    pub(super) fn record_answer(
        &mut self,
        number: u32,
    ) -> Result<OutstandingRequest, RejectReason> {
        let request = self
            .outstanding
            .iter()
            .position(|request| request.number == number)
            .and_then(|index| self.outstanding.remove(index))
            .ok_or(RejectReason::Unexpected)?;
        (self.unanswered, self.unanswered_by_all) = (0, 0);
        Ok(request)
    }

    /// Ignores further answers to all heartbeats sent so far.
    pub(super) fn forget_outstanding(&mut self) {
        self.outstanding.clear();
    }

    /// Resets the count of unanswered heartbeats for a new relay.
    pub(super) fn relay_changed(&mut self) {
        self.unanswered = 0;
    }
}

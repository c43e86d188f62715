//! The state of one subscriber, as the member that serves it knows it.
//!
//! Invariants: request numbers and positions of one incarnation only grow; `sent` is never behind `position`, unless
//! the subscriber requested a resend from there.

use super::empty_batch;
use crate::counters::RejectReason;
use crate::event::{Epoch, LogPosition, Position};
use crate::event_log::{EventLog, NextInLog, StoredBatch};
use crate::settings::DistributionSettings;
use crate::time::{Micros, MILLISECOND};
use crate::wire::{Batch, Heartbeat};
use std::net::SocketAddr;

/// Maximum number of events in flight to one subscriber.
const MAX_UNACKNOWLEDGED: u64 = 8_192;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Subscription {
    incarnation: u64,
    address: SocketAddr,
    /// Request number of the last heartbeat.
    request: u32,
    last_heartbeat_at: Micros,
    /// The subscriber has applied everything up to here. `None` while it fetches its first snapshot.
    position: Option<LogPosition>,
    /// The subscriber, and all that it serves, have applied everything up to here.
    acknowledged: Option<LogPosition>,
    /// The position up to which events were sent to the subscriber.
    sent: Option<LogPosition>,
    /// The last heartbeat has been waiting for an answer since then. `None` if it was answered.
    unanswered_since: Option<Micros>,
}

impl Subscription {
    pub(super) fn new(now: Micros, incarnation: u64, address: SocketAddr) -> Subscription {
        Subscription {
            incarnation,
            address,
            request: 0,
            last_heartbeat_at: now,
            position: None,
            acknowledged: None,
            sent: None,
            unanswered_since: None,
        }
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn last_heartbeat_at(&self) -> Micros {
        self.last_heartbeat_at
    }

    pub(super) fn position(&self) -> Option<LogPosition> {
        self.position
    }

    pub(super) fn acknowledged(&self) -> Option<LogPosition> {
        self.acknowledged
    }

    /// Records the contents of a heartbeat that is newer than the last one.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        address: SocketAddr,
    ) -> Result<(), RejectReason> {
        if heartbeat.incarnation < self.incarnation {
            return Err(RejectReason::OldIncarnation);
        }
        if heartbeat.incarnation > self.incarnation {
            self.restart(heartbeat.incarnation);
        }
        if heartbeat.request <= self.request {
            // A duplicate of an earlier heartbeat, or one that was overtaken in the network.
            return Err(RejectReason::Unexpected);
        }
        let position = heartbeat.position.map(LogPosition::from);
        if position < self.position {
            return Err(RejectReason::PositionRegressed);
        }
        self.request = heartbeat.request;
        self.last_heartbeat_at = now;
        self.address = address;
        self.position = position;
        self.acknowledged = heartbeat.acknowledged.map(LogPosition::from).or(position);
        self.unanswered_since = Some(now);
        // The subscriber may have more events than this member sent to it, from another relay or a snapshot.
        if self.sent < position || heartbeat.resend {
            self.sent = position;
        }
        Ok(())
    }

    /// Resets the state for a new process of the same name, which has no events.
    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.request = 0;
        self.position = None;
        self.acknowledged = None;
        self.sent = None;
    }

    /// Whether events are sent to the subscriber: it has a position, and its last heartbeat is less than a lease
    /// duration old, so that its lease may still be valid.
    pub(super) fn is_live(&self, now: Micros, settings: &DistributionSettings) -> bool {
        self.position.is_some() && now < self.last_heartbeat_at + settings.lease_duration
    }

    /// Whether an answer has waited this long for events to be sent with it.
    pub(super) fn is_answer_due(&self, now: Micros, delay: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + delay)
    }

    /// Returns the number of the unanswered heartbeat, and marks it as answered.
    pub(super) fn mark_answered(&mut self) -> Option<u32> {
        self.unanswered_since.take().map(|_| self.request)
    }

    /// The position in the current epoch up to which events were sent.
    pub(super) fn sent_in(&self, head: LogPosition) -> Position {
        self.sent
            .filter(|sent| sent.epoch == head.epoch)
            .map_or(head.position, |sent| sent.position.min(head.position))
    }

    /// Returns the next batch for the subscriber, and marks it as sent.
    pub(super) fn next_batch(
        &mut self,
        now: Micros,
        log: &EventLog,
        head: LogPosition,
    ) -> Option<Batch> {
        let (sent, position) = (self.sent?, self.position?);
        let limit = position.position + MAX_UNACKNOWLEDGED;
        if sent.epoch == position.epoch && sent.position >= limit {
            return None;
        }
        match log.next_after(sent) {
            NextInLog::Batch {
                epoch,
                continues_from,
                batch,
            } => {
                let position = batch.end();
                self.sent = Some(LogPosition { epoch, position });
                Some(stored_batch(now, epoch, continues_from, batch, head))
            }
            NextInLog::EpochStart {
                epoch,
                continues_from,
            } => {
                self.sent = Some(LogPosition { epoch, position: 0 });
                Some(epoch_start(epoch, continues_from, head))
            }
            NextInLog::UpToDate | NextInLog::Missing | NextInLog::Ahead => None,
        }
    }
}

fn stored_batch(
    now: Micros,
    epoch: Epoch,
    continues_from: Option<LogPosition>,
    batch: &StoredBatch,
    head: LogPosition,
) -> Batch {
    // For a previous epoch, only the stored events are announced. A subscriber that reaches its end learns of the next
    // epoch then.
    let announced = if epoch == head.epoch {
        head.position
    } else {
        batch.end()
    };
    let age = now - batch.published_at;
    Batch {
        epoch: epoch.0,
        first: batch.first,
        head: announced,
        events: batch.bytes.clone(),
        grant: None,
        continues_from: continues_from.filter(|_| batch.first == 0).map(Into::into),
        age_ms: u32::try_from(age / MILLISECOND).unwrap_or(0),
    }
}

/// A batch without events, which shows where a new epoch continues the previous one.
fn epoch_start(epoch: Epoch, continues_from: LogPosition, head: LogPosition) -> Batch {
    let is_current = epoch == head.epoch;
    let position = if is_current { head.position } else { 0 };
    Batch {
        continues_from: Some(continues_from.into()),
        ..empty_batch(LogPosition { epoch, position }, 0, None)
    }
}

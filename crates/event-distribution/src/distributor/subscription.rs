//! What a member knows of one subscriber that it feeds.
//!
//! Invariants: request numbers and positions of one incarnation only grow; `sent` is never behind `position` unless the
//! subscriber requested a resend from there.

use super::empty_batch;
use crate::counters::RejectReason;
use crate::event::{Epoch, LogPosition, Position};
use crate::event_log::{EventLog, NextInLog, StoredBatch};
use crate::settings::DistributionSettings;
use crate::time::{Micros, MILLISECOND};
use crate::wire::{Batch, Heartbeat};
use std::net::SocketAddr;

/// Events that may be under way to one subscriber.
const MAX_UNACKNOWLEDGED: u64 = 8_192;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Subscription {
    incarnation: u64,
    address: SocketAddr,
    /// Of the last heartbeat.
    request: u32,
    last_heartbeat_at: Micros,
    /// It has applied everything up to here; none while it fetches its first snapshot.
    position: Option<LogPosition>,
    /// It, and all that it feeds, have applied everything up to here.
    acknowledged: Option<LogPosition>,
    /// Up to where events were sent to it.
    sent: Option<LogPosition>,
    /// The last heartbeat has not been answered since then.
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

    /// Takes what a heartbeat reports, if it is a newer one.
    pub(super) fn renew(
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
            // A copy of an earlier one, or overtaken on the way.
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
        // It may have more than was sent to it: by another relay, or by a snapshot.
        if self.sent < position || heartbeat.resend {
            self.sent = position;
        }
        Ok(())
    }

    /// A new process of the same name: it has nothing.
    fn restart(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.request = 0;
        self.position = None;
        self.acknowledged = None;
        self.sent = None;
    }

    /// Whether it is to be sent events: it has a position, and its lease cannot be over.
    pub(super) fn is_live(&self, now: Micros, settings: &DistributionSettings) -> bool {
        self.position.is_some() && now < self.last_heartbeat_at + settings.lease_duration
    }

    /// Whether an answer has waited for so long for events to go with.
    pub(super) fn is_answer_due(&self, now: Micros, delay: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + delay)
    }

    /// The number of the heartbeat that is to be answered; it counts as answered from now on.
    pub(super) fn take_unanswered(&mut self) -> Option<u32> {
        self.unanswered_since.take().map(|_| self.request)
    }

    /// Up to where events of the current epoch were sent.
    pub(super) fn sent_in(&self, head: LogPosition) -> Position {
        self.sent
            .filter(|sent| sent.epoch == head.epoch)
            .map_or(head.position, |sent| sent.position.min(head.position))
    }

    /// What is to be sent to it next, taken as sent.
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
    // Of a former epoch everything stored is announced; a subscriber that reaches its end learns of the next one then.
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

/// No events: shows how a new epoch builds on the former one.
fn epoch_start(epoch: Epoch, continues_from: LogPosition, head: LogPosition) -> Batch {
    let is_current = epoch == head.epoch;
    let position = if is_current { head.position } else { 0 };
    Batch {
        continues_from: Some(continues_from.into()),
        ..empty_batch(LogPosition { epoch, position }, 0, None)
    }
}
